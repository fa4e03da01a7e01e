#pragma once

#include "ctl/http_transport.h"
#include "log/log_service.h"

#include <functional>
#include <map>
#include <string>

namespace tamarackridge::fakes {

/// \brief Serves requests to `http://log` by a log_service and all others from a table, without
/// sockets.
class service_transport final : public http_transport
{
public:
    explicit service_transport(log_limits limits = {})
        : m_service(limits)
    { }

    tl::expected<http_response, std::string> send(const std::string &method, const std::string &url,
                                                  const std::string &body) override
    {
        constexpr std::string_view records = "http://log/streams/config/records";
        if (method == "POST" && url == records) {
            if (const std::function<void()> hook = std::exchange(beforeAppend, nullptr))
                hook();
            return m_service.append("config", body);
        }
        if (url.starts_with(records))
            return m_service.read("config",
                                  {url.substr(url.find("from=") + 5), std::nullopt, std::nullopt});
        const auto found = pages.find(method + " " + url);
        if (found == pages.end())
            return tl::unexpected(std::string("connection refused"));
        return http_response{200, {}, std::make_shared<const std::string>(found->second)};
    }
    void setFaults(std::string_view faults) { m_service.setFaults(faults); }

    std::function<void()> beforeAppend; ///< Called once before the next append.
    std::map<std::string, std::string> pages; ///< Response bodies by `METHOD URL`.

private:
    log_service m_service;
};

} // namespace tamarackridge::fakes
