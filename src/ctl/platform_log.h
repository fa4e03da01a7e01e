#pragma once

#include "ctl/http_transport.h"
#include "log/stream_page.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>

namespace tamarackridge {

/// \brief Why an append returned no offset.
enum class append_failure : std::uint8_t {
    rate_limited, ///< Rejected by the rate limit; the append had no effect.
    rejected, ///< Rejected permanently; the append had no effect.
    unknown, ///< The append may have taken effect.
};

/// \brief Client of the platform log's HTTP protocol.
class platform_log
{
public:
    /// \param url base URL, for example `http://127.0.0.1:7200`.
    platform_log(http_transport &transport, std::string url);

    tl::expected<std::int64_t, append_failure> append(const std::string &stream,
                                                      const std::string &data);
    /// \returns the page that starts at offset \a from, or the reason why it cannot be read.
    tl::expected<stream_page, std::string> read(const std::string &stream, std::int64_t from);

private:
    http_transport &m_transport;
    std::string m_url;
};

} // namespace tamarackridge
