#include "callers.h"

namespace review {

http_message requestOf(const std::string &method, const std::string &target,
                       const std::string &requestId, milliseconds timeBudget,
                       const std::string &body)
{
    return {method + ' ' + target + " HTTP/1.1",
            {{"Host", deployment::host},
             {"X-Request-Id", requestId},
             {"X-Deadline-Ms", std::to_string(timeBudget.count())},
             {"X-Api-Key", deployment::key}},
            body};
}

} // namespace review
