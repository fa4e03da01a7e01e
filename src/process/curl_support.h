#pragma once

#include <curl/curl.h>

#include <memory>

namespace tamarackridge::internal {

/// \brief Initialises libcurl once per process. Must be called before any other use of libcurl.
void initialiseCurl();

struct curl_easy_deleter
{
    void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
};
using curl_easy = std::unique_ptr<CURL, curl_easy_deleter>;

struct curl_list_deleter
{
    void operator()(curl_slist *list) const { curl_slist_free_all(list); }
};
using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

/// \brief Appends \a line to \a list.
void appendLine(curl_list &list, const char *line);

/// \brief Allows one transmission of a request and aborts any further transmission.
///
/// libcurl resends a request on its own when a reused connection turns out to be dead. The server
/// may have executed the request already, so it must not be transmitted a second time.
class transmission_guard
{
public:
    /// \brief Installs the guard on \a handle; it must outlive the transfer.
    void install(CURL *handle);
    /// \returns whether a transmission was started.
    bool transmitted() const { return m_transmitted; }
    /// \returns whether a second transmission was aborted.
    bool resendAborted() const { return m_resendAborted; }

private:
    static int beforeRequest(void *self, char *, char *, int, int);

    bool m_transmitted = false;
    bool m_resendAborted = false;
};

/// \brief Sets the options common to all transfers: no proxy, no redirects, no signals, HTTP/1.1
/// only, no Nagle delay.
void setCommonOptions(CURL *handle);

} // namespace tamarackridge::internal
