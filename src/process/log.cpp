#include "process/log.h"

#include "process/json_line.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <chrono>
#include <ctime>

namespace tamarackridge {
namespace {

struct level_entry
{
    log_level level;
    spdlog::level::level_enum sink;
    std::string_view name;
};

constexpr std::array<level_entry, 4> levels = {
        level_entry{log_level::debug, spdlog::level::debug, "debug"},
        level_entry{log_level::info, spdlog::level::info, "info"},
        level_entry{log_level::warning, spdlog::level::warn, "warning"},
        level_entry{log_level::error, spdlog::level::err, "error"}};

const level_entry &entryOf(log_level level)
{
    return levels[static_cast<std::size_t>(level)];
}

spdlog::logger &logger()
{
    static const std::shared_ptr<spdlog::logger> instance = [] {
        auto created = std::make_shared<spdlog::logger>(
                "tamarackridge", std::make_shared<spdlog::sinks::stderr_sink_mt>());
        created->set_pattern("%v"); // The message is the complete JSON object.
        return created;
    }();
    return *instance;
}

} // namespace

std::optional<log_level> logLevelFrom(std::string_view name)
{
    for (const level_entry &entry : levels) {
        if (entry.name == name)
            return entry.level;
    }
    return std::nullopt;
}

std::string_view toString(log_level level)
{
    return entryOf(level).name;
}

void setUpLog(log_level level)
{
    setLogLevel(level);
    logger().flush_on(spdlog::level::debug);
}

void setLogLevel(log_level level)
{
    logger().set_level(entryOf(level).sink);
}

log_level currentLogLevel()
{
    for (const level_entry &entry : levels) {
        if (entry.sink == logger().level())
            return entry.level;
    }
    return log_level::error;
}

void logLine(log_level level, std::string_view message, std::initializer_list<log_field> fields)
{
    const level_entry &entry = entryOf(level);
    if (!logger().should_log(entry.sink))
        return;
    json_line line;
    line.add("time", utcNow()).add("level", entry.name).add("message", message);
    for (const log_field &field : fields)
        line.add(field.name, field.value);
    const std::string text = line.finish();
    logger().log(entry.sink, spdlog::string_view_t(text.data(), text.size()));
}

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    return spdlog::fmt_lib::format("{}.{:03}Z", std::string_view(text.data(), length),
                                   milliseconds % 1000);
}

} // namespace tamarackridge
