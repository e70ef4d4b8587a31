#include "faultmatrix/faulttable.hpp"
#include "knownred.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace Burdockspur;
using namespace Burdockspur::FaultMatrix;
using Burdockspur::Testing::contentOf;
using Burdockspur::Testing::knownRed;

namespace
{
constexpr std::uint64_t matrixSeed = 20261204;
constexpr std::uint64_t seedsPerCell = 4; // seeds differ in the delays and thus in the order of the messages
constexpr int pairCount = 300;
constexpr std::string_view once = "once";
constexpr std::string_view twice = "twice";

/// @brief Combined result of the runs of a cell.
struct CellResult {
    int m_injectedFaults = 0;
    bool m_reached = true; ///< a fault was injected in every run
    std::vector<std::string> m_violations;
};

/// @brief Name of a cell in KNOWN-RED.txt and in reports, e.g. `message lost/start/once`.
[[nodiscard]] auto cellName(const FaultRow &fault, Step step, std::string_view mode) -> std::string
{
    return std::string(fault.m_name) + "/" + std::string(stepName(step)) + "/" + std::string(mode);
}

[[nodiscard]] auto emptyReason(const FaultRow &fault, Step step) -> std::string_view
{
    const auto found = std::ranges::find_if(emptyCells, [&](const EmptyCell &cell) {
        return cell.m_fault == fault.m_name && cell.m_step == step;
    });
    return found == emptyCells.end() ? std::string_view() : found->m_reason;
}

/// @brief A fault, and the number of messages of its step that are sent before it is injected.
struct ArmedRow {
    const FaultRow *m_fault = nullptr;
    int m_occurrence = 0;
};

/// @brief Runs a cell with one seed and adds its findings to the result.
auto runCell(Step step, std::uint64_t seed, const std::vector<ArmedRow> &faults, CellResult &result) -> void
{
    FaultWorld world(seed);
    for (const auto &[fault, occurrence] : faults) {
        world.arm(step, fault->m_injector, occurrence);
    }
    world.run(step);
    result.m_injectedFaults += world.injectedFaults();
    result.m_reached = result.m_reached && world.injectedFaults() > 0;
    for (const auto &violation : world.violations()) {
        result.m_violations.push_back(violation + " (seed " + std::to_string(seed) + ")");
    }
}

/// @brief Result of a cell in which the fault is injected once or twice; cached, so that each cell runs only once.
[[nodiscard]] auto resultOf(const FaultRow &fault, Step step, std::string_view mode) -> const CellResult &
{
    static std::map<std::string, CellResult> results;
    const auto [entry, isNew] = results.try_emplace(cellName(fault, step, mode));
    if (isNew) {
        std::vector<ArmedRow> faults{{&fault, 0}};
        if (mode == twice) {
            faults.push_back({&fault, 1});
        }
        for (std::uint64_t seed = matrixSeed; seed < matrixSeed + seedsPerCell; ++seed) {
            runCell(step, seed, faults, entry->second);
        }
    }
    return entry->second;
}

/// @brief Fails for every violation in a cell; violations that KNOWN-RED.txt lists for the cell are only printed.
auto expectNoViolations(const std::string &cell, const CellResult &result) -> void
{
    const std::string red = knownRed("faultmatrixtest", cell);
    bool isRed = false;
    for (const auto &violation : result.m_violations) {
        if (!red.empty() && violation.starts_with(red)) {
            isRed = true;
            std::cout << "KNOWN RED " << cell << ": " << violation << '\n';
        } else {
            ADD_FAILURE() << cell << ": " << violation;
        }
    }
    EXPECT_EQ(isRed, !red.empty()) << cell << " is listed in KNOWN-RED.txt and passes";
    EXPECT_TRUE(result.m_reached) << cell << ": the scenario does not reach the step";
}

auto forEachCell(const std::function<void(const FaultRow &, Step)> &visit) -> void
{
    for (const auto &fault : faultRows) {
        for (const auto &column : stepColumns) {
            if (emptyReason(fault, column.m_step).empty()) {
                visit(fault, column.m_step);
            }
        }
    }
}

/// @brief Text of a cell on the page docs/faults.md.
[[nodiscard]] auto cellText(const FaultRow &fault, Step step) -> std::string
{
    if (!emptyReason(fault, step).empty()) {
        return "-";
    }
    std::set<std::string> broken;
    for (const auto mode : {once, twice}) {
        for (const auto &violation : resultOf(fault, step, mode).m_violations) {
            broken.insert(violation.substr(0, violation.find(' ')));
        }
    }
    std::string text = broken.empty() ? "held" : "red:";
    for (const auto &invariant : broken) {
        text += " " + invariant;
    }
    return text;
}

[[nodiscard]] auto pageText() -> std::string
{
    std::ostringstream page;
    page << "# Fault matrix\n\n"
         << "Written by `faultmatrixtest`; `BURDOCKSPUR_WRITE_FAULTS=1 build/tests/faultmatrixtest` writes it again.\n"
         << "Each cell runs a load of jobs and requests, reaches the step, injects the fault at a message of\n"
         << "that step, and checks I1 to I9 and the end of all work from the records of the stand-ins. The second\n"
         << "column names the invariants that the fault threatens. `held`: no violation in any\n"
         << "run of the cell; `red`: the invariants that a run broke, listed in KNOWN-RED.txt; `-`: not applicable.\n\n| fault | invariants |";
    for (const auto &column : stepColumns) {
        page << ' ' << stepName(column.m_step) << " |";
    }
    page << "\n|---|---|";
    for (std::size_t i = 0; i < stepColumns.size(); ++i) {
        page << "---|";
    }
    page << '\n';
    for (const auto &fault : faultRows) {
        page << "| " << fault.m_name << " | " << fault.m_invariants << " |";
        for (const auto &column : stepColumns) {
            page << ' ' << cellText(fault, column.m_step) << " |";
        }
        page << '\n';
    }
    page << "\nNot applicable:\n\n";
    for (const auto &cell : emptyCells) {
        page << "- " << cell.m_fault << ", " << stepName(cell.m_step) << ": " << cell.m_reason << '\n';
    }
    return page.str();
}
}

