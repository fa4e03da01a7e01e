#include "ctl/curl_transport.h"
#include "ctl/platform_log.h"
#include "log/log_server.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

/// \returns a port that is currently free; another process may take it at any time.
std::uint16_t findFreePort()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr *>(&address), length), 0);
    EXPECT_EQ(getsockname(probe, reinterpret_cast<sockaddr *>(&address), &length), 0);
    close(probe);
    return ntohs(address.sin_port);
}

/// \brief Starts a server and sets \a url. Retries because another process may take the free port
/// first.
std::unique_ptr<log_server> startServer(log_service &service, std::string &url)
{
    std::unique_ptr<log_server> server;
    for (int attempt = 0; attempt < 10 && (!server || !server->listening()); ++attempt) {
        const std::uint16_t port = findFreePort();
        server = std::make_unique<log_server>(service, "127.0.0.1", port);
        url = "http://127.0.0.1:" + std::to_string(port);
    }
    return server;
}

class log_over_http : public ::testing::Test
{
protected:
    std::string get(const std::string &path)
    {
        return text(m_transport.send("GET", m_url + path, ""));
    }
    std::string post(const std::string &path, const std::string &body)
    {
        return text(m_transport.send("POST", m_url + path, body));
    }
    static std::string text(const tl::expected<http_response, std::string> &response)
    {
        return response ? std::to_string(response->status) + " "
                                  + std::string(bodyView(response->body))
                        : response.error();
    }

    std::string m_url;
    log_service m_service{{.maxRecordBytes = 1000}};
    std::unique_ptr<log_server> m_server = startServer(m_service, m_url);
    curl_transport m_transport;
    platform_log m_log{m_transport, m_url};
};

} // namespace

// Guards against records whose bytes are changed by HTTP or JSON encoding.
TEST_F(log_over_http, RecordsAreReturnedUnchanged)
{
    ASSERT_TRUE(m_server->listening());
    const std::string data = "a=1&b=%41 \"\\\n\t\xc3\xb1";
    EXPECT_EQ(m_log.append("config", data), 0);
    const stream_page page = m_log.read("config", 0).value();
    EXPECT_EQ(page.records.front().data, data);
    EXPECT_EQ(page.next, 1);
}

// Guards against an oversized record that is truncated and stored.
TEST_F(log_over_http, OversizedRecordIsRejected)
{
    EXPECT_EQ(m_log.append("config", std::string(1000, 'x')), 0);
    EXPECT_EQ(post("/streams/config/records", std::string(1001, 'x')).substr(0, 3), "413");
    EXPECT_EQ(post("/streams/config/records", std::string(100'000, 'x')).substr(0, 3), "413");
    EXPECT_EQ(m_log.append("config", "y"), 1);
}

// Guards against invalid input that is replaced by default values.
TEST_F(log_over_http, MalformedInputIsRejected)
{
    for (const char *query : {"from=-1", "from=x", "from=1x", "max=0", "max=1001", "wait_ms=30001"})
        EXPECT_EQ(get(std::string("/streams/config/records?") + query).substr(0, 3), "400");
    for (const char *faults : {"", "[]", "{\"delay\": 1}", "{\"delay_ms\": -1}",
                               "{\"delay_ms\": \"1\"}", "{\"trim_below\": 3}"})
        EXPECT_EQ(post("/faults", faults).substr(0, 3), "400") << faults;
    EXPECT_EQ(get("/other").substr(0, 3), "404");
}

// Guards against injected faults that have no effect or cannot be ended.
TEST_F(log_over_http, FaultsAreInjected)
{
    post("/faults", R"({"applied_but_lost": 1})");
    EXPECT_EQ(m_log.append("config", "a").error(), append_failure::unknown);
    EXPECT_EQ(m_log.append("config", "b"), 1);
    post("/faults", R"({"unavailable_ms": 60000})");
    EXPECT_EQ(m_log.append("config", "c").error(), append_failure::unknown);
    EXPECT_FALSE(m_log.read("config", 0));
    post("/faults", R"({"unavailable_ms": 0, "trim_below": {"stream": "config", "offset": 1}})");
    const stream_page page = m_log.read("config", 0).value();
    EXPECT_EQ(page.first, 1);
    EXPECT_EQ(page.next, 2);
}

// Guards against a long poll that is not woken by the record it waits for.
TEST_F(log_over_http, LongPollReturnsWhenARecordIsAppended)
{
    std::string response;
    std::thread reader([this, &response] {
        curl_transport transport;
        response = text(transport.send("GET", m_url + "/streams/config/records?wait_ms=10000", ""));
    });
    std::this_thread::sleep_for(50ms);
    m_log.append("config", "late");
    reader.join();
    EXPECT_NE(response.find("late"), std::string::npos);
}
