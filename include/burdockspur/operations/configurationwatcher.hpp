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

/// @brief Times of a ConfigurationWatcher.
struct ConfigurationWatcherOptions {
    Milliseconds m_pollInterval{1'000};
    int m_settleAttempts = 10; ///< reads of the row after a change without a confirmed result
    Milliseconds m_settlePause{500}; ///< before each of them
    std::uint64_t m_seed = 0; ///< of jitter and ids of changes; must differ between processes
    Guards m_guards{};
};

/// @brief Keeps the newest configuration of the table, and changes it.
///
/// Lives in the thread of an EventLoopDuty. It never goes back to a lower version, and keeps the last one
/// while the table is unavailable or holds a document that is not valid.
///
/// @code
/// ConfigurationWatcher watcher(store, options, [&](const Configuration &configuration) { ring.tryPush(configuration); });
/// watcher.start();
/// @endcode
class ConfigurationWatcher
{
public:
    /// @brief Takes each new version, in the watcher's thread.
    using Listener = std::function<void(const Configuration &)>;

    /// @brief Takes the new version, or why the change is not in force; called exactly once while the
    /// watcher exists, never from within the call.
    ///
    /// Errors: BadRequest for a document that is not valid or has another shard count, UnknownPreset,
    /// Conflict with the current version in the message, Unavailable or RateLimited when nothing was
    /// written, OutcomeUnknown when the table did not confirm the change in time.
    using ChangeCallback = std::function<void(Result<ConfigVersion> &&)>;

    /// @param store outlives the watcher
    /// @param options times and seed
    /// @param listener takes each new version
    ConfigurationWatcher(TableStore &store, const ConfigurationWatcherOptions &options, Listener listener);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher &) = delete;
    ConfigurationWatcher(ConfigurationWatcher &&) = delete;
    auto operator=(const ConfigurationWatcher &) -> ConfigurationWatcher & = delete;
    auto operator=(ConfigurationWatcher &&) -> ConfigurationWatcher & = delete;

    /// @brief Reads the row at once and then in each interval.
    auto start() -> void;

    /// @brief Reads the row at once when a peer knows a higher version; once for each such version.
    auto noteVersion(ConfigVersion version) -> void;

    /// @brief The newest configuration, or nothing before the first was read.
    [[nodiscard]] auto current() const noexcept -> const std::optional<Configuration> &;

    /// @brief Replaces the document.
    /// @param expectedVersion version that the change is based on; 0 stores the first document
    /// @param document JSON text
    /// @param callback takes the result
    auto change(ConfigVersion expectedVersion, std::string_view document, ChangeCallback callback) -> void;

    /// @brief Puts another preset in force.
    /// @param expectedVersion version that the change is based on
    /// @param preset name of a preset of the document
    /// @param callback takes the result
    auto switchPreset(ConfigVersion expectedVersion, std::string_view preset, ChangeCallback callback) -> void;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};
}
