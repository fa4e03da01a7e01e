#include "node/error_reply.h"
#include "node/own_paths.h"
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

class node_own_paths : public testing::Test
{
protected:
    node_own_paths()
        : m_paths({[this] { return m_status; }, [this] { return m_shellReady; },
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
        return m_paths.respond(request, {reinterpret_cast<const sockaddr *>(&address), -1}).value();
    }

    node_status m_status;
    bool m_shellReady = true;
    backend_announcement m_announcement;
    http_target m_target;
    bool m_drained = false;
    own_paths m_paths;
};

constexpr const char *own = "10.0.0.1";
constexpr const char *other = "10.0.0.2";
const std::string announcement =
        R"({"service":"tariffs","instance":"i7","port":8080,"slots":25,"leaving":true})";

// Guards against requests for backend servers or request ids being answered by the shell.
TEST_F(node_own_paths, leaves_other_paths_to_the_decisions)
{
    for (const char *const target : {"/", "/.tamarackridge", "/.tamarackridge/request-ids?n=5"})
        EXPECT_FALSE(m_paths.respond({"POST", target, {}, nullptr}, {}).has_value()) << target;
    EXPECT_EQ(ask("GET", "nothing", own).status, responseFor(error_kind::unknown_route).httpStatus);
    EXPECT_EQ(ask("GET", "drain", own).status,
              responseFor(error_kind::method_not_allowed).httpStatus);
}

// Guards against a machine other than the own VM drawing traffic to itself.
TEST_F(node_own_paths, announcements_come_from_the_own_vm_only)
{
    EXPECT_EQ(ask("POST", "announce", other, announcement).status,
              responseFor(error_kind::announcement_refused).httpStatus);
    EXPECT_TRUE(m_target.host.empty());
    EXPECT_EQ(ask("POST", "announce", own, announcement).status, 200);
    EXPECT_EQ(m_target, (http_target{own, 8080}));
    EXPECT_EQ(m_announcement.service, "tariffs");
    EXPECT_EQ(m_announcement.instance, "i7");
    EXPECT_EQ(m_announcement.slots, 25U);
    EXPECT_TRUE(m_announcement.leaving);
}

// Guards against an announcement with a fault being applied in part.
TEST_F(node_own_paths, faults_of_an_announcement_are_named)
{
    const http_response response =
            ask("POST", "announce", own, R"({"service":"s","port":0,"instance":"i","extra":1})");
    EXPECT_EQ(response.status, 400);
    const nlohmann::json body = nlohmann::json::parse(bodyView(response.body));
    EXPECT_EQ(body["faults"].size(), 2U) << body;
    EXPECT_TRUE(m_target.host.empty());
}

// Guards against callers ending the node or flooding its log.
TEST_F(node_own_paths, administration_needs_the_own_vm_or_the_token)
{
    const int refused = responseFor(error_kind::key_unknown).httpStatus;
    for (const char *const token : {"", "Bearer ", "Bearer wrong!", "Bearer secret2"}) {
        EXPECT_EQ(ask("POST", "drain", other, "", {{"Authorization", token}}).status, refused);
        EXPECT_EQ(ask("PUT", "log-level", other, R"({"level":"debug"})").status, refused);
    }
    EXPECT_FALSE(m_drained);
    EXPECT_EQ(ask("POST", "drain", other, "", {{"authorization", "Bearer secret"}}).status, 202);
    EXPECT_TRUE(m_drained);
    EXPECT_EQ(ask("PUT", "log-level", own, R"({"level":"error"})").status, 200);
    EXPECT_EQ(currentLogLevel(), log_level::error);
    EXPECT_EQ(ask("PUT", "log-level", own, R"({"level":"all"})").status, 400);
}

// Guards against traffic to a node that can't serve it.
TEST_F(node_own_paths, ready_reflects_decisions_and_threads)
{
    const auto status = [this] { return ask("GET", "ready", other).status; };
    EXPECT_EQ(status(), 503);
    m_status.ready = true;
    EXPECT_EQ(status(), 200);
    m_shellReady = false;
    EXPECT_EQ(status(), 503);
    m_shellReady = true;
    m_status.leaving = true;
    EXPECT_EQ(status(), 503);
}

// Guards against a status page that is no JSON.
TEST_F(node_own_paths, status_is_json)
{
    m_status.members = {"zone/\"n\" serving s"};
    m_status.counters = {{"calls", 3}};
    const nlohmann::json body = nlohmann::json::parse(bodyView(ask("GET", "status", other).body));
    EXPECT_EQ(body["members"][0], m_status.members[0]);
    EXPECT_EQ(body["counters"]["calls"], 3);
}

} // namespace
} // namespace tamarackridge
