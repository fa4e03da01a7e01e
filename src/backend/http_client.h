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
    std::vector<std::string> headers; ///< Whole lines, `Name: value`.
    std::string body;
    std::chrono::milliseconds timeout{};
};

/// \brief Answer to a client_request.
struct client_response
{
    long status = 0;
    std::string body;
};

/// \brief Blocking HTTP client whose connections are kept and reused by any thread.
class http_client
{
public:
    http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;
    ~http_client();

    /// \param isGone asked from time to time; true aborts the request. May be empty.
    /// \returns the whole answer, or nothing when there was none.
    std::optional<client_response> send(const client_request &request,
                                        const std::function<bool()> &isGone = {});

private:
    class session;
    std::unique_ptr<session> takeSession();
    void returnSession(std::unique_ptr<session> used);

    std::mutex m_mutex;
    std::vector<std::unique_ptr<session>> m_idle; ///< Each has its own kept connections.
};

} // namespace tamarackridge::backend
