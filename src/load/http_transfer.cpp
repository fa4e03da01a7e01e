#include "load/http_transfer.h"

#include "tamarackridge/src/base/http_message.h"

#include <curl/curl.h>

#include <new>

namespace tamarackridge::load {
namespace {

struct header_field
{
    std::string_view name;
    std::string send_result::*target;
};

constexpr header_field capturedHeaders[] = {
        {"Tamarackridge-Error", &send_result::error},
        {"Tamarackridge-Run-State", &send_result::runState},
        {"Tamarackridge-Request-Id", &send_result::issuedId},
};

} // namespace

http_transfer::http_transfer()
    : m_handle(curl_easy_init())
{
    if (m_handle == nullptr)
        throw std::bad_alloc();
}

http_transfer::~http_transfer()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(static_cast<curl_slist *>(m_headerLines));
}

void http_transfer::prepare(request request)
{
    m_request = std::move(request);
    m_result = {};
    m_head = {};
    m_body.clear();
    curl_easy_reset(m_handle);
    curl_slist_free_all(static_cast<curl_slist *>(m_headerLines));
    // An empty Expect header keeps libcurl from waiting for `100 Continue`.
    curl_slist *lines = curl_slist_append(nullptr, "Expect:");
    for (const std::string &line : m_request.headers)
        lines = curl_slist_append(lines, line.c_str());
    m_headerLines = lines;
    curl_easy_setopt(m_handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &http_transfer::onHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &http_transfer::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    if (m_request.method != "GET") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request.body.data());
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    }
}

void http_transfer::finish(bool succeeded)
{
    m_result.responseReceived = succeeded && m_head.complete();
    if (m_result.responseReceived)
        curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &m_result.status);
}

std::size_t http_transfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::string_view line(data, size * count);
    http_transfer &transfer = *static_cast<http_transfer *>(self);
    internal::response_head &head = transfer.m_head;
    const internal::head_line kind = head.add(line);
    if (kind == internal::head_line::malformed)
        return 0; // Makes libcurl abort the transfer.
    for (const header_field &captured : capturedHeaders) {
        if (kind == internal::head_line::field && equalHeaderNames(head.name(), captured.name))
            transfer.m_result.*captured.target = head.value();
    }
    return line.size();
}

std::size_t http_transfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    static_cast<http_transfer *>(self)->m_body.append(data, size * count);
    return size * count;
}

} // namespace tamarackridge::load
