#include "backend/http_client.h"

#include <curl/curl.h>

#include <memory>

namespace tamarackridge::backend {
namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

int abortWhenGone(void *isGone, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return (*static_cast<const std::function<bool()> *>(isGone))() ? 1 : 0;
}

using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

header_list makeHeaders(const std::vector<std::string> &lines)
{
    // An empty Expect header keeps libcurl from waiting for `100 Continue`.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &line : lines)
        list = curl_slist_append(list, line.c_str());
    return {list, &curl_slist_free_all};
}

void setBody(CURL *handle, const client_request &request)
{
    if (request.method == "GET")
        return;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

} // namespace

http_client::http_client()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

http_client::~http_client()
{
    for (void *handle : m_idle)
        curl_easy_cleanup(handle);
}

std::optional<client_answer> http_client::send(const client_request &request,
                                               const std::function<bool()> &isGone)
{
    CURL *handle = takeHandle();
    curl_easy_reset(handle);
    const header_list headers = makeHeaders(request.headers);
    client_answer answer;
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    setBody(handle, request);
    if (isGone) {
        curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
        curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, abortWhenGone);
        curl_easy_setopt(handle, CURLOPT_XFERINFODATA, &isGone);
    }
    const bool whole = curl_easy_perform(handle) == CURLE_OK;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
    returnHandle(handle);
    return whole ? std::optional(std::move(answer)) : std::nullopt;
}

void *http_client::takeHandle()
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.empty())
        return curl_easy_init();
    void *handle = m_idle.back();
    m_idle.pop_back();
    return handle;
}

void http_client::returnHandle(void *handle)
{
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(handle);
}

} // namespace tamarackridge::backend