// Guards against a simulation in which nothing happens, which would make every cell pass: without faults, all work must end.
TEST(FaultMatrixTest, EveryScenarioEndsWithoutFaults)
{
    for (const auto &column : stepColumns) {
        CellResult result;
        runCell(column.m_step, matrixSeed, {}, result);
        EXPECT_TRUE(result.m_violations.empty()) << stepName(column.m_step) << ": " << result.m_violations.front();
    }
}

// Guards against a single fault that breaks an invariant or prevents work from ending.
TEST(FaultMatrixTest, EveryFaultAtEveryStep)
{
    forEachCell([](const FaultRow &fault, Step step) {
        expectNoViolations(cellName(fault, step, once), resultOf(fault, step, once));
    });
}

// Guards against recovery that works only for the first occurrence of a fault.
TEST(FaultMatrixTest, TheSameFaultTwice)
{
    int injectedFaults = 0;
    forEachCell([&](const FaultRow &fault, Step step) {
        const CellResult &result = resultOf(fault, step, twice);
        injectedFaults += result.m_injectedFaults;
        expectNoViolations(cellName(fault, step, twice), result);
    });
    std::cout << injectedFaults << " faults injected\n"; // less than two a run where a step occurs only once
}

// Guards against a fault that occurs while the system recovers from another one.
TEST(FaultMatrixTest, PairsOfFaults)
{
    RandomSource random(matrixSeed);
    for (int i = 0; i < pairCount; ++i) {
        const auto &first = faultRows[random.below(faultRows.size())];
        const auto &second = faultRows[random.below(faultRows.size())];
        const Step step = stepColumns[random.below(stepColumns.size())].m_step;
        const int occurrence = static_cast<int>(random.below(2));
        CellResult result;
        runCell(step, random.next64(), {{&first, 0}, {&second, occurrence}}, result);
        expectNoViolations(cellName(first, step, std::string(second.m_name) + " " + std::to_string(occurrence) + " #" + std::to_string(i)), result);
    }
}

// Guards against a committed page docs/faults.md that differs from the results of the matrix.
TEST(FaultMatrixTest, CommittedPageIsCurrent)
{
    const std::string path = BURDOCKSPUR_SOURCE_DIR "/docs/faults.md";
    if (std::getenv("BURDOCKSPUR_WRITE_FAULTS") != nullptr) {
        std::ofstream(path) << pageText();
    }
    EXPECT_EQ(contentOf(path), pageText());
}
