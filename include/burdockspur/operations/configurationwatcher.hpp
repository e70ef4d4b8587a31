#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/core/guards.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Burdockspur
{
class TableStore;

/// @brief Times, limits and seed of a ConfigurationWatcher.
struct ConfigurationWatcherOptions {
    Milliseconds m_pollInterval{1'000};
    int m_readBackAttempts = 10; ///< reads of the row after a change whose result is unknown
    Milliseconds m_readBackPause{500}; ///< pause before each of these reads
    std::uint64_t m_seed = 0; ///< seed of the jitter and of the ids of changes; must differ between processes
    Guards m_guards{};
};

/// @brief Polls the configuration row of the table service, delivers each new version, and changes the row.
///
/// Belongs to the thread of an EventLoopDuty. It never replaces a configuration by a lower version, and keeps the last one
/// while the table service is unavailable or its document is not valid.
///
/// @code
/// ConfigurationWatcher watcher(store, options, [&](const Configuration &configuration) { ring.tryPush(configuration); });
/// watcher.start();
/// @endcode
class ConfigurationWatcher
{
public:
    /// @brief Called with each new version, in the watcher's thread.
    using Listener = std::function<void(const Configuration &)>;

    /// @brief Called with the new version, or with the reason why the change is not in force.
    ///
    /// Called exactly once if the watcher still exists, and never before change() or switchPreset() has returned.
    ///
    /// Errors: BadRequest for a document that is not valid or has another shard count, UnknownPreset,
    /// Conflict with the current version in the message, Unavailable or RateLimited when nothing was
    /// written, OutcomeUnknown when the table service did not confirm the change in time.
    using ChangeCallback = std::function<void(Result<ConfigVersion> &&)>;

    /// @param store table service; must outlive the watcher
    /// @param options times, limits and seed
    /// @param listener receives each new version
    ConfigurationWatcher(TableStore &store, const ConfigurationWatcherOptions &options, Listener listener);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher &) = delete;
    ConfigurationWatcher(ConfigurationWatcher &&) = delete;
    auto operator=(const ConfigurationWatcher &) -> ConfigurationWatcher & = delete;
    auto operator=(ConfigurationWatcher &&) -> ConfigurationWatcher & = delete;

    /// @brief Reads the row at once and then once in each interval.
    auto start() -> void;

    /// @brief Reads the row at once when a peer reports a version above the current one; at most once for each version.
    auto notifyPeerVersion(ConfigVersion version) -> void;

    /// @brief The newest configuration; empty until the first one has been read.
    [[nodiscard]] auto current() const noexcept -> const std::optional<Configuration> &;

    /// @brief Replaces the document.
    /// @param expectedVersion version that the change is based on; 0 stores the first document
    /// @param document JSON text
    /// @param callback receives the result
    auto change(ConfigVersion expectedVersion, std::string_view document, ChangeCallback callback) -> void;

    /// @brief Puts another preset in force.
    /// @param expectedVersion version that the change is based on
    /// @param preset name of a preset of the document
    /// @param callback receives the result
    auto switchPreset(ConfigVersion expectedVersion, std::string_view preset, ChangeCallback callback) -> void;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};
}
