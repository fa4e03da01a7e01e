#include "fakes/raw_server.h"
#include "process/log_client.h"

#include <gtest/gtest.h>

#include <future>

namespace tamarackridge {
namespace {

using fakes::raw_connection;
using fakes::raw_server;
using std::chrono::milliseconds;

std::string addressOf(const raw_server &server)
{
    return "http://127.0.0.1:" + std::to_string(server.port());
}

std::string responseOf(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + std::string(body);
}

raw_server::script replyWith(std::string text)
{
    return [text = std::move(text)](raw_connection &connection) {
        connection.readUntil("\r\n\r\n");
        connection.write(text);
    };
}

// Guards against a wrong request path or a modified record.
TEST(process_log_client, appends_the_record_unchanged)
{
    std::promise<std::string> seen;
    raw_server server({[&](raw_connection &connection) {
        std::string text = connection.readUntil("\r\n\r\n");
        seen.set_value(text + connection.readUntil("end"));
        connection.write(responseOf(R"({"offset":41})"));
    }});
    EXPECT_EQ(log_client(addressOf(server)).append("config", "a \"record\" end"), 41);
    const std::string text = seen.get_future().get();
    EXPECT_TRUE(text.starts_with("POST /streams/config/records HTTP/1.1\r\n")) << text;
    EXPECT_TRUE(text.ends_with("\r\n\r\na \"record\" end")) << text;
}

// Guards against a record appended twice when a reused connection turns out to be dead.
TEST(process_log_client, a_lost_response_does_not_repeat_the_append)
{
    std::atomic<int> appends = 0;
    const raw_server::script script = [&](raw_connection &connection) {
        for (int i = 0; i < 2 && !connection.readUntil("record").empty(); ++i) {
            connection.readUntil("data");
            if (++appends == 1)
                connection.write(responseOf(R"({"offset":1})"));
        }
    };
    raw_server server({script, script});
    log_client client(addressOf(server));
    EXPECT_EQ(client.append("s", "data"), 1);
    EXPECT_EQ(client.append("s", "data").error(), error_kind::log_unavailable);
    EXPECT_EQ(appends, 2);
}

// Guards against losing the offset, age or data of a record, and against a wrong query.
TEST(process_log_client, reads_a_page)
{
    std::promise<std::string> seen;
    raw_server server({[&](raw_connection &connection) {
        seen.set_value(connection.readUntil("\r\n\r\n"));
        connection.write(responseOf(R"({"first":3,"next":9,"records":[
            {"offset":5,"age_ms":20,"data":"{\"a\":1}"},{"offset":7,"age_ms":10,"data":""}]})"));
    }});
    const tl::expected<log_page, error_kind> page =
            log_client(addressOf(server)).read("quota", 4, 10, milliseconds(50));
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->first, 3);
    EXPECT_EQ(page->next, 9);
    ASSERT_EQ(page->records.size(), 2U);
    EXPECT_EQ(page->records[0].offset, 5);
    EXPECT_EQ(page->records[0].age, milliseconds(20));
    EXPECT_EQ(page->records[0].data, R"({"a":1})");
    EXPECT_TRUE(seen.get_future().get().starts_with(
            "GET /streams/quota/records?from=4&max=10&wait_ms=50 HTTP/1.1\r\n"));
}

// Guards against treating an invalid response as an empty log or as correctly ordered records.
TEST(process_log_client, invalid_responses_are_log_unavailable)
{
    for (const std::string &text :
         {std::string("HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\n{}"), responseOf("{}"),
          responseOf(R"({"first":0,"next":1})"),
          responseOf(R"({"first":0,"next":1,"records":[1]})"),
          responseOf(R"({"first":0,"next":1,"records":[{"offset":0,"age_ms":-1,"data":""}]})"),
          responseOf(R"({"first":0,"next":9,"records":[{"offset":2,"age_ms":1,"data":""},
                      {"offset":2,"age_ms":1,"data":""}]})"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"first\":0")}) {
        raw_server server({replyWith(text)});
        const tl::expected<log_page, error_kind> page =
                log_client(addressOf(server)).read("s", 0, 10, milliseconds(0));
        ASSERT_FALSE(page.has_value()) << text;
        EXPECT_EQ(page.error(), error_kind::log_unavailable);
    }
    EXPECT_FALSE(log_client("http://127.0.0.1:1").append("s", "data").has_value());
}

} // namespace
} // namespace tamarackridge
