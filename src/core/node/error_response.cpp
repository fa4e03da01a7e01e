#include "core/node/error_response.h"

#include <string>

namespace tamarackridge::internal {
namespace {

constexpr std::string_view retryAfterSeconds = "1";

std::string errorBody(const error_response &entry, run_state state)
{
    // The names and messages of the error table contain no characters that JSON has to escape.
    std::string body = R"({"error":")";
    body.append(entry.name).append(R"(","run_state":")").append(toString(state));
    body.append(R"(","message":")").append(entry.message).append("\"}\n");
    return body;
}

} // namespace

http_response errorResponse(error_kind kind, run_state state)
{
    const error_response &entry = responseFor(kind);
    http_response response;
    response.status = entry.httpStatus;
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"Tamarackridge-Error", std::string(entry.name)});
    response.headers.push_back({"Tamarackridge-Run-State", std::string(toString(state))});
    if (entry.canResend && (entry.httpStatus == 429 || entry.httpStatus == 503))
        response.headers.push_back({"Retry-After", std::string(retryAfterSeconds)});
    response.body = std::make_shared<const std::string>(errorBody(entry, state));
    return response;
}

http_response errorResponse(error_kind kind)
{
    return errorResponse(kind, responseFor(kind).state);
}

http_response callerResponse(std::optional<error_kind> error, run_state state,
                             const http_response &response)
{
    http_response result = error ? errorResponse(*error, state) : response;
    if (error)
        result.headers.insert(result.headers.end(), response.headers.begin(),
                              response.headers.end());
    else
        result.headers.push_back({"Tamarackridge-Run-State", std::string(toString(state))});
    return result;
}

} // namespace tamarackridge::internal
