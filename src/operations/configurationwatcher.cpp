#include "burdockspur/operations/configurationwatcher.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/impl/configurationchange.hpp"
#include "burdockspur/impl/polltimer.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <algorithm>
#include <vector>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto checkReplacement(Configuration replacement, const std::optional<Configuration> &current) -> Result<Configuration>
{
    // Jobs and workers are assigned to shards by hash, so another count would move all of them at once.
    if (current && current->m_shards != replacement.m_shards) {
        return failure(ErrorCode::BadRequest,
                       "shards: found " + std::to_string(replacement.m_shards) + ", expected the current count " + std::to_string(current->m_shards));
    }
    return replacement;
}

[[nodiscard]] auto withPreset(std::string_view preset, const std::optional<Configuration> &current) -> Result<Configuration>
{
    if (!current || std::ranges::find(current->m_presets, preset, &Preset::m_name) == current->m_presets.end()) {
        std::string names;
        for (const auto &known : current ? current->m_presets : std::vector<Preset>()) {
            names.append(names.empty() ? "" : ", ").append(known.m_name);
        }
        return failure(ErrorCode::UnknownPreset,
                       "there is no preset '" + std::string(preset) + "', expected one of: " + (names.empty() ? "none is defined" : names));
    }
    auto changed = *current;
    changed.m_presetInForce = preset;
    return changed;
}
}

class ConfigurationWatcher::Private
{
public:
    Private(TableStore &store, const ConfigurationWatcherOptions &options, Listener listener)
        : m_store(&store)
        , m_options(options)
        , m_listener(std::move(listener))
        , m_random(options.m_seed)
        , m_timer(options.m_pollInterval, options.m_seed, [this] {
            poll();
        })
    {
    }

    auto pollNow() -> void
    {
        if (m_isReading) {
            m_mustReadAgain = true;
            return;
        }
        m_timer.startNow();
    }

    auto poll() -> void
    {
        m_isReading = true;
        m_mustReadAgain = false;
        m_store->read(configurationKey, [this, alive = std::weak_ptr<int>(m_alive)](Result<std::vector<TableRow>> &&rows) {
            if (!alive.expired()) {
                handleRows(std::move(rows));
            }
        });
    }

    auto handleRows(Result<std::vector<TableRow>> &&rows) -> void
    {
        m_isReading = false;
        logAvailabilityChange(rows ? nullptr : &rows.error());
        if (rows && !rows->empty()) {
            applyRow(rows->front());
        }
        if (m_mustReadAgain) {
            m_timer.startNow();
        } else {
            m_timer.startNext();
        }
    }

    auto applyRow(const TableRow &row) -> void
    {
        if (row.m_version <= m_rejectedVersion || !mayReplaceCurrent(row.m_version)) {
            return;
        }
        auto document = ConfigurationDocument::parse(row.m_value, row.m_version);
        if (!document) {
            m_rejectedVersion = row.m_version;
            logEvent(LogLevel::Error, "configuration_rejected", {{"version", row.m_version}, {"reason", document.error().m_message}});
            return;
        }
        apply(std::move(document->m_configuration));
    }

    auto apply(Configuration &&configuration) -> void
    {
        if (!mayReplaceCurrent(configuration.m_version)) {
            return;
        }
        m_current = std::move(configuration);
        logEvent(LogLevel::Info, "configuration_in_force", {{"version", m_current->m_version}, {"preset", m_current->m_presetInForce}});
        m_listener(*m_current);
    }

    /// @brief True for a version that may replace the current one.
    [[nodiscard]] auto mayReplaceCurrent(ConfigVersion offered) const noexcept -> bool
    {
        return m_options.m_guards.m_versionFloor ? offered > version() : offered != version();
    }

    [[nodiscard]] auto version() const noexcept -> ConfigVersion
    {
        return m_current ? m_current->m_version : 0;
    }

