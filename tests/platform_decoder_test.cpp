#include "platform/notice_decoder.h"
#include "platform/set_decoder.h"
#include "platform/store_gateway.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <variant>

namespace tamarackridge::platform {
namespace {

constexpr std::string_view completeSet = R"({"version":7,"baseVersion":5,"resources":[
{"type":"routes","metadata":{"name":"r-1"},"spec":{"hostname":"h.example","pathPrefix":"/a/",
 "routeType":"idempotent","timeoutS":0.8,"targetLatencyS":1.5,"priority":2,
 "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":2,
 "public":false}},
{"type":"routes","metadata":{"name":"r-2"},"spec":{"hostname":"h.example","pathPrefix":"/b/",
 "routeType":"non_idempotent","timeoutS":1,"service":"s1","attempts":2,"public":true}},
{"type":"services","metadata":{"name":"s1"},"spec":{"healthPath":"/health"}},
{"type":"tenants","metadata":{"name":"t1"},"spec":{"apiKeys":["k1","k2"],"priority":1,
 "ratePerS":215,"burst":20}},
{"type":"later","metadata":{"name":"?"},"spec":{}},
{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1000,
 "headerTimeoutS":3,"idleTimeoutS":1.5}}]})";

TEST(platform_decoder, set_is_decoded_with_units_and_splits)
{
    const tl::expected<published_set, std::string> set = decodeSet(completeSet);
    ASSERT_TRUE(set) << set.error();
    EXPECT_EQ(set->version, 7);
    ASSERT_EQ(set->routes.size(), 2U);
    const published_route &split = set->routes[0];
    EXPECT_EQ(split.timeout, std::chrono::milliseconds(800));
    EXPECT_EQ(split.objective, std::chrono::milliseconds(1500));
    EXPECT_TRUE(split.idempotent);
    ASSERT_EQ(split.targets.size(), 2U);
    EXPECT_EQ(split.targets[1].weight, 10U);
    EXPECT_EQ(split.priorityLevel, 2U);
    EXPECT_FALSE(set->routes[1].idempotent);
    EXPECT_TRUE(set->routes[1].open);
    ASSERT_EQ(set->customers.size(), 1U);
    EXPECT_EQ(set->customers[0].keys.size(), 2U);
    EXPECT_EQ(set->customers[0].rate, 215);
    EXPECT_EQ(set->limits.maxBodyBytes, 1000U);
    EXPECT_EQ(set->limits.idleTimeout, std::chrono::milliseconds(1500));
    EXPECT_EQ(*set->text, completeSet);
}

// Guards against a malformed record of another writer that crashes the node or removes its routes.
TEST(platform_decoder, sets_that_do_not_decode_are_refused_with_a_reason)
{
    for (const std::string_view text :
         {"", "{", "[]", "7", R"({"version":"x","resources":[]})", R"({"version":1})",
          R"({"version":1,"resources":[{"type":"routes","spec":{"hostname":3}}]})",
          R"({"version":1,"resources":{"a":1}})", "\xff\xfe"}) {
        const tl::expected<published_set, std::string> set = decodeSet(text);
        EXPECT_FALSE(set) << text;
    }
}

http_request put(std::string body)
{
    return {"PUT", "/api/instances/i-7", {}, std::make_shared<const std::string>(std::move(body))};
}

