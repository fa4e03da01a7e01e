#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackridge {

/// \brief Severity of a log line.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// \returns the level named \a name (`debug`, `info`, `warning` or `error`), or nothing.
std::optional<log_level> logLevelFrom(std::string_view name);
std::string_view toString(log_level level);

/// \brief Name and value added to a log line; a request id is logged as the field `request`.
struct log_field
{
    std::string_view name;
    std::string_view value;
};

/// \brief Configures logging: lines of at least \a level are written to standard error, each as one
/// JSON object.
void setUpLog(log_level level);
/// \brief Changes the minimum level at run time.
void setLogLevel(log_level level);
log_level currentLogLevel();

/// \brief Writes one line with time, level, message and \a fields.
///
/// \code
/// logLine(log_level::warning, "append failed", {{"stream", "config"}});
/// \endcode
void logLine(log_level level, std::string_view message,
             std::initializer_list<log_field> fields = {});

/// \returns the current time as RFC 3339 with milliseconds, in UTC.
std::string utcNow();

} // namespace tamarackridge
