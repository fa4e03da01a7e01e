#include "node/error_reply.h"

#include "process/json_line.h"

namespace tamarackridge {

http_answer errorReply(error_kind kind)
{
    const error_answer &entry = answerFor(kind);
    const std::string body =
            json_line().add("error", entry.name).add("message", entry.message).finish();
    http_answer answer = jsonReply(entry.httpStatus, body);
    answer.headers.push_back({"Tamarackridge-Error", std::string(entry.name)});
    answer.headers.push_back({"Tamarackridge-Run-State", std::string(toString(entry.state))});
    return answer;
}

http_answer jsonReply(int status, std::string_view json)
{
    return {status,
            {{"Content-Type", "application/json"}},
            std::make_shared<const std::string>(json)};
}

} // namespace tamarackridge