    auto beginChange(ConfigVersion expectedVersion, ConfigurationChange::Edit edit, ChangeCallback callback) -> void
    {
        const auto slot = std::make_shared<std::weak_ptr<ConfigurationChange>>();
        const auto change = std::make_shared<ConfigurationChange>(*m_store,
                                                                  expectedVersion,
                                                                  std::move(edit),
                                                                  hexOf(m_random.next64()),
                                                                  ConfigurationChange::ReadBackLimits{m_options.m_readBackAttempts, m_options.m_readBackPause},
                                                                  [this, slot, callback = std::move(callback)](Result<Configuration> &&result) {
                                                                      std::erase(m_pendingChanges, slot->lock());
                                                                      finishChange(std::move(result), callback);
                                                                  });
        *slot = change;
        m_pendingChanges.push_back(change);
        change->begin();
    }

    auto finishChange(Result<Configuration> &&result, const ChangeCallback &callback) -> void
    {
        if (!result) {
            logEvent(LogLevel::Warning, "configuration_change_refused", {{"code", errorName(result.error().m_code)}, {"reason", result.error().m_message}});
            if (result.error().m_code == ErrorCode::Conflict) {
                pollNow();
            }
            callback(std::unexpected(std::move(result.error())));
            return;
        }
        const auto changedVersion = result->m_version;
        apply(std::move(*result));
        callback(changedVersion);
    }

    TableStore *m_store;
    ConfigurationWatcherOptions m_options;
    Listener m_listener;
    RandomSource m_random;
    PollTimer m_timer;
    std::optional<Configuration> m_current;
    ConfigVersion m_peerVersion = 0; ///< highest version that a peer has reported
    ConfigVersion m_rejectedVersion = 0; ///< last version whose document was not valid
    bool m_isReading = false;
    bool m_mustReadAgain = false; ///< a read was requested while another one was in progress
    bool m_isAvailable = true;
    std::vector<std::shared_ptr<ConfigurationChange>> m_pendingChanges;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< expires with this object; late answers of the store check it

private:
    // Logs only the transitions, not each failed poll of an outage.
    auto logAvailabilityChange(const Error *error) -> void
    {
        if (m_isAvailable == (error == nullptr)) {
            return;
        }
        m_isAvailable = error == nullptr;
        if (error != nullptr) {
            logEvent(LogLevel::Warning, "configuration_unreadable", {{"version", version()}, {"reason", error->m_message}});
        } else {
            logEvent(LogLevel::Info, "configuration_readable", {{"version", version()}});
        }
    }
};

ConfigurationWatcher::ConfigurationWatcher(TableStore &store, const ConfigurationWatcherOptions &options, Listener listener)
    : m_private(std::make_unique<Private>(store, options, std::move(listener)))
{
}

ConfigurationWatcher::~ConfigurationWatcher() = default;

auto ConfigurationWatcher::start() -> void
{
    m_private->pollNow();
}

auto ConfigurationWatcher::notifyPeerVersion(ConfigVersion version) -> void
{
    // A peer repeats its version in every message, so each version causes at most one read.
    if (version > m_private->version() && version > m_private->m_peerVersion) {
        m_private->m_peerVersion = version;
        m_private->pollNow();
    }
}

auto ConfigurationWatcher::current() const noexcept -> const std::optional<Configuration> &
{
    return m_private->m_current;
}

auto ConfigurationWatcher::change(ConfigVersion expectedVersion, std::string_view document, ChangeCallback callback) -> void
{
    auto replacement = ConfigurationDocument::parse(document, 0);
    auto edit = [replacement = std::move(replacement)](const std::optional<Configuration> &current) -> Result<Configuration> {
        return replacement ? checkReplacement(replacement->m_configuration, current) : std::unexpected(replacement.error());
    };
    m_private->beginChange(expectedVersion, std::move(edit), std::move(callback));
}

auto ConfigurationWatcher::switchPreset(ConfigVersion expectedVersion, std::string_view preset, ChangeCallback callback) -> void
{
    auto edit = [preset = std::string(preset)](const std::optional<Configuration> &current) {
        return withPreset(preset, current);
    };
    m_private->beginChange(expectedVersion, std::move(edit), std::move(callback));
}
}
