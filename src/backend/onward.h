#pragma once

#include "backend/http_client.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::backend {

/// \brief A downstream call that a backend server makes through its node while it runs a request.
struct onward_call
{
    std::string method;
    std::string path;
};

/// \brief Parses the value of `--onward`.
/// \param list comma-separated `PATH` or `METHOD:PATH`; a bare path is a GET.
std::vector<onward_call> parseOnwardCalls(std::string_view list);

/// \returns the onward calls that \a path itself prescribes: a request to a path that ends in
/// `/chain/<n>` with n > 0 calls the same path with n - 1. Other paths have none.
std::vector<onward_call> chainCalls(std::string_view path);

/// \brief Settings of the onward calls.
struct onward_options
{
    std::string nodeUrl;
    std::vector<onward_call> calls; ///< Calls made for every request.
    unsigned retries = 0; ///< Additional attempts by the backend server after a failed call.
};

/// \brief Properties of the running request that its onward calls inherit.
struct onward_parent
{
    std::string_view loadId;
    std::string_view handle; ///< `Tamarackridge-Handle` of the request; may be empty.
    std::chrono::milliseconds timeLeft{};
    std::function<bool()> isCancelled;
};

/// \brief Makes onward calls through the local node.
class onward_caller
{
public:
    explicit onward_caller(onward_options options);

    /// \brief Makes the onward calls for a request to \a path one by one, until one of them fails.
    /// \returns whether every call received a 2xx response with the expected body.
    bool callAll(std::string_view path, const onward_parent &parent);

private:
    bool callWithRetries(const onward_call &call, std::size_t index, const onward_parent &parent);

    const onward_options m_options;
    http_client m_client;
};

} // namespace tamarackridge::backend
