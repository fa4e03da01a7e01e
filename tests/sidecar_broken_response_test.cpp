// Broken responses of backend servers and of the store, read by the sidecar on real sockets.
#include "fakes/broken_responses.h"
#include "fakes/loop_runner.h"
#include "fakes/malformed_heads.h"
#include "platform/store_gateway.h"
#include "sidecar/server_runner.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::early_response;
using fakes::malformed_head;
using fakes::raw_connection;
using fakes::raw_server;
using fakes::runUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

const response_header_names names{"Id", "Not-Run", "Seal", "Rate", "Leaving", "Instance"};
const std::string identity = "Id: a\r\nSeal: s\r\nInstance: i-1\r\n";
const std::string body = "ok";

struct sidecar_broken_response : testing::Test
{
    /// Sends a request to a server that handles its connection with \a script.
    static tl::expected<http_response, error_kind> responseTo(const raw_server::script &script,
                                                              const std::string &method,
                                                              const std::string &upload)
    {
        raw_server server({script});
        boost::asio::io_context loop;
        std::optional<backend_result> result;
        server_runner runner(
                loop, {"127.0.0.1", server.port()}, names,
                [&](run_id, backend_result ended, bool) { result = std::move(ended); });
        run_backend work;
        work.run = 1;
        work.request = {method, "/1", {{"Host", "h"}, {"Id", "a"}}, nullptr};
        if (!upload.empty())
            work.request.body = std::make_shared<const std::string>(upload);
        work.timeout = seconds(5);
        runner.run(work);
        EXPECT_TRUE(runUntil(
                loop, [&] { return result.has_value(); }, [&] { runner.sweep(monotonicNow()); }));
        return result ? result->response : tl::unexpected(error_kind::internal_error);
    }
    /// \returns whether a server that handles its connection with \a script passes a health check.
    static bool passesCheck(const raw_server::script &script)
    {
        raw_server server({script});
        boost::asio::io_context loop;
        server_runner runner(loop, {"127.0.0.1", server.port()}, names,
                             [](run_id, const backend_result &, bool) {});
        std::optional<bool> passed;
        runner.check({"i-1", "/health"}, [&](bool result) { passed = result; });
        EXPECT_TRUE(runUntil(
                loop, [&] { return passed.has_value(); }, [&] { runner.sweep(monotonicNow()); }));
        return passed.value_or(false);
    }
    /// \returns the names of the responses that do not end an exchange as broken.
    static std::vector<std::string> notBroken(const std::vector<malformed_head> &heads,
                                              const std::string &method)
    {
        return fakes::namesOf(heads, [&](const malformed_head &head) {
            const tl::expected<http_response, error_kind> response =
                    responseTo(respondMalformed(head, 0), method, "");
            return response || response.error() != error_kind::backend_failed;
        });
    }
    /// \returns the names of the responses that pass a health check.
    static std::vector<std::string> healthy(const std::vector<malformed_head> &heads)
    {
        return fakes::namesOf(heads, [](const malformed_head &head) {
            return passesCheck(respondMalformed(head, 0));
        });
    }
    /// Writes \a response in two parts, of which \a first bytes are the first.
    static raw_server::script inTwoParts(const std::string &response, std::size_t first)
    {
        return [response, first](raw_connection &connection) {
            constexpr milliseconds pause(2);
            connection.readUntil("\r\n\r\n");
            connection.write(response.substr(0, first));
            std::this_thread::sleep_for(pause);
            connection.write(response.substr(first));
            connection.closeSendingSide();
            connection.readAll();
        };
    }
    /// Appends \a count records to a store that handles its connection with \a script.
    /// \returns whether the append was acknowledged.
    static bool appendsRecords(const raw_server::script &script, std::size_t count)
    {
        raw_server server({script});
        boost::asio::io_context loop;
        platform::store_gateway gateway(loop, {"127.0.0.1", server.port()});
        std::optional<bool> appended;
        const std::vector<stored_crash> records(count, {{fingerprint(), 1, 1, false}, 1});
        gateway.putCrashes(records, [&](const tl::expected<std::monostate, store_error> &result) {
            appended = result.has_value();
        });
        EXPECT_TRUE(runUntil(
                loop, [&] { return appended.has_value(); },
                [&] { gateway.sweep(monotonicNow()); }));
        return appended.value_or(false);
    }
};

// Guards against a part of a response that reaches the caller as a complete one: a server answered
// a long upload without a length and reset the connection while the upload was being written.
TEST_F(sidecar_broken_response, a_reset_during_an_upload_does_not_complete_a_response)
{
    const std::string upload = fakes::longUpload();
    for (const char *method : {"POST", "PUT"}) {
        EXPECT_EQ(fakes::namesOf(
                          fakes::resetResponses(identity, "part"),
                          [&](const early_response &response) {
                              return responseTo(respondEarly(response), method, upload).has_value();
                          }),
                  std::vector<std::string>())
                << method;
    }
}

// Guards against a reset that completes a response after the upload, or without one.
TEST_F(sidecar_broken_response, a_reset_after_the_request_does_not_complete_a_response)
{
    for (const char *method : {"POST", "GET", "DELETE"}) {
        EXPECT_EQ(fakes::namesOf(
                          fakes::resetResponses(identity, "part"),
                          [&](early_response response) {
                              response.bytesRead = 0;
                              response.end = fakes::response_end::late_reset;
                              return responseTo(respondEarly(response), method, "").has_value();
                          }),
                  std::vector<std::string>())
                << method;
    }
}

