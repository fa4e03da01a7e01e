#pragma once

#include "process/curl_support.h"
#include "process/http_client.h"
#include "process/response_head.h"

#include <string_view>

namespace tamarackridge::internal {

/// \brief One HTTP request on one libcurl handle; collects the response as it arrives.
class http_exchange
{
public:
    /// \param handle reusable libcurl handle; the exchange owns it until releaseHandle() is called.
    http_exchange(std::uint64_t id, http_target target, http_request request, curl_easy handle,
                  const http_client_options &options);
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;
    ~http_exchange() = default;

    /// \brief Sets all options of the handle; must be called before the transfer is started.
    void prepare(std::chrono::nanoseconds timeout);

    std::uint64_t id() const { return m_id; }
    CURL *handle() const { return m_handle.get(); }
    /// \returns the outcome of a transfer that libcurl finished with \a result.
    http_outcome finish(CURLcode result);
    /// \returns the outcome of a transfer that this process ended before libcurl finished it.
    http_outcome abort(error_kind kind);
    curl_easy releaseHandle() { return std::move(m_handle); }

private:
    void setMethodAndBody();
    void setHeaders();
    bool addHeaderLine(std::string_view line);
    bool addHeaderField(std::string_view name, std::string_view value);
    bool appendBody(std::string_view part);
    bool isBodyDelimited() const;
    bool hasBodyOfItsLength() const;
    tl::expected<http_response, error_kind> takeResponse(CURLcode result);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);

    std::uint64_t m_id;
    http_target m_target;
    http_request m_request;
    curl_easy m_handle;
    const http_client_options &m_options;
    curl_list m_headerLines;
    transmission_guard m_guard;
    http_response m_response;
    std::string m_body;
    std::size_t m_headerBytes = 0;
    std::string m_contentLength;
    bool m_lengthConflict = false;
    bool m_chunked = false;
    response_head m_head;
};

} // namespace tamarackridge::internal
