#pragma once

namespace Burdockspur
{
/// @brief Switches of the checks that keep the guarantees, so that tests can show what each of them prevents.
///
/// The daemons always use the default. Only tests turn a guard off, through the settings or limits that a decision
/// object takes; no settings file or flag reaches them.
///
/// @code
/// ShardSettings settings;
/// settings.m_guards.m_tombstoneWait = false;
/// @endcode
struct Guards {
    bool m_epochCheck = true; ///< an owner stops when its epoch condition fails, and ignores answers to other epochs
    bool m_tombstoneWait = true; ///< the next attempt starts only after a stop, a tombstone or the end of the lease
    bool m_writeAhead = true; ///< an attempt starts only after its assignment is durable
    bool m_operationId = true; ///< after a lost answer, a row counts as written only if it has the operation's id
    bool m_slotBound = true; ///< requests in progress on a worker never exceed its slots or the host's share of connections
    bool m_versionFloor = true; ///< a configuration never goes back to a lower version
    bool m_incarnationCheck = true; ///< `never_started` counts only from the incarnation that was asked
    bool m_keyMap = true; ///< a non-idempotent request with a key goes only to the home that the key map gives
};
}
