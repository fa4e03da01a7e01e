#pragma once

#include "ctl/http_transport.h"

#include <memory>

namespace tamarackridge {

/// \brief Sends HTTP requests through libcurl, one at a time.
class curl_transport final : public http_transport
{
public:
    curl_transport();
    ~curl_transport() override;

    tl::expected<http_response, std::string> send(const std::string &method, const std::string &url,
                                                  const std::string &body) override;

private:
    struct handle;
    std::unique_ptr<handle> m_handle;
};

} // namespace tamarackridge
