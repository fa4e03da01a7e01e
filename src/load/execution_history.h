#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>

namespace tamarackridge::load {

/// \brief Executions of one load id according to the journals of the backend servers.
struct execution_history
{
    unsigned starts = 0;
    unsigned completed = 0; ///< Executions that ended with `done`.
    unsigned shed = 0; ///< Times a backend server refused the request before it ran.
    std::int64_t firstStartNs = 0; ///< In nanoseconds of this machine's steady clock.
};

/// \brief Histories sorted by load id, so that reports have a stable order.
using history_index = std::map<std::string, execution_history, std::less<>>;

/// \brief Adds one journal to \a index.
/// \returns the number of lines that could not be read, for example one cut short by a crash.
std::size_t readJournal(std::istream &journal, history_index &index);

} // namespace tamarackridge::load
