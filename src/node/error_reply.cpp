#include "node/error_reply.h"

#include "process/json_line.h"

namespace tamarackridge {

http_response errorReply(error_kind kind)
{
    const error_response &entry = responseFor(kind);
    const std::string body =
            json_line().add("error", entry.name).add("message", entry.message).finish();
    http_response response = jsonReply(entry.httpStatus, body);
    response.headers.push_back({"Tamarackridge-Error", std::string(entry.name)});
    response.headers.push_back({"Tamarackridge-Run-State", std::string(toString(entry.state))});
    return response;
}

http_response jsonReply(int status, std::string_view json)
{
    return {status,
            {{"Content-Type", "application/json"}},
            std::make_shared<const std::string>(json)};
}

} // namespace tamarackridge