// Guards against the loss of complete responses that come before the end of an upload.
TEST_F(sidecar_broken_response, complete_responses_during_an_upload_are_taken)
{
    const std::string upload = fakes::longUpload();
    for (const early_response &sound : fakes::soundEarlyResponses(identity, body, true)) {
        const tl::expected<http_response, error_kind> response =
                responseTo(respondEarly(sound), "POST", upload);
        EXPECT_TRUE(response && bodyView(response->body) == body) << sound;
    }
}

// Guards against a record that counts as stored although the store broke off its response.
TEST_F(sidecar_broken_response, a_reset_during_an_append_does_not_acknowledge_it)
{
    constexpr std::size_t count = 50'000; // 5 MB
    EXPECT_EQ(fakes::namesOf(fakes::resetResponses("", "part"),
                             [](const early_response &response) {
                                 return appendsRecords(respondEarly(response), count);
                             }),
              std::vector<std::string>());
    for (const early_response &sound : fakes::soundEarlyResponses("", "{}", true))
        EXPECT_TRUE(appendsRecords(respondEarly(sound), count)) << sound;
}

// Guards against a record that counts as stored because of a response with a malformed head.
TEST_F(sidecar_broken_response, a_malformed_head_does_not_acknowledge_an_append)
{
    for (const std::vector<malformed_head> &heads :
         {fakes::invalidStatuses("", "{}"), fakes::invalidFieldNames("", "{}")}) {
        EXPECT_EQ(fakes::namesOf(heads,
                                 [](const malformed_head &head) {
                                     return appendsRecords(respondMalformed(head, 0), 1);
                                 }),
                  std::vector<std::string>());
    }
}

// Guards against a server that counts as healthy because of a response that it broke off.
TEST_F(sidecar_broken_response, a_reset_does_not_pass_a_health_check)
{
    EXPECT_EQ(fakes::namesOf(fakes::resetResponses(identity, "part"),
                             [](early_response response) {
                                 response.bytesRead = 0;
                                 response.end = fakes::response_end::late_reset;
                                 return passesCheck(respondEarly(response));
                             }),
              std::vector<std::string>());
    for (const early_response &sound : fakes::soundEarlyResponses(identity, body, true))
        EXPECT_TRUE(passesCheck(respondEarly(sound))) << sound;
}

// Guards against a response that is taken although one without a valid status came first, and
// against a wait until the deadline for what follows it.
TEST_F(sidecar_broken_response, a_response_with_an_invalid_status_is_broken)
{
    const std::vector<malformed_head> heads = fakes::invalidStatuses(identity, body);
    for (const char *method : {"GET", "HEAD", "POST"})
        EXPECT_EQ(notBroken(heads, method), std::vector<std::string>()) << method;
    EXPECT_EQ(healthy(heads), std::vector<std::string>());
}

// Guards against a server whose response ends the process: a wrong length was reserved in memory
// before it was compared with the limit. Found by an independent review.
TEST_F(sidecar_broken_response, a_response_with_an_excessive_length_is_broken)
{
    const std::vector<malformed_head> heads = fakes::excessiveLengths(identity, body);
    for (const char *method : {"GET", "POST", "PUT"})
        EXPECT_EQ(notBroken(heads, method), std::vector<std::string>()) << method;
    EXPECT_EQ(healthy(heads), std::vector<std::string>());
    for (const malformed_head &head : fakes::excessiveLengths("", "{}"))
        EXPECT_FALSE(appendsRecords(respondMalformed(head, 0), 1)) << head;
}

// Guards against a limit that depends on how the bytes of a response arrive, or that breaks a
// response of exactly this length.
TEST_F(sidecar_broken_response, a_response_of_the_longest_length_is_taken)
{
    constexpr std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;
    for (const std::size_t excess : {0, 1}) {
        const std::string text(maxResponseBytes + excess, 't');
        const std::string head = "HTTP/1.1 200 OK\r\n" + identity
                                 + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n";
        for (const std::size_t first : {head.size() - 1, head.size(), head.size() + 1}) {
            const tl::expected<http_response, error_kind> result =
                    responseTo(inTwoParts(head + text, first), "GET", "");
            EXPECT_EQ(result && bodyView(result->body) == text, excess == 0) << first;
        }
    }
}

// Guards against a check of a head that depends on how its bytes arrive, or that reads on into the
// body.
TEST_F(sidecar_broken_response, the_parts_in_which_a_response_arrives_make_no_difference)
{
    const std::string text = "a\r\n b\r\n\r\n\tc";
    const std::string sound = "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: "
                              + std::to_string(text.size()) + "\r\n\r\n" + text;
    const std::string folded = "HTTP/1.1 200 OK\r\n" + identity + " X: 1\r\n\r\n";
    for (const std::string &response : {sound, folded}) {
        for (std::size_t first = 1; first < response.size(); ++first) {
            const tl::expected<http_response, error_kind> result =
                    responseTo(inTwoParts(response, first), "GET", "");
            EXPECT_EQ(result.has_value(), response == sound) << response.substr(0, first);
            EXPECT_EQ(result ? bodyView(result->body) : text, text) << first;
        }
    }
}

// Guards against a line of a head that is passed on although its name is no token, or that changes
// where the body ends.
TEST_F(sidecar_broken_response, a_response_with_an_invalid_field_name_is_broken)
{
    const std::vector<malformed_head> heads = fakes::invalidFieldNames(identity, body);
    for (const char *method : {"GET", "HEAD", "POST"})
        EXPECT_EQ(notBroken(heads, method), std::vector<std::string>()) << method;
    EXPECT_EQ(healthy(heads), std::vector<std::string>());
}

} // namespace
} // namespace tamarackridge
