#include "process/json_line.h"
#include "process/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace tamarackridge {
namespace {

using nlohmann::json;

// Guards against a value that terminates its JSON string early or breaks the line.
TEST(process_json_line, escapes_every_byte)
{
    std::string text;
    for (int byte = 0; byte < 0x80; ++byte)
        text += static_cast<char>(byte);
    text += "\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80"; // One character each of 2, 3 and 4 bytes.
    const std::string line = json_line().add("text", text).add("n", -1).add("b", true).finish();
    EXPECT_EQ(line.find('\n'), std::string::npos);
    const json parsed = json::parse(line);
    EXPECT_EQ(parsed["text"], text);
    EXPECT_EQ(parsed["n"], -1);
    EXPECT_EQ(parsed["b"], true);
}

// Guards against invalid UTF-8 that makes the entire line unparsable.
TEST(process_json_line, replaces_invalid_utf8)
{
    for (const char *const text :
         {"\xff", "\xc3", "\xc0\x80", "\xe2\x82", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\x80"}) {
        const json parsed = json::parse(json_line().add("t", text).finish(), nullptr, false);
        ASSERT_FALSE(parsed.is_discarded());
        EXPECT_TRUE(parsed["t"].get<std::string>().starts_with("\xef\xbf\xbd"));
    }
}

RC_GTEST_PROP(process_json_line, any_bytes_give_valid_json, (const std::string &text))
{
    RC_ASSERT(!json::parse(json_line().add(text, text).finish(), nullptr, false).is_discarded());
}

// Guards against log lines that are not valid JSON, lack the request id or ignore the level.
TEST(process_log, writes_json_lines_at_or_above_the_level)
{
    setUpLog(log_level::warning);
    testing::internal::CaptureStderr();
    logLine(log_level::info, "hidden");
    logLine(log_level::error, "quote \" and\nline", {{"request", "r-1"}});
    const std::string text = testing::internal::GetCapturedStderr();
    const json parsed = json::parse(text);
    EXPECT_EQ(parsed["level"], "error");
    EXPECT_EQ(parsed["message"], "quote \" and\nline");
    EXPECT_EQ(parsed["request"], "r-1");
    EXPECT_EQ(parsed["time"].get<std::string>().size(),
              std::string("2026-01-01T00:00:00.000Z").size());
}

} // namespace
} // namespace tamarackridge
