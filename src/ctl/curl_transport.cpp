#include "ctl/curl_transport.h"

#include "process/response_head.h"

#include <curl/curl.h>

namespace tamarackridge {
namespace {

constexpr long connectTimeoutMs = 3000;
constexpr long totalTimeoutMs = 15000;
constexpr std::size_t maxResponseBytes = std::size_t{64} << 20U;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    std::string &body = *static_cast<std::string *>(target);
    if (body.size() + size * count > maxResponseBytes)
        return 0; // Makes libcurl abort the transfer.
    body.append(data, size * count);
    return size * count;
}

} // namespace

struct curl_transport::handle
{
    CURL *curl = curl_easy_init();
    handle() = default;
    handle(const handle &) = delete;
    handle &operator=(const handle &) = delete;
    ~handle() { curl_easy_cleanup(curl); }
};

curl_transport::curl_transport()
    : m_handle(std::make_unique<handle>())
{ }

curl_transport::~curl_transport() = default;

tl::expected<http_response, std::string>
curl_transport::send(const std::string &method, const std::string &url, const std::string &body)
{
    CURL *const curl = m_handle->curl;
    std::string received;
    internal::response_head head;
    curl_easy_reset(curl); // Keeps connections open.
    head.install(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, totalTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &received);
    if (method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POST, 1L);
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    }
    const CURLcode result = curl_easy_perform(curl);
    if (head.malformed())
        return tl::unexpected(std::string("malformed response head"));
    if (result != CURLE_OK)
        return tl::unexpected(std::string(curl_easy_strerror(result)));
    if (!head.complete())
        return tl::unexpected(std::string("the connection was closed within the response head"));
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    return http_response{
            static_cast<int>(status), {}, std::make_shared<const std::string>(received)};
}

} // namespace tamarackridge
