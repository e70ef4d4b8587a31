#pragma once

namespace Burdockspur
{
/// @brief Switches for the safety checks, so that tests can show which failure each check prevents.
///
/// The daemons always use the defaults. Only tests turn a guard off, through the settings or limits that they pass to a
/// decision object; no settings file or command-line flag sets them.
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
    bool m_incarnationCheck = true; ///< `never_started` is accepted only from the worker incarnation that the request was sent to
    bool m_keyMap = true; ///< a non-idempotent request with a key goes only to the process that the key map assigns to the key
};
}