TEST(platform_decoder, heartbeats_and_leave_notices_are_decoded)
{
    const server_notice notice = decodeNotice(
            put(R"({"address":"10.0.0.9:80","born":1700000000123,"info":{"service":"s1",
                "version":"v1","zone":"z","slots":170},"status":{"state":"draining","sequence":4,
                "coldRemainingS":0.5}})"));
    const server_report *report = std::get_if<server_report>(&notice);
    ASSERT_NE(report, nullptr);
    EXPECT_EQ(report->instance, "i-7");
    EXPECT_EQ(report->service, "s1");
    EXPECT_EQ(report->startedAt, 1700000000123);
    EXPECT_EQ(report->sequence, 4);
    EXPECT_EQ(report->slots, 170U);
    EXPECT_TRUE(report->leaving);
    const server_notice left = decodeNotice({"DELETE", "/api/instances/i-8", {}, nullptr});
    ASSERT_TRUE(std::holds_alternative<leave_notice>(left));
    EXPECT_EQ(std::get<leave_notice>(left).instance, "i-8");
    EXPECT_FALSE(std::get<leave_notice>(left).startedAt);
    const server_notice dated =
            decodeNotice({"DELETE",
                          "/api/instances/i-8",
                          {},
                          std::make_shared<const std::string>(R"({"born":1700000000123})")});
    EXPECT_EQ(std::get<leave_notice>(dated).startedAt, 1700000000123);
    const server_notice odd = decodeNotice(
            {"DELETE", "/api/instances/i-8", {}, std::make_shared<const std::string>("{odd")});
    EXPECT_FALSE(std::get<leave_notice>(odd).startedAt);
}

// Guards against using a backend server after a malformed report.
TEST(platform_decoder, malformed_notices_name_no_server)
{
    for (const char *body :
         {"", "x", "{}", R"({"address":"a","info":{},"status":{}})",
          R"({"address":"a","info":{"service":"s","slots":1},"status":{"state":"odd","sequence":1}})",
          R"({"address":1,"info":{"service":"s","slots":1},"status":{"state":"ready","sequence":1}})",
          R"({"address":"a","info":{"service":"s","slots":"1"},"status":{"state":"ready","sequence":1}})"})
        EXPECT_TRUE(std::holds_alternative<invalid_notice>(decodeNotice(put(body)))) << body;
    EXPECT_TRUE(std::holds_alternative<invalid_notice>(
            decodeNotice({"GET", "/api/instances/i", {}, nullptr})));
    EXPECT_TRUE(
            std::holds_alternative<invalid_notice>(decodeNotice({"PUT", "/other", {}, nullptr})));
}

// Guards against numbers that are cut to fit: a report with too large a sequence number would make
// all later ones look outdated, and one with too many slots would name a server with few.
TEST(platform_decoder, notices_with_numbers_out_of_range_name_no_server)
{
    const auto report = [](const std::string &slots, const std::string &sequence,
                           const std::string &born) {
        return decodeNotice(put(R"({"address":"a:1","born":)" + born
                                + R"(,"info":{"service":"s","slots":)" + slots
                                + R"(},"status":{"state":"ready","sequence":)" + sequence + "}}"));
    };
    ASSERT_TRUE(std::holds_alternative<server_report>(report("4", "1", "1700000000123")));
    for (const char *odd : {"-1", "1.5", "1e300", "18446744073709551615", "18446744073709551616",
                            "true", "null", "\"7\"", "[1]", "1e400"}) {
        EXPECT_TRUE(std::holds_alternative<invalid_notice>(report(odd, "1", "1"))) << odd;
        EXPECT_TRUE(std::holds_alternative<invalid_notice>(report("4", odd, "1"))) << odd;
        EXPECT_TRUE(std::holds_alternative<invalid_notice>(report("4", "1", odd))) << odd;
    }
    EXPECT_TRUE(std::holds_alternative<invalid_notice>(report("4294967297", "1", "1")));
    const server_notice left =
            decodeNotice({"DELETE",
                          "/api/instances/i-8",
                          {},
                          std::make_shared<const std::string>(R"({"born":18446744073709551615})")});
    EXPECT_FALSE(std::get<leave_notice>(left).startedAt);
}

