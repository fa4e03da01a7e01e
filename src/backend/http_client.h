#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge::backend {

/// \brief An outgoing HTTP request.
struct client_request
{
    std::string method;
    std::string url;
    std::vector<std::string> headers; ///< Complete lines, `Name: value`.
    std::string body;
    std::chrono::milliseconds timeout{};
};

/// \brief Response to a client_request.
struct client_response
{
    long status = 0;
    std::string body;
};

/// \brief Blocking HTTP client that keeps connections open and reuses them from any thread.
class http_client
{
public:
    http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;
    ~http_client();

    /// \param isCancelled polled during the request; returning true aborts it. May be empty.
    /// \returns the complete response, or std::nullopt if there was none.
    std::optional<client_response> send(const client_request &request,
                                        const std::function<bool()> &isCancelled = {});

private:
    class session;
    std::unique_ptr<session> takeSession();
    void returnSession(std::unique_ptr<session> client);

    std::mutex m_mutex;
    std::vector<std::unique_ptr<session>> m_idle; ///< Each holds its own open connections.
};

} // namespace tamarackridge::backend
