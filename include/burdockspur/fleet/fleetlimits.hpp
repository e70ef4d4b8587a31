#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Bounds and weights of the scheduling decisions.
struct FleetLimits {
    /// Lease of a worker from one report to the next. Long enough for a takeover (1.6 s of silence, the reads and one
    /// report), and no longer, because the tasks of a lost worker wait for its end.
    Milliseconds m_lease{5'000};

    /// After a takeover, how long a worker that does not answer may still run what the previous owner started: the
    /// longest that the previous owner renews without the store (m_renewWithoutStore), one lease, and the drift.
    Milliseconds m_unknownLease{9'400};

    /// An owner that cannot reach the store stops to renew leases after this time, so that a successor that cannot
    /// reach a worker knows when its tasks have ended. Tasks outlive store outages of 9 s, with the lease; a longer time would
    /// hold up the tasks of a worker that is lost together with the owner.
    Milliseconds m_renewWithoutStore{4'000};

    /// Clocks of workers may be 2% slow (platform's bound).
    double m_clockDrift = 0.02;

    /// Longest wait of a worker for news while it reports. The tails of serving tasks are read this often; they are figures of
    /// half a second, and each time that one is over its target unseen counts.
    Milliseconds m_reportWait{400};

    /// The same while the owner is late. A task over its target is still seen and slowed within the 4 s that the platform allows.
    Milliseconds m_lateReportWait{800};

    /// The same of a worker that runs nothing, which has nothing to tell. Half of the platform's bound, and well below m_reportFresh,
    /// so that the worker stays open for new tasks.
    Milliseconds m_idleReportWait{1'000};

    /// Between two reports of a worker that failed to answer.
    Milliseconds m_reportRetry{250};

    /// A worker without a report for this long gets no new tasks.
    Milliseconds m_reportFresh{2'600};

    /// Between two commits; one more crossing of zones is small against it, and it bounds the calls to the store.
    Milliseconds m_commitInterval{20};

    /// Commit without changes, as a sign of life.
    Milliseconds m_idleCommit{400};

    /// Between two writes of the learned pressures, 3 KB each; a successor loses what was learned since.
    Milliseconds m_modelInterval{3'000};

    /// Pause before a commit is repeated that the store did not take.
    Milliseconds m_commitRetry{150};

    /// Rows of one transaction; the platform takes 100 entries, of which one is the owner's row.
    std::size_t m_rowsPerCommit = 90;

    /// Bytes of one transaction; the platform takes 1 MB with base64 and envelope.
    std::size_t m_bytesPerCommit = 600'000;

    /// Between two rounds of placement while tasks wait and nothing happens: room also comes from lower tails and from
    /// workers that are trusted again.
    Milliseconds m_placementInterval{200};

    /// Tasks for which one round of placement seeks a worker; the rest goes on after the inputs that have come meanwhile, so
    /// that reports, leases and commits wait for milliseconds on a host of 0.12 processors.
    std::size_t m_triesPerRound = 128;

    /// A serving task that has waited for this long goes before short work of the same priority, which would otherwise take
    /// every room that becomes free. It has to run again within 6 s (platform's bound), and a room has to become free first.
    Milliseconds m_servingPatience{1'500};

    /// Between two orders to stop the same run.
    Milliseconds m_stopRetry{700};

    /// How long a final state stays known (platform's bound of 120 s and a margin for late repeats).
    Milliseconds m_retention{150'000};

    /// Share of their declared processors that serving tasks use while nothing else is known of them.
    double m_servingUse = 0.5;

    /// Share of a worker's processors that tasks may use in all before it takes no more filling tasks.
    double m_fillCeiling = 0.95;
};
}
