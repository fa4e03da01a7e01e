#pragma once

#include "deployment.h"

namespace review {

/// \brief A request with the headers that all callers send.
http_message requestOf(const std::string &method, const std::string &target,
                       const std::string &requestId, milliseconds timeBudget,
                       const std::string &body = {});

} // namespace review
