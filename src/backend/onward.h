#pragma once

#include "backend/http_client.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge::backend {

/// \brief One call that a backend server makes for each request it runs.
struct onward_call
{
    std::string method;
    std::string path;
};

/// \param list comma-separated `PATH` or `METHOD:PATH`; a bare path is a GET.
std::vector<onward_call> parseOnwardCalls(std::string_view list);

/// \returns the onward calls of \a path itself: a path that ends in `/chain/<n>` with n above 0
/// calls the same path with n - 1.
std::vector<onward_call> chainCalls(std::string_view path);

/// \brief Settings of the onward calls.
struct onward_options
{
    std::string nodeUrl;
    std::vector<onward_call> calls; ///< Made for every request.
    unsigned retries = 0; ///< Further attempts of the backend server itself after a failure.
};

/// \brief What a running request passes on to its onward calls.
struct onward_parent
{
    std::string_view loadId;
    std::string_view handle;
    std::chrono::milliseconds timeLeft{};
    std::function<bool()> isGone;
};

/// \brief Makes onward calls through the local node.
class onward_caller
{
public:
    explicit onward_caller(onward_options options);

    /// \brief Makes all onward calls for a request with path \a path, one after the other.
    /// \returns whether every call got a 2xx answer with the expected body.
    bool callAll(std::string_view path, const onward_parent &parent);

private:
    bool callWithRetries(const onward_call &call, std::size_t index, const onward_parent &parent);

    const onward_options m_options;
    http_client m_client;
};

} // namespace tamarackridge::backend
