#include "burdockspur/operations/hostwatcher.hpp"

#include "burdockspur/impl/polltimer.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/hostlist.hpp"

namespace Burdockspur
{
class HostWatcher::Private
{
public:
    Private(HostList &list, Milliseconds interval, std::uint64_t seed, Listener listener)
        : m_list(&list)
        , m_listener(std::move(listener))
        , m_timer(interval, seed, [this] {
            poll();
        })
    {
    }

    auto poll() -> void
    {
        m_list->fetch([this, alive = std::weak_ptr<int>(m_alive)](Result<HostListing> &&listing) {
            if (!alive.expired()) {
                m_timer.startNext();
                handleListing(std::move(listing));
            }
        });
    }

    auto handleListing(Result<HostListing> &&listing) -> void
    {
        logAvailabilityChange(listing ? nullptr : &listing.error());
        if (!listing || (m_current && m_current->m_hosts == listing->m_hosts)) {
            return;
        }
        m_current = std::move(*listing);
        logEvent(LogLevel::Info, "hosts_changed", {{"generation", m_current->m_generation}, {"hosts", m_current->m_hosts.size()}});
        m_listener(*m_current);
    }

    HostList *m_list;
    Listener m_listener;
    PollTimer m_timer;
    std::optional<HostListing> m_current;
    bool m_isAvailable = true;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< expires with this object; late answers of the list check it

private:
    // Logs only the transitions, not each failed poll of an outage.
    auto logAvailabilityChange(const Error *error) -> void
    {
        if (m_isAvailable == (error == nullptr)) {
            return;
        }
        m_isAvailable = error == nullptr;
        if (error != nullptr) {
            logEvent(LogLevel::Warning, "hosts_unreadable", {{"reason", error->m_message}});
        } else {
            logEvent(LogLevel::Info, "hosts_readable", {});
        }
    }
};

HostWatcher::HostWatcher(HostList &list, Milliseconds interval, std::uint64_t seed, Listener listener)
    : m_private(std::make_unique<Private>(list, interval, seed, std::move(listener)))
{
}

HostWatcher::~HostWatcher() = default;

auto HostWatcher::start() -> void
{
    m_private->m_timer.startNow();
}

auto HostWatcher::current() const noexcept -> const std::optional<HostListing> &
{
    return m_private->m_current;
}
}
