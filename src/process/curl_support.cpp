#include "process/curl_support.h"

#include <mutex>
#include <new>

namespace tamarackridge::internal {

void initialiseCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

void appendLine(curl_list &list, const char *line)
{
    curl_slist *const extended = curl_slist_append(list.get(), line);
    if (extended == nullptr)
        throw std::bad_alloc();
    static_cast<void>(list.release());
    list.reset(extended);
}

void transmission_guard::install(CURL *handle)
{
    m_transmitted = false;
    m_resendAborted = false;
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &transmission_guard::beforeRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
}

int transmission_guard::beforeRequest(void *self, char *, char *, int, int)
{
    auto *const guard = static_cast<transmission_guard *>(self);
    if (guard->m_transmitted) {
        guard->m_resendAborted = true;
        return CURL_PREREQFUNC_ABORT;
    }
    guard->m_transmitted = true;
    return CURL_PREREQFUNC_OK;
}

void setCommonOptions(CURL *handle)
{
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
}

} // namespace tamarackridge::internal
