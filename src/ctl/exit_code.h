#pragma once

namespace tamarackridge {

/// \brief Exit codes of tamarackridge-ctl; scripts depend on them.
enum class exit_code : int {
    success = 0,
    usage = 1, ///< Wrong command, flag or file.
    invalid = 2, ///< The configuration has faults.
    conflict = 3, ///< Another publication came first.
    log_unavailable = 4, ///< The log cannot be read, or the outcome of an append is not known.
    fleet_behind = 5, ///< A node or zone was not heard, is behind or unconfirmed.
    not_found = 6, ///< No such customer or key.
};

} // namespace tamarackridge
