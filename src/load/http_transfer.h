#pragma once

#include "load/client_call.h"
#include "process/response_head.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::load {

/// \brief One HTTP request and its response on a reusable libcurl handle.
class http_transfer
{
public:
    /// \brief Request to send.
    struct request
    {
        std::string method;
        std::string url;
        std::vector<std::string> headers; ///< Complete lines, `Name: value`.
        std::string body;
        std::chrono::milliseconds timeout{};
    };

    http_transfer();
    http_transfer(const http_transfer &) = delete;
    http_transfer &operator=(const http_transfer &) = delete;
    ~http_transfer();

    /// \brief Prepares the handle for \a request and clears the previous response.
    void prepare(request request);
    /// \brief Reads the result. Must be called after libcurl has finished with the handle.
    /// \param succeeded whether libcurl reported success.
    void finish(bool succeeded);

    /// \returns the CURL easy handle.
    void *handle() const { return m_handle; }
    const request &sent() const { return m_request; }
    /// \returns the result; `bodyMatches` is left to the caller.
    send_result &result() { return m_result; }
    const std::string &body() const { return m_body; }

private:
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);

    void *m_handle;
    void *m_headerLines = nullptr;
    request m_request;
    send_result m_result;
    internal::response_head m_head;
    std::string m_body;
};

} // namespace tamarackridge::load
