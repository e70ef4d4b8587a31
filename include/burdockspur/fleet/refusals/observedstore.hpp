#pragma once

#include "burdockspur/fleet/refusals/storereachability.hpp"
#include "burdockspur/port/changestore.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace Burdockspur
{
/// @brief Passes calls to a store, reports them to StoreReachability, and ends calls that an outage has made futile.
///
/// A call that is ended early has the result of a call without an answer: a transaction that was sent may still take effect. The
/// holder of the views has to call StoreReachability::check() regularly; a timer for each call would wake the host several times a second.
class ObservedStore final : public ChangeStore
{
public:
    /// @brief What becomes of calls while the store does not answer.
    enum class DuringOutage : std::uint8_t {
        Call, ///< calls are sent, and the first answer shows the end of the outage
        Refuse, ///< new calls are not sent, and open ones end as soon as a silence is known; a store that refuses ends them itself
    };

    struct Listener {
        std::function<void()> m_changed; ///< called when the condition of the store has changed; must call applyCondition() of all views
        std::function<void(Milliseconds, std::function<void()>)> m_runLater; ///< runs a function in the event loop after a delay
    };

    /// @param store must outlive the object
    /// @param reachability shared by all views of the same store; must outlive the object
    /// @param duringOutage what becomes of calls while the store does not answer
    /// @param listener callbacks
    ObservedStore(ChangeStore &store, StoreReachability &reachability, DuringOutage duringOutage, Listener listener);
    ~ObservedStore() override;
    ObservedStore(const ObservedStore &) = delete;
    ObservedStore(ObservedStore &&) = delete;
    auto operator=(const ObservedStore &) -> ObservedStore & = delete;
    auto operator=(ObservedStore &&) -> ObservedStore & = delete;

    auto commit(const Transaction &transaction, CommitCallback callback) -> void override;
    auto read(std::string_view key, RowsCallback callback) -> void override;
    auto scan(std::string_view prefix, std::string_view after, std::uint32_t limit, RowsCallback callback) -> void override;
    auto list(std::string_view table, std::string_view partition, std::string_view after, std::uint32_t limit, PageCallback callback) -> void override;
    auto follow(std::string_view table, std::uint64_t version, Milliseconds wait, PageCallback callback) -> void override;

    /// @brief Ends the open calls that the condition of the store has made futile. To be called after each change of the condition.
    ///
    /// When the store answers again, calls from the time of the silence are ended, because a silent store has dropped them.
    auto applyCondition() -> void;

private:
    struct OpenCall;

    /// @brief Refuses a call without sending it.
    /// @returns true when the call is refused; its callback runs later
    template<typename Reply>
    [[nodiscard]] auto refuse(const std::function<void(Reply &&)> &callback) -> bool;

    /// @brief Records a call that is about to be sent.
    /// @returns the callback to pass to the store
    template<typename Reply>
    [[nodiscard]] auto observe(std::function<void(Reply &&)> callback, Milliseconds wait) -> std::function<void(Reply &&)>;

    auto endCalls(TimePoint sentBefore, std::string_view reason) -> void;

    ChangeStore &m_store;
    StoreReachability &m_reachability;
    DuringOutage m_duringOutage;
    Listener m_listener;
    std::map<StoreReachability::CallNumber, OpenCall> m_open;
    std::shared_ptr<bool> m_alive; ///< false once the object is destroyed, so that delayed calls do nothing
};
}
