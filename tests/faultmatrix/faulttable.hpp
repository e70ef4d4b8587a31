#pragma once

#include "faultmatrix/faultworld.hpp"

#include <array>
#include <string_view>

namespace Burdockspur::FaultMatrix
{
/// @brief A row of the fault matrix: a fault.
struct FaultRow {
    std::string_view m_name;
    std::string_view m_invariants; ///< those that the fault puts at risk; every run checks all of them
    FaultWorld::FaultInjector m_injector;
};

/// @brief A column of the fault matrix: a protocol step and the scenario that reaches it.
struct StepColumn {
    Step m_step;
    void (FaultWorld::*m_prepare)();
};

/// @brief A combination of fault and step that does not apply.
struct EmptyCell {
    std::string_view m_fault;
    Step m_step;
    std::string_view m_reason;
};

inline constexpr std::array<FaultRow, 20> faultRows{{
    {"process killed", "I2 I3 I5 I6", &FaultWorld::killProcess},
    {"process paused past its lease", "I2 I3 I6", &FaultWorld::pauseProcess},
    {"message lost", "I2 I3 I5 I6", &FaultWorld::loseMessage},
    {"message duplicated", "I2 I3 I6", &FaultWorld::repeatMessage},
    {"message delayed past its timeout", "I2 I5 I6", &FaultWorld::delayMessage},
    {"answer lost after the effect", "I2 I3 I5 I6", &FaultWorld::loseAnswer},
    {"store unavailable", "I2 I4 I9", &FaultWorld::failStore},
    {"store silent", "I2 I4 I9", &FaultWorld::silenceStore},
    {"store slow", "I2 I4 I9", &FaultWorld::slowStore},
    {"store rate limited", "I2 I4 I9", &FaultWorld::limitStore},
    {"worker crashed", "I2 I3 I6", &FaultWorld::crashWorker},
    {"worker paused", "I2 I5 I6", &FaultWorld::pauseWorker},
    {"worker fails everything", "I2", &FaultWorld::failTasks},
    {"worker leaving", "I3 I7", &FaultWorld::markWorkerLeaving},
    {"host list stale", "I7", &FaultWorld::freezeHostList},
    {"link between hosts cut", "I2 I5 I6", &FaultWorld::cutLink},
    {"two operators racing", "I9", &FaultWorld::raceOperators},
    {"cancellation wave", "I2", &FaultWorld::cancelWave},
    {"job that can never run", "I1", &FaultWorld::submitImpossible},
    {"declared size or run time wrong", "I1 I2", &FaultWorld::misdeclare},
}};

inline constexpr std::array<StepColumn, 13> stepColumns{{
    {Step::Submit, &FaultWorld::prepareNothing},
    {Step::Assign, &FaultWorld::prepareNothing},
    {Step::Start, &FaultWorld::prepareNothing},
    {Step::Renew, &FaultWorld::prepareNothing},
    {Step::Complete, &FaultWorld::prepareNothing},
    {Step::Evict, &FaultWorld::prepareEviction},
    {Step::Resume, &FaultWorld::prepareEviction},
    {Step::Cancel, &FaultWorld::prepareCancel},
    {Step::TakeOver, &FaultWorld::prepareTakeover},
    {Step::Drain, &FaultWorld::prepareDrain},
    {Step::Configure, &FaultWorld::prepareConfiguration},
    {Step::Request, &FaultWorld::prepareNothing},
    {Step::Settle, &FaultWorld::prepareSettle},
}};

inline constexpr std::array<EmptyCell, 2> emptyCells{{
    {"declared size or run time wrong", Step::Request, "requests declare neither a size nor a run time"},
    {"declared size or run time wrong", Step::Settle, "requests declare neither a size nor a run time"},
}};
}
