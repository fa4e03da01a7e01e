#pragma once

#include "process/json_line.h"
#include "tamarackridge/src/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Class of a log line; each class has its own rate limit.
enum class line_class : std::uint8_t {
    process, ///< Start, stop, and state changes of dependencies, peers and servers.
    /// A request that ended late, or that may have run and got no backend response.
    failure,
    refusal, ///< A request that was refused before it ran.
    success,
};

/// \brief Writes JSON log lines to standard output, rate-limited and without blocking.
///
/// Each class has a budget of lines per second. Lines over the budget, or that come while the
/// buffer is full, are dropped and counted; the count is logged in a separate line.
class output_log
{
public:
    output_log();

    /// \brief Adds the time and \a event to \a line, and buffers it.
    void write(line_class kind, std::string_view event, json_line line);
    /// \brief Writes buffered lines to standard output; must be called a few times a second.
    void flush(time_point now);
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct budget
    {
        double perSecond = 0;
        double available = 0; ///< Lines that may be written now.
    };

    bool consumeBudget(line_class kind);
    void append(std::string_view event, json_line line);
    void reportDropped();

    std::array<budget, 4> m_budgets;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
    time_point m_refilledAt;
};

} // namespace tamarackridge
