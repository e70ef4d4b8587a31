#include "faultmatrix/storelinks.hpp"

#include "burdockspur/shard/jobbatchcodec.hpp"
#include "burdockspur/shard/shardrows.hpp"

#include <algorithm>

namespace Burdockspur::FaultMatrix
{
namespace
{
constexpr Milliseconds storeTimeout{3'500}; // shorter than the time after which a write counts as lost

auto addOnce(std::vector<Step> &steps, Step step) -> void
{
    if (std::ranges::find(steps, step) == steps.end()) {
        steps.push_back(step);
    }
}

/// @brief Derives the protocol steps of a transaction from its content.
[[nodiscard]] auto stepsOf(const Transaction &transaction) -> std::vector<Step>
{
    std::vector<Step> steps;
    for (const auto &put : transaction.m_puts) {
        if (put.m_key == "config") {
            addOnce(steps, Step::Configure);
        } else if (put.m_key.ends_with("/epoch")) {
            const auto row = decodeOwnerRow(put.m_value);
            if (row && row->m_ownership.m_epoch > 1) {
                addOnce(steps, Step::TakeOver);
            }
        } else if (put.m_key.ends_with("/owner")) {
            const auto row = decodeOwnerRow(put.m_value);
            if (row && row->m_ownership.m_owner.empty()) {
                addOnce(steps, Step::Drain);
            }
        } else if (const auto batch = decodeJobBatch(put.m_value); batch && put.m_key.contains("/journal/")) {
            for (const auto &record : batch->m_records) {
                if (record.m_job.m_state == JobState::Assigned) {
                    addOnce(steps, Step::Assign);
                } else if (record.m_job.m_state == JobState::Completed) {
                    addOnce(steps, Step::Complete);
                }
            }
        }
    }
    return steps;
}
}

auto TableLink::commit(const Transaction &transaction, CommitCallback callback) -> void
{
    const auto callbackWith = [callback](CommitResult result) {
        return [callback, result = std::move(result)]() mutable {
            callback(std::move(result));
        };
    };
    const bool isJournal = std::ranges::any_of(transaction.m_puts, [](const auto &put) {
        return put.m_key.contains("/journal/");
    });
    ++(isJournal ? m_platform.m_calls.m_journalRows : m_platform.m_calls.m_otherWrites);
    m_platform.m_simulation.call(
        {stepsOf(transaction), &m_host, nullptr},
        storeTimeout,
        [this, transaction, callbackWith](const Simulation::Respond &respond) {
            m_platform.serve(
                true,
                [respond, callbackWith] {
                    respond(callbackWith({.m_status = CommitResult::Status::NotApplied, .m_rows = {}, .m_error = {ErrorCode::Unavailable, "refused"}}));
                },
                [this, transaction, respond, callbackWith] {
                    respond(callbackWith(m_platform.commit(transaction)));
                });
        },
        [callbackWith](bool /*refused*/) {
            callbackWith({.m_status = CommitResult::Status::Unknown, .m_rows = {}, .m_error = {ErrorCode::Timeout, "no answer"}})();
        });
}

auto TableLink::query(const Query &rows, const RowsCallback &callback) -> void
{
    m_platform.m_simulation.call(
        {{}, &m_host, nullptr},
        storeTimeout,
        [this, rows, callback](const Simulation::Respond &respond) {
            m_platform.serve(
                false,
                [respond, callback] {
                    respond([callback] {
                        callback(failure(ErrorCode::Unavailable, "refused"));
                    });
                },
                [respond, callback, rows] {
                    respond([callback, found = rows()]() mutable {
                        callback(std::move(found));
                    });
                });
        },
        [callback](bool /*refused*/) {
            callback(failure(ErrorCode::Timeout, "no answer"));
        });
}

auto TableLink::read(std::string_view key, RowsCallback callback) -> void
{
    ++m_platform.m_calls.m_rowReads;
    query(
        [this, name = std::string(key)] {
            const auto row = m_platform.m_table.read(name);
            return row ? std::vector<TableRow>{*row} : std::vector<TableRow>{};
        },
        callback);
}

auto TableLink::scan(std::string_view prefix, std::string_view after, std::uint32_t limit, RowsCallback callback) -> void
{
    ++m_platform.m_calls.m_contentReads;
    query(
        [this, start = std::string(prefix), last = std::string(after), limit] {
            return m_platform.m_table.scan(start, last, limit);
        },
        callback);
}

auto ObjectLink::put(std::string_view name, std::string bytes, DoneCallback callback) -> void
{
    ++m_platform.m_calls.m_otherWrites;
    m_platform.m_simulation.call(
        {{}, &m_host, nullptr},
        storeTimeout,
        [this, name = std::string(name), bytes = std::move(bytes), callback](const Simulation::Respond &respond) {
            m_platform.serve(
                true,
                [respond, callback] {
                    respond([callback] {
                        callback(failure(ErrorCode::Unavailable, "refused"));
                    });
                },
                [this, respond, callback, name, bytes] {
                    m_platform.m_objects.put(name, bytes);
                    respond([callback] {
                        callback({});
                    });
                });
        },
        [callback](bool /*refused*/) {
            callback(failure(ErrorCode::Timeout, "no answer"));
        });
}

auto ObjectLink::get(std::string_view name, BytesCallback callback) -> void
{
    ++m_platform.m_calls.m_contentReads;
    m_platform.m_simulation.call(
        {{}, &m_host, nullptr},
        storeTimeout,
        [this, name = std::string(name), callback](const Simulation::Respond &respond) {
            m_platform.serve(
                false,
                [respond, callback] {
                    respond([callback] {
                        callback(failure(ErrorCode::Unavailable, "refused"));
                    });
                },
                [this, respond, callback, name] {
                    const std::string *const found = m_platform.m_objects.find(name);
                    Result<std::string> bytes = failure(ErrorCode::AnswerCorrupt, "no such object");
                    if (found != nullptr) {
                        bytes = *found;
                    }
                    respond([callback, bytes = std::move(bytes)]() mutable {
                        callback(std::move(bytes));
                    });
                });
        },
        [callback](bool /*refused*/) {
            callback(failure(ErrorCode::Timeout, "no answer"));
        });
}

auto ObjectLink::remove(std::string_view name, DoneCallback callback) -> void
{
    m_platform.m_objects.remove(name);
    m_platform.m_simulation.after(m_host, m_platform.m_simulation.randomLatency(), [callback] {
        callback({});
    });
}
}
