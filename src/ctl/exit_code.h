#pragma once

namespace tamarackridge {

/// \brief Exit codes of tamarackridge-ctl; scripts depend on them.
enum class exit_code : int {
    success = 0,
    usage = 1, ///< Invalid command or flag, or unreadable file.
    invalid = 2, ///< The configuration has errors.
    conflict = 3, ///< Another publication was applied first.
    log_unavailable = 4, ///< The log cannot be read, or the outcome of an append is unknown.
    fleet_behind = 5, ///< A node or zone did not respond, is behind or unconfirmed.
    not_found = 6, ///< No such customer or key.
};

} // namespace tamarackridge
