#pragma once

#include "process/json_line.h"
#include "tamarackridge/src/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief How much a line is worth when there are too many.
enum class line_class : std::uint8_t {
    process, ///< Start, stop, dependencies, beliefs.
    /// A request that may have run and ended without a backend server's answer, or late.
    failure,
    refusal, ///< A request that was refused before it ran.
    success,
};

/// \brief Structured lines on standard output, bounded in volume and never blocking.
///
/// Each class has a budget of lines per second. What is over it, or does not fit the pipe, is
/// counted, and the counts are written as a line of their own.
class output_log
{
public:
    output_log();

    /// \brief Writes a line with the time, \a event and what \a line holds.
    void write(line_class kind, std::string_view event, json_line line);
    /// \brief Hands collected lines to the system; called a few times a second.
    void flush(time_point now);
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct budget
    {
        double perSecond = 0;
        double left = 0;
    };

    bool take(line_class kind);
    void append(std::string_view event, json_line line);
    void reportDropped();

    std::array<budget, 4> m_budgets;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
    time_point m_filledAt;
};

} // namespace tamarackridge
