#include "faultmatrix/simulatedplatform.hpp"

#include "burdockspur/shard/jobbatchcodec.hpp"
#include "burdockspur/shard/shardrows.hpp"

#include <algorithm>

namespace Burdockspur::FaultMatrix
{
auto SimulatedPlatform::serve(bool writes, const Simulation::Action &refused, const Simulation::Action &served) -> void
{
    constexpr double writesPerSecond = 2;
    constexpr double readsPerSecond = 5;
    constexpr Milliseconds slowness{2'500}; // below the timeout of a store call, above the heartbeat period
    auto &bucket = writes ? m_writes : m_reads;
    const double rate = m_rateLimits > 0 ? (writes ? writesPerSecond : readsPerSecond) : 0;
    if (m_silentOutages > 0) {
        return;
    }
    if (m_outages > 0 || !bucket.take(m_simulation.m_now, rate, 1)) {
        refused();
    } else if (m_slowdowns > 0) {
        m_simulation.after(slowness, served);
    } else {
        served();
    }
}

auto SimulatedPlatform::commit(const Transaction &transaction) -> CommitResult
{
    auto result = m_table.commit(transaction);
    if (result.m_status != CommitResult::Status::Committed) {
        return result;
    }
    for (const auto &put : transaction.m_puts) {
        if (const auto snapshot = decodeSnapshotRow(put.m_value); snapshot && put.m_key.ends_with("/snapshot")) {
            m_snapshotSequence = std::max(m_snapshotSequence, snapshot->m_sequence);
        }
        // A late copy of a journal row that a snapshot has replaced may still be written; recovery ignores it.
        if (!put.m_key.contains("/journal/") || journalSequenceOf(put.m_key) <= m_snapshotSequence) {
            continue;
        }
        if (const auto batch = decodeJobBatch(put.m_value)) {
            for (const auto &record : batch->m_records) {
                recordJob(record.m_job);
            }
        }
    }
    return result;
}

auto SimulatedPlatform::hosts() -> const HostListing &
{
    if (m_staleLists == 0) {
        m_lastListing = m_hostList.visible(m_simulation.m_now);
    }
    return m_lastListing;
}

auto SimulatedPlatform::recordJob(const Job &job) -> void
{
    const auto [known, added] = m_jobs.try_emplace(job.m_id, job);
    if (!added && isTerminal(known->second.m_state) && known->second.m_state != job.m_state) {
        m_violations.push_back("I2 " + job.m_id + " changed from the end " + std::string(jobStateName(known->second.m_state)) + " to "
                               + std::string(jobStateName(job.m_state)));
    }
    known->second = job;
}
}
