// Broken responses on their way to a caller, at the node beside the server and through a peer.
#include "fakes/broken_responses.h"
#include "fakes/malformed_heads.h"
#include "fakes/sidecar_pair.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

namespace tamarackridge {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using fakes::early_response;
using fakes::raw_server;
using fakes::response_end;
using fakes::runUntil;

const std::string identity = "Id: a\r\nSeal: s\r\n";
const std::string body = "whole";

/// Where the caller sends its request.
enum class entry_node : std::uint8_t { beside_server, peer };

struct path_case
{
    early_response response;
    bool sound = false;
};

std::ostream &operator<<(std::ostream &out, const path_case &item)
{
    return out << item.response;
}

/// \returns the reset, malformed and sound responses that a server sends during an upload.
std::vector<path_case> pathCases()
{
    std::vector<path_case> cases;
    for (const early_response &response : fakes::resetResponses(identity, "part"))
        cases.push_back({response, false});
    for (const early_response &response : fakes::soundEarlyResponses(identity, body, true))
        cases.push_back({response, true});
    for (const fakes::malformed_head &head : fakes::invalidStatuses(identity, "part"))
        cases.push_back({{"status_" + head.name, head.text, response_end::orderly_close}, false});
    for (const fakes::malformed_head &head : fakes::invalidFieldNames(identity, "part"))
        cases.push_back({{"field_" + head.name, head.text, response_end::orderly_close}, false});
    for (const fakes::malformed_head &head : fakes::excessiveLengths(identity, "part"))
        cases.push_back(
                {{"excessive_" + head.name, head.text, response_end::orderly_close}, false});
    return cases;
}

struct sidecar_broken_response_path
    : fakes::sidecar_pair
    , testing::WithParamInterface<std::tuple<entry_node, path_case>>
{
    /// \returns the response that a caller gets to an upload; nothing if there is none.
    std::optional<http::response<http::string_body>> upload(const raw_server::script &script)
    {
        constexpr std::size_t maxConnections = 10; // One carries the request, others are probes.
        raw_server server(std::vector<raw_server::script>(maxConnections, script));
        ordersSettings.backend = {"127.0.0.1", server.port()};
        startNodes();
        const entry_node entry = std::get<entry_node>(GetParam());
        const sidecar_settings &settings =
                entry == entry_node::peer ? frontSettings : ordersSettings;
        tcp::socket socket(loop);
        socket.connect(settings.callers.endpoint());
        http::request<http::string_body> request(http::verb::post, "/read/1", 11);
        request.set(http::field::host, "shop.example");
        request.set("Id", "a");
        request.set("Key", "key-1");
        request.body() = fakes::longUpload();
        request.prepare_payload();
        http::async_write(socket, request, [](error_code, std::size_t) {});
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> response;
        std::optional<error_code> ended;
        http::async_read(socket, buffer, response,
                         [&](error_code error, std::size_t) { ended = error; });
        EXPECT_TRUE(runUntil(loop, [&] { return ended.has_value(); }));
        EXPECT_GT(server.connections(), 0);
        socket.close();
        loop.run_for(std::chrono::milliseconds(5));
        if (!ended || *ended)
            return std::nullopt;
        return response.release();
    }
};

// Guards against a part of a response that reaches a caller as a complete one, and against the loss
// of a complete response, during an upload.
TEST_P(sidecar_broken_response_path, only_a_complete_response_reaches_the_caller)
{
    const path_case &item = std::get<path_case>(GetParam());
    const std::optional<http::response<http::string_body>> response =
            upload(respondEarly(item.response));
    ASSERT_TRUE(response);
    if (item.sound) {
        EXPECT_EQ(response->result_int(), 200U);
        EXPECT_EQ(response->body(), body);
    } else {
        EXPECT_EQ(response->result_int(), 502U);
        EXPECT_EQ(response->body().find("part"), std::string::npos);
        EXPECT_EQ(response->count("Seal"), 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(responses, sidecar_broken_response_path,
                         testing::Combine(testing::Values(entry_node::beside_server,
                                                          entry_node::peer),
                                          testing::ValuesIn(pathCases())),
                         [](const testing::TestParamInfo<std::tuple<entry_node, path_case>> &info) {
                             const bool peer = std::get<entry_node>(info.param) == entry_node::peer;
                             return std::get<path_case>(info.param).response.name
                                    + (peer ? "_through_a_peer" : "_beside_the_server");
                         });

} // namespace
} // namespace tamarackridge
