#include "core/sidecar/caller_response.h"

#include "core/node/error_response.h"

#include <algorithm>
#include <array>
#include <string>

namespace tamarackridge::internal {
namespace {

constexpr int requestTimeout = 408;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;

int statusOf(error_kind kind, run_state state)
{
    const int usualStatus = responseFor(kind).httpStatus;
    if (state != run_state::not_run)
        return kind == error_kind::backend_timeout || kind == error_kind::deadline_exceeded
                       ? gatewayTimeout
                       : badGateway;
    if (kind == error_kind::body_incomplete)
        return requestTimeout;
    // Errors of the request itself keep their usual status.
    constexpr std::array<error_kind, 7> requestErrors{
            error_kind::bad_request,   error_kind::request_too_large, error_kind::headers_too_large,
            error_kind::unknown_route, error_kind::key_missing,       error_kind::key_unknown,
            error_kind::rate_exceeded};
    const bool keepsStatus =
            std::find(requestErrors.begin(), requestErrors.end(), kind) != requestErrors.end();
    return keepsStatus ? usualStatus : serviceUnavailable;
}

std::string secondsText(duration time)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    const std::string fraction =
            std::to_string(millisecondsPerSecond + milliseconds % millisecondsPerSecond);
    return std::to_string(milliseconds / millisecondsPerSecond) + '.' + fraction.substr(1);
}

} // namespace

http_response refusal(error_kind kind, run_state state, duration retryDelay)
{
    http_response response = errorResponse(kind, state);
    response.status = statusOf(kind, state);
    std::erase_if(response.headers, [](const http_header &header) {
        return equalHeaderNames(header.name, "Retry-After");
    });
    const bool mayRetry =
            response.status == serviceUnavailable || kind == error_kind::rate_exceeded;
    if (mayRetry)
        response.headers.push_back({"Retry-After", secondsText(retryDelay)});
    return response;
}

bool namesHeader(std::string_view connection, std::string_view header)
{
    while (!connection.empty()) {
        const std::size_t comma = connection.find(',');
        std::string_view token = connection.substr(0, comma);
        const std::size_t begin = token.find_first_not_of(" \t");
        const std::size_t end = token.find_last_not_of(" \t");
        if (begin != std::string_view::npos
            && equalHeaderNames(token.substr(begin, end - begin + 1), header))
            return true;
        if (comma == std::string_view::npos)
            return false;
        connection.remove_prefix(comma + 1);
    }
    return false;
}

} // namespace tamarackridge::internal
