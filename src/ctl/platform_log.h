#pragma once

#include "ctl/http_transport.h"
#include "log/stream_page.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace tamarackridge {

/// \brief Why an append has no offset.
enum class append_failure : std::uint8_t {
    busy, ///< Refused because of the rate limit; it had no effect.
    rejected, ///< Refused for good; it had no effect.
    unknown, ///< It may have taken effect.
};

/// \brief Client of the platform log's HTTP protocol.
class platform_log
{
public:
    /// \param url base URL, for example `http://127.0.0.1:7200`.
    platform_log(http_transport &transport, std::string url);

    tl::expected<std::int64_t, append_failure> append(const std::string &stream,
                                                      const std::string &data);
    /// \returns a page from \a from on, or why there is none.
    tl::expected<stream_page, std::string> read(const std::string &stream, std::int64_t from);

private:
    http_transport &m_transport;
    std::string m_url;
};

} // namespace tamarackridge