// Guards against a set whose times or rates overflow when they are converted.
TEST(platform_decoder, sets_with_numbers_out_of_range_are_refused)
{
    const auto set = [](const std::string &timeout, const std::string &attempts,
                        const std::string &rate) {
        return decodeSet(
                R"({"version":7,"resources":[{"type":"routes","metadata":{"name":"r"},"spec":{
                "hostname":"h","pathPrefix":"/a/","routeType":"idempotent","service":"s","timeoutS":)"
                + timeout + R"(,"attempts":)" + attempts
                + R"(}},{"type":"tenants","metadata":{"name":"t"},"spec":{"apiKeys":["k"],"ratePerS":)"
                + rate + "}}]}");
    };
    ASSERT_TRUE(set("0.5", "2", "215.5"));
    for (const char *odd : {"-1", "1e300", "true", "null", "\"7\"", "[1]", "1e400"}) {
        EXPECT_FALSE(set(odd, "2", "1")) << odd;
        EXPECT_FALSE(set("1", odd, "1")) << odd;
        EXPECT_FALSE(set("1", "2", odd)) << odd;
    }
    EXPECT_FALSE(set("1", "1.5", "1"));
    EXPECT_FALSE(set("1", "4294967297", "1"));
}

// Guards against a process that ends because it reads a deeply nested text.
TEST(platform_decoder, deeply_nested_texts_are_refused)
{
    constexpr std::size_t depth = 1'000'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    EXPECT_FALSE(decodeSet(nested));
    EXPECT_FALSE(decodeSet(R"({"version":1,"resources":)" + nested + "}"));
    EXPECT_TRUE(std::holds_alternative<invalid_notice>(decodeNotice(put(nested))));
    EXPECT_TRUE(std::holds_alternative<invalid_notice>(
            decodeNotice(put(R"({"address":"a","info":)" + nested + R"(,"status":{}})"))));
}

// Guards against texts of other writers that end the process.
RC_GTEST_PROP(platform_decoder, any_text_is_decoded_or_refused, (const std::string &text))
{
    static_cast<void>(decodeSet(text));
    static_cast<void>(decodeNotice(put(text)));
    static_cast<void>(decodeRecords(text));
}

// Guards against fields of any type and size that end the process or are taken for others.
RC_GTEST_PROP(platform_decoder, reports_with_odd_fields_are_valid_or_refused, ())
{
    const auto value = [] {
        return *rc::gen::element<std::string>("1", "-1", "1e308", "2.5", "9223372036854775807",
                                              "18446744073709551615", "null", "true", "\"ready\"",
                                              "{}", "[[]]", "{\"a\":{}}", "\"\"");
    };
    const server_notice notice = decodeNotice(
            put("{\"address\":" + value() + ",\"born\":" + value()
                + ",\"info\":{\"service\":" + value() + ",\"slots\":" + value()
                + "},\"status\":{\"state\":" + value() + ",\"sequence\":" + value() + "}}"));
    if (const server_report *report = std::get_if<server_report>(&notice)) {
        RC_ASSERT(report->slots == 1U);
        RC_ASSERT(report->sequence == 1);
    }
}

TEST(platform_decoder, records_are_decoded_as_they_are_encoded)
{
    const std::string bytes = std::string(7, '\0') + '\x09' + std::string(8, '\0')
                              + encodeRecord("config", "value") + encodeRecord("gone", "");
    const std::optional<record_page> page = decodeRecords(bytes);
    ASSERT_TRUE(page);
    EXPECT_EQ(page->end, 9);
    ASSERT_EQ(page->records.size(), 2U);
    EXPECT_EQ(page->records[0].key, "config");
    EXPECT_EQ(page->records[0].value, "value");
    EXPECT_EQ(page->records[1].value, "");
}

// Guards against reading past the end of a truncated page.
TEST(platform_decoder, truncated_pages_do_not_decode)
{
    const std::string complete = std::string(16, '\0') + encodeRecord("config", "value");
    for (std::size_t size = 0; size < complete.size(); ++size) {
        if (size != 16) {
            EXPECT_FALSE(decodeRecords(std::string_view(complete).substr(0, size))) << size;
        }
    }
    EXPECT_FALSE(decodeRecords(std::string(16, '\0') + std::string("\0\0\0\1\7", 5)))
            << "a key that is longer than its record";
}

} // namespace
} // namespace tamarackridge::platform
