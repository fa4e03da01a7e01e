#include "node/error_reply.h"
#include "node/management_endpoints.h"
#include "process/log.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

namespace tamarackridge {
namespace {

sockaddr_in addressOf(const char *text)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, text, &address.sin_addr);
    return address;
}

class node_management_endpoints : public testing::Test
{
protected:
    node_management_endpoints()
        : m_endpoints({[this] { return m_status; }, [this] { return m_allThreadsRunning; },
                       [] { return std::string("metrics"); },
                       [this](const backend_announcement &announcement, const http_target &target) {
                           m_announcement = announcement;
                           m_target = target;
                       },
                       [this] { m_drained = true; }},
                      {"secret", {"10.0.0.1"}, ""})
    { }

    http_response ask(const std::string &method, const std::string &path, const char *from,
                      const std::string &text = {}, std::vector<http_header> headers = {}) const
    {
        const sockaddr_in address = addressOf(from);
        const http_request request{method, "/.tamarackridge/" + path, std::move(headers),
                                   std::make_shared<const std::string>(text)};
        return m_endpoints.respond(request, {reinterpret_cast<const sockaddr *>(&address), -1})
                .value();
    }

    node_status m_status;
    bool m_allThreadsRunning = true;
    backend_announcement m_announcement;
    http_target m_target;
    bool m_drained = false;
    management_endpoints m_endpoints;
};

constexpr const char *localVm = "10.0.0.1";
constexpr const char *remoteVm = "10.0.0.2";
const std::string announcement =
        R"({"service":"tariffs","instance":"i7","port":8080,"slots":25,"leaving":true})";

// Guards against requests for backend servers or for request ids being handled here instead of by
// node_core.
TEST_F(node_management_endpoints, leaves_other_paths_to_node_core)
{
    for (const char *const target : {"/", "/.tamarackridge", "/.tamarackridge/request-ids?n=5"})
        EXPECT_FALSE(m_endpoints.respond({"POST", target, {}, nullptr}, {}).has_value()) << target;
    EXPECT_EQ(ask("GET", "nothing", localVm).status,
              responseFor(error_kind::unknown_route).httpStatus);
    EXPECT_EQ(ask("GET", "drain", localVm).status,
              responseFor(error_kind::method_not_allowed).httpStatus);
}

// Guards against another machine redirecting this node's traffic to itself by an announcement.
TEST_F(node_management_endpoints, accepts_announcements_from_the_local_vm_only)
{
    EXPECT_EQ(ask("POST", "announce", remoteVm, announcement).status,
              responseFor(error_kind::announcement_refused).httpStatus);
    EXPECT_TRUE(m_target.host.empty());
    EXPECT_EQ(ask("POST", "announce", localVm, announcement).status, 200);
    EXPECT_EQ(m_target, (http_target{localVm, 8080}));
    EXPECT_EQ(m_announcement.service, "tariffs");
    EXPECT_EQ(m_announcement.instance, "i7");
    EXPECT_EQ(m_announcement.slots, 25U);
    EXPECT_TRUE(m_announcement.leaving);
}

// Guards against an invalid announcement being applied in part, and against errors that are not
// reported.
TEST_F(node_management_endpoints, reports_all_errors_of_an_announcement)
{
    const http_response response = ask("POST", "announce", localVm,
                                       R"({"service":"s","port":0,"instance":"i","extra":1})");
    EXPECT_EQ(response.status, 400);
    const nlohmann::json body = nlohmann::json::parse(bodyView(response.body));
    EXPECT_EQ(body["faults"].size(), 2U) << body;
    EXPECT_TRUE(m_target.host.empty());
}

// Guards against callers without authorization shutting down the node or flooding its log.
TEST_F(node_management_endpoints, administration_requires_the_local_vm_or_the_token)
{
    const int refused = responseFor(error_kind::key_unknown).httpStatus;
    for (const char *const token : {"", "Bearer ", "Bearer wrong!", "Bearer secret2"}) {
        EXPECT_EQ(ask("POST", "drain", remoteVm, "", {{"Authorization", token}}).status, refused);
        EXPECT_EQ(ask("PUT", "log-level", remoteVm, R"({"level":"debug"})").status, refused);
    }
    EXPECT_FALSE(m_drained);
    EXPECT_EQ(ask("POST", "drain", remoteVm, "", {{"authorization", "Bearer secret"}}).status, 202);
    EXPECT_TRUE(m_drained);
    EXPECT_EQ(ask("PUT", "log-level", localVm, R"({"level":"error"})").status, 200);
    EXPECT_EQ(currentLogLevel(), log_level::error);
    EXPECT_EQ(ask("PUT", "log-level", localVm, R"({"level":"all"})").status, 400);
}

// Guards against a node that reports being ready although it cannot serve requests.
TEST_F(node_management_endpoints, ready_requires_a_ready_core_and_running_threads)
{
    const auto status = [this] { return ask("GET", "ready", remoteVm).status; };
    EXPECT_EQ(status(), 503);
    m_status.ready = true;
    EXPECT_EQ(status(), 200);
    m_allThreadsRunning = false;
    EXPECT_EQ(status(), 503);
    m_allThreadsRunning = true;
    m_status.leaving = true;
    EXPECT_EQ(status(), 503);
}

// Guards against a status response that is not valid JSON, e.g. because of quotes in a member.
TEST_F(node_management_endpoints, status_is_valid_json)
{
    m_status.members = {"zone/\"n\" serving s"};
    m_status.counters = {{"calls", 3}};
    const nlohmann::json body =
            nlohmann::json::parse(bodyView(ask("GET", "status", remoteVm).body));
    EXPECT_EQ(body["members"][0], m_status.members[0]);
    EXPECT_EQ(body["counters"]["calls"], 3);
}

} // namespace
} // namespace tamarackridge
