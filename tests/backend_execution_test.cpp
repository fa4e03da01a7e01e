#include "backend/http_client.h"
#include "backend/http_server.h"
#include "fakes/raw_server.h"
#include "load/echo_body.h"
#include "load/execution_history.h"

#include <gtest/gtest.h>

#include <fstream>
#include <thread>

using namespace tamarackridge;
using namespace tamarackridge::backend;

namespace {

/// Fixture with a journal file that is removed after the test.
class backend_execution : public ::testing::Test
{
protected:
    server_options options() const
    {
        server_options options;
        options.slots = 1;
        options.queue = 0;
        options.serviceTime = {.medianMs = 1.0, .sigma = 0.0};
        options.journalPath = m_journal;
        return options;
    }

    load::execution_history historyOf(const std::string &loadId) const
    {
        std::ifstream file(m_journal);
        load::history_index index;
        EXPECT_EQ(load::readJournal(file, index), 0U);
        return index[loadId];
    }

    ~backend_execution() override { std::remove(m_journal.c_str()); }

    const std::string m_journal = ::testing::TempDir()
                                  + ::testing::UnitTest::GetInstance()->current_test_info()->name()
                                  + "-" + std::to_string(getpid()) + ".journal";
};

client_request requestTo(const http_server &server, const std::string &loadId, int timeoutMs = 2000)
{
    return {"POST",
            "http://127.0.0.1:" + std::to_string(server.port()) + "/write",
            {"X-Load-Id: " + loadId},
            "body",
            std::chrono::milliseconds(timeoutMs)};
}

constexpr std::string_view rawRequest =
        "POST /write HTTP/1.1\r\nHost: h\r\nX-Load-Id: w1\r\nContent-Length: 4\r\n\r\nbody";

/// Waits at most 5 s until \a wanted requests run.
/// \returns whether they do.
bool waitForRunning(const request_handler &handler, std::uint32_t wanted)
{
    for (int tries = 0; tries < 500; ++tries) {
        if (handler.load().running == wanted)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

} // namespace

// Guards against a response that the load generator cannot match to its request.
TEST_F(backend_execution, RespondsWithAnEchoAndJournalsTheRun)
{
    request_handler handler(options());
    const http_server server(0, 10, handler);
    http_client client;
    const std::optional<client_response> response = client.send(requestTo(server, "w1"));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_TRUE(load::isEchoOf(response->body, "w1", "body"));
    EXPECT_FALSE(load::isEchoOf(response->body, "w2", "body"));
    EXPECT_FALSE(load::isEchoOf(response->body.substr(0, response->body.size() - 1), "w1", "body"));
    EXPECT_EQ(historyOf("w1").starts, 1U);
    EXPECT_EQ(historyOf("w1").completed, 1U);
}

// Guards against a server that continues a request after the caller has closed the connection.
TEST_F(backend_execution, ClosedConnectionCancelsTheRequest)
{
    server_options slow = options();
    slow.serviceTime.medianMs = 60'000.0;
    request_handler handler(slow);
    const http_server server(0, 10, handler);
    fakes::raw_connection caller(fakes::raw_connection::connectTo(server.port()));
    caller.write(rawRequest);
    ASSERT_TRUE(waitForRunning(handler, 1));
    caller.close();
    EXPECT_TRUE(waitForRunning(handler, 0));
    EXPECT_EQ(historyOf("w1").starts, 1U);
    EXPECT_EQ(historyOf("w1").completed, 0U);
}

// Guards against onward calls that occupy a slot downstream after the caller has closed the
// connection.
TEST_F(backend_execution, ClosedConnectionCancelsOnwardCalls)
{
    server_options slow = options();
    slow.serviceTime.medianMs = 60'000.0;
    request_handler deepHandler(slow);
    const http_server deep(0, 10, deepHandler);
    server_options calling = options();
    calling.onward = {"http://127.0.0.1:" + std::to_string(deep.port()), {{"POST", "/deep"}}, 3};
    request_handler handler(calling);
    const http_server server(0, 10, handler);
    fakes::raw_connection caller(fakes::raw_connection::connectTo(server.port()));
    caller.write(rawRequest);
    // Closing the connection before the onward call has started would not test its cancellation.
    ASSERT_TRUE(waitForRunning(deepHandler, 1));
    caller.close();
    EXPECT_TRUE(waitForRunning(deepHandler, 0));
    EXPECT_TRUE(waitForRunning(handler, 0));
    // None of the three retries ran.
    EXPECT_EQ(historyOf("w1.0").starts, 1U);
}

// Guards against a request that runs to completion after its deadline, when nobody waits for the
// response.
TEST_F(backend_execution, DeadlineStopsTheRequest)
{
    server_options slow = options();
    slow.serviceTime.medianMs = 60'000.0;
    request_handler handler(slow);
    const http_server server(0, 10, handler);
    http_client client;
    client_request request = requestTo(server, "w1", 10'000);
    request.headers.emplace_back("Tamarackridge-Deadline-Ms: 50");
    const std::optional<client_response> response = client.send(request);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 504);
    EXPECT_EQ(historyOf("w1").completed, 0U);
}

// Guards against a request that is shed because slots and queue are full but appears in the journal
// as a run.
TEST_F(backend_execution, ShedRequestsAreNotJournalledAsRuns)
{
    server_options slow = options();
    slow.serviceTime.medianMs = 60'000.0;
    request_handler handler(slow);
    const http_server server(0, 10, handler);
    std::thread first([&] {
        http_client client;
        client.send(requestTo(server, "w1", 500));
    });
    EXPECT_TRUE(waitForRunning(handler, 1));
    http_client client;
    const std::optional<client_response> response = client.send(requestTo(server, "w2"));
    first.join();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503);
    EXPECT_EQ(historyOf("w2").starts, 0U);
    EXPECT_EQ(historyOf("w2").shed, 1U);
}

// Guards against a frozen server that fails its health check or continues to serve requests.
TEST_F(backend_execution, FrozenServerRespondsToPingsOnly)
{
    request_handler handler(options());
    const http_server server(0, 10, handler);
    http_client client;
    client_request control = requestTo(server, "");
    const std::string base = control.url.substr(0, control.url.rfind('/'));
    control.url = base + "/control";
    control.body = R"({"frozen": true})";
    ASSERT_EQ(client.send(control)->status, 200);
    const client_request ping{"GET", base + "/ping", {}, {}, std::chrono::milliseconds(2000)};
    EXPECT_EQ(client.send(ping)->status, 200);
    EXPECT_FALSE(client.send(requestTo(server, "w1", 100)));
    EXPECT_EQ(historyOf("w1").starts, 0U);
    control.body = R"({"frozen": false})";
    ASSERT_EQ(client.send(control)->status, 200);
    EXPECT_EQ(client.send(requestTo(server, "w2"))->status, 200);
}
