#include "core/node/error_answer.h"

#include <string>

namespace tamarackridge::internal {
namespace {

constexpr std::string_view resendDelaySeconds = "1";

std::string errorBody(const error_answer &entry, run_state state)
{
    // The table holds no characters that JSON would need to escape.
    std::string body = R"({"error":")";
    body.append(entry.name).append(R"(","run_state":")").append(toString(state));
    body.append(R"(","message":")").append(entry.message).append("\"}\n");
    return body;
}

} // namespace

http_answer errorAnswer(error_kind kind, run_state state)
{
    const error_answer &entry = answerFor(kind);
    http_answer answer;
    answer.status = entry.httpStatus;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.headers.push_back({"Tamarackridge-Error", std::string(entry.name)});
    answer.headers.push_back({"Tamarackridge-Run-State", std::string(toString(state))});
    if (entry.mayResend && (entry.httpStatus == 429 || entry.httpStatus == 503))
        answer.headers.push_back({"Retry-After", std::string(resendDelaySeconds)});
    answer.body = std::make_shared<const std::string>(errorBody(entry, state));
    return answer;
}

http_answer errorAnswer(error_kind kind)
{
    return errorAnswer(kind, answerFor(kind).state);
}

http_answer callerAnswer(std::optional<error_kind> error, run_state state,
                         const http_answer &answer)
{
    http_answer result = error ? errorAnswer(*error, state) : answer;
    if (error)
        result.headers.insert(result.headers.end(), answer.headers.begin(), answer.headers.end());
    else
        result.headers.push_back({"Tamarackridge-Run-State", std::string(toString(state))});
    return result;
}

} // namespace tamarackridge::internal
