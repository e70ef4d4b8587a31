#pragma once

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/guards.hpp"
#include "burdockspur/port/tablestore.hpp"
#include "faultmatrix/simulation.hpp"
#include "standins/hostlistmodel.hpp"
#include "standins/objectmodel.hpp"
#include "standins/tablemodel.hpp"
#include "standins/tokenbucket.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Burdockspur::FaultMatrix
{
/// @brief Counts of the calls that hosts sent to the stores, whether or not they were served.
struct StoreCalls {
    int m_journalRows = 0; ///< transactions with a journal row
    int m_otherWrites = 0; ///< all other transactions, and objects
    int m_rowReads = 0;
    int m_contentReads = 0; ///< scans and reads of objects, used by recovery
};

/// @brief Simulated platform: the models of its stores with injected outages, and the job states that became durable.
class SimulatedPlatform
{
public:
    explicit SimulatedPlatform(Simulation &simulation)
        : m_simulation(simulation)
    {
    }

    /// @brief Serves a call unless an outage prevents it.
    /// @param writes whether the rate limit of writes or of reads applies
    /// @param refused reports that the call was refused
    /// @param served executes the call
    auto serve(bool writes, const Simulation::Action &refused, const Simulation::Action &served) -> void;

    /// @brief Applies a transaction and records the job states that it makes durable.
    [[nodiscard]] auto commit(const Transaction &transaction) -> CommitResult;

    [[nodiscard]] auto hosts() -> const HostListing &;

    Simulation &m_simulation;
    Guards m_guards; ///< guards that the simulated processes run with
    Standins::TableModel m_table;
    Standins::ObjectModel m_objects;
    Standins::HostListModel m_hostList;
    // Numbers of faults in effect.
    int m_outages = 0;
    int m_silentOutages = 0; ///< calls are not answered
    int m_slowdowns = 0;
    int m_rateLimits = 0;
    int m_staleLists = 0;
    StoreCalls m_calls;
    std::map<std::string, Job> m_jobs; ///< latest durable state of each job
    std::vector<std::string> m_violations;

private:
    auto recordJob(const Job &job) -> void;

    HostListing m_lastListing;
    std::uint64_t m_snapshotSequence = 0; ///< of the latest snapshot that the table refers to
    Standins::TokenBucket m_writes;
    Standins::TokenBucket m_reads;
};
}
