#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Limits, intervals and weights of the scheduling decisions.
struct FleetLimits {
    /// Length of a worker's lease, renewed with each report. It has to outlast a takeover (1.6 s without a commit of the owner, the reads and one
    /// report); a longer lease delays the restart of the tasks of a lost worker.
    Milliseconds m_lease{5'000};

    /// How long after the last commit of the previous owner a worker that does not answer may still run tasks that it started: the
    /// longest time that an owner renews leases without the store (m_renewWithoutStore), plus one lease, plus the clock drift. Shorter for a worker
    /// that the previous owner has listed as silent.
    Milliseconds m_inheritedLease{9'400};

    /// An owner that cannot reach the store stops renewing leases after this time, so that a successor that cannot reach a
    /// worker can compute when its tasks have ended. Together with the lease, tasks survive store outages of 9 s. A longer time
    /// would delay the tasks of a worker that is lost together with the owner.
    Milliseconds m_renewWithoutStore{4'000};

    /// Largest share by which the clock of a worker may be slow (platform's bound).
    double m_clockDrift = 0.02;

    /// How long a worker may delay its report while nothing changes and filling tasks work beside a serving task that is near its target. The tail
    /// latencies of serving tasks are read at this interval; each covers half a second, and the time during which one exceeds its target unnoticed
    /// counts against the objective.
    Milliseconds m_reportWait{400};

    /// Replaces m_reportWait for a worker without such tasks; at most m_lateReportWait, because filling tasks may bring a tail over its target just after a
    /// report. Samples of serving tasks also show the trend of their job, which others on more workers report too.
    Milliseconds m_progressReportWait{800};

    /// Replaces m_reportWait while the owner processes reports late. A tail above its target is still detected, and the filling
    /// tasks slowed, within the 4 s that the platform allows.
    Milliseconds m_lateReportWait{800};

    /// Replaces m_reportWait for a worker without runs. Half of the platform's bound, and well below m_reportMaxAge, so that the
    /// worker still accepts new tasks.
    Milliseconds m_idleReportWait{1'000};

    /// Pause before the next report order to a worker whose last report failed.
    Milliseconds m_reportRetryDelay{250};

    /// A worker whose last report is older gets no new tasks.
    Milliseconds m_reportMaxAge{2'600};

    /// Least time between two commits; limits the load of the store, and is long compared with a round trip between zones.
    Milliseconds m_commitInterval{20};

    /// Time between commits while nothing changes; they show other hosts that the owner is alive.
    Milliseconds m_idleCommitInterval{400};

    /// Time between two writes of the interference model, 3 KB each; a successor loses what was learned since the last one.
    Milliseconds m_modelInterval{3'000};

    /// Pause before a commit that was not stored is repeated.
    Milliseconds m_commitRetryDelay{150};

    /// Largest number of rows in a commit; the platform accepts 100 entries per transaction, and one is the owner's row.
    std::size_t m_rowsPerCommit = 90;

    /// Largest size of the progress rows in a commit; the platform accepts 1 MB including base64, envelope, the model and the owner's row.
    std::size_t m_bytesPerCommit = 550'000;

    /// Largest size of a row's value (platform's bound).
    std::size_t m_rowBytes = 65'536;

    /// Nothing is started while this host last confirmed longer ago that it knows every closed zone; 0 for no limit.
    Milliseconds m_maxZonesAge{0};

    /// Time between two placement rounds while tasks wait and no event calls for one: capacity also becomes free when tail latencies
    /// fall and when workers are trusted again.
    Milliseconds m_placementInterval{200};

    /// Least time between the beginnings of two rounds. A round visits every worker, so an owner that made one for each answer would spend its processor
    /// on rounds; the inputs of this time share one. Short compared with a commit.
    Milliseconds m_roundInterval{5};

    /// Number of tasks that one placement round tries to place. The next round resumes there after the pending inputs were
    /// processed, so that reports, leases and commits are delayed by milliseconds only on a host with 0.12 processors.
    std::size_t m_triesPerRound = 128;

    /// A serving task that has waited longer for its first run is placed before finite work of the same priority, and capacity is kept for it;
    /// otherwise finite work would take all capacity that becomes free. One that has run before does not wait: it has to run again within 6 s
    /// (platform's bound), and capacity has to become free first.
    Milliseconds m_servingMaxWait{1'500};

    /// After this time, finite runs are stopped on the worker whose capacity is kept for a serving task. Most finite runs end sooner by themselves.
    /// Runs of a higher priority are not stopped for the first run of a serving task.
    Milliseconds m_servingPreemptionWait{2'500};

    /// After this time, a serving task goes before all finite work, and runs of every priority are stopped for it. The platform allows 6 s and 3 s
    /// more; the rest is for the stops, a commit and the start.
    Milliseconds m_servingMaxDelay{7'000};

    /// Time between two orders to stop the same run.
    Milliseconds m_stopRetryInterval{700};

    /// How long the final state of a job is kept (platform's bound of 120 s, plus a margin for late repeats).
    Milliseconds m_retention{150'000};

    /// A job without a run, one of whose tasks has waited for this time, gets one task placed before all others and in spite of the guards
    /// of placement, while its pool is mostly free. The platform allows 3 s; the rest is for a round, a commit and the start order.
    Milliseconds m_maxIdle{2'000};

    /// A pool counts as mostly free while a smaller share of its processors and of its memory is reserved. The platform's bound is a half; the
    /// margin covers workers that have just left or joined.
    double m_mostlyFreeUse = 0.55;

    /// Lowest pace, in percent, to which a yielding run is slowed because other runs use the processors.
    int m_minYieldingPace = 10;

    /// Assumed share of its declared processors that a serving task uses.
    double m_assumedServingUse = 0.5;

    /// Share of a worker's processors above which it accepts no more filling tasks.
    double m_maxFillingUse = 0.95;
};
}
