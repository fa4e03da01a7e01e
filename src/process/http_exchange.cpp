#include "process/http_exchange.h"

#include "process/hop_headers.h"

#include <algorithm>
#include <charconv>

namespace tamarackridge::internal {
namespace {

// libcurl allocates a receive and a send buffer for each transfer. With its default send buffer of
// 64 KiB, malloc consolidates its free lists on every request.
constexpr long transferBufferBytes = 16L << 10;
constexpr std::string_view echoedHeader = "traceparent"; // Differs for each run.
constexpr std::size_t maxInitialBodyReserve = std::size_t{1}
                                              << 20U; // Longer bodies grow on receipt.

// Returns whether the result means that the connection failed; a timeout does not.
bool isConnectionFailure(CURLcode result)
{
    constexpr std::array broken = {CURLE_COULDNT_CONNECT, CURLE_SEND_ERROR, CURLE_RECV_ERROR,
                                   CURLE_GOT_NOTHING, CURLE_PARTIAL_FILE};
    return std::find(broken.begin(), broken.end(), result) != broken.end();
}

} // namespace

http_exchange::http_exchange(std::uint64_t id, http_target target, http_request request,
                             curl_easy handle, const http_client_options &options)
    : m_id(id)
    , m_target(std::move(target))
    , m_request(std::move(request))
    , m_handle(std::move(handle))
    , m_options(options)
{ }

void http_exchange::prepare(std::chrono::nanoseconds timeout)
{
    CURL *const handle = m_handle.get();
    curl_easy_reset(handle);
    setCommonOptions(handle);
    const std::string url = "http://" + m_target.host + ':' + std::to_string(m_target.port) + '/';
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_REQUEST_TARGET, m_request.target.c_str());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &http_exchange::onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &http_exchange::onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    const auto milliseconds =
            std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(timeout).count());
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, milliseconds);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(m_options.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(m_options.idleConnectionTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, transferBufferBytes);
    curl_easy_setopt(handle, CURLOPT_UPLOAD_BUFFERSIZE, transferBufferBytes);
    m_guard.install(handle);
    setMethodAndBody();
    setHeaders();
}

void http_exchange::setMethodAndBody()
{
    CURL *const handle = m_handle.get();
    const std::string_view body = bodyView(m_request.body);
    const bool bodyExpected =
            m_request.method == "POST" || m_request.method == "PUT" || m_request.method == "PATCH";
    if (m_request.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (bodyExpected || !body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.empty() ? "" : body.data());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    } else {
        curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    }
}

void http_exchange::setHeaders()
{
    removeHopHeaders(m_request.headers);
    // A line `Name:` without a value removes a header that libcurl adds by default.
    appendLine(m_headerLines, "Expect:");
    for (const char *name : {"Accept", "Content-Type"}) {
        if (headerValue(m_request.headers, name).empty())
            appendLine(m_headerLines, (std::string(name) + ':').c_str());
    }
    for (const http_header &header : m_request.headers) {
        const std::string line =
                header.value.empty() ? header.name + ';' : header.name + ": " + header.value;
        appendLine(m_headerLines, line.c_str());
    }
    curl_easy_setopt(m_handle.get(), CURLOPT_HTTPHEADER, m_headerLines.get());
}

std::size_t http_exchange::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::size_t length = size * count;
    const bool accepted = static_cast<http_exchange *>(self)->addHeaderLine({data, length});
    return accepted ? length : 0;
}

std::size_t http_exchange::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::size_t length = size * count;
    return static_cast<http_exchange *>(self)->appendBody({data, length}) ? length : 0;
}

bool http_exchange::addHeaderLine(std::string_view line)
{
    m_headerBytes += line.size();
    if (m_headerBytes > m_options.maxHeaderBytes)
        return false;
    switch (m_head.add(line)) {
    case head_line::malformed:
        return false;
    case head_line::status:
        m_response = {};
        m_response.status = m_head.status();
        m_contentLength.clear();
        m_chunked = false;
        return true;
    case head_line::field:
        return addHeaderField(m_head.name(), m_head.value());
    case head_line::end:
    case head_line::trailer: // Not forwarded.
        return true;
    }
    return false;
}

bool http_exchange::addHeaderField(std::string_view name, std::string_view value)
{
    // A server that repeats this header shows which request it responds to. Another value means a
    // late copy of an earlier response; the failure also closes the connection.
    const bool isEcho = equalHeaderNames(name, echoedHeader);
    const std::string_view sent = isEcho ? headerValue(m_request.headers, echoedHeader) : "";
    if (!sent.empty() && value != sent)
        return false;
    if (equalHeaderNames(name, "content-length")) {
        m_lengthConflict |= !m_contentLength.empty() && m_contentLength != value;
        m_contentLength = value;
    } else if (equalHeaderNames(name, "transfer-encoding")) {
        m_chunked = equalHeaderNames(value, "chunked"); // Ignores case.
    }
    m_response.headers.push_back({std::string(name), std::string(value)});
    return true;
}

bool http_exchange::appendBody(std::string_view part)
{
    if (m_body.empty() && !m_contentLength.empty()) {
        std::size_t expected = 0;
        std::from_chars(m_contentLength.data(), m_contentLength.data() + m_contentLength.size(),
                        expected);
        m_body.reserve(std::min({expected, m_options.maxResponseBytes, maxInitialBodyReserve}));
    }
    if (m_body.size() + part.size() > m_options.maxResponseBytes)
        return false;
    m_body.append(part);
    return true;
}

bool http_exchange::isBodyDelimited() const
{
    const bool hasNoBody =
            m_response.status == 204 || m_response.status == 304 || m_request.method == "HEAD";
    return !m_lengthConflict && (hasNoBody || m_chunked || !m_contentLength.empty());
}

bool http_exchange::hasBodyOfItsLength() const
{
    std::size_t length = 0;
    const char *const last = m_contentLength.data() + m_contentLength.size();
    const bool hasLength =
            std::from_chars(m_contentLength.data(), last, length).ec == std::errc()
            && headerValue(m_response.headers, "Transfer-Encoding").empty(); // Takes precedence.
    return hasLength && length == m_body.size();
}

tl::expected<http_response, error_kind> http_exchange::takeResponse(CURLcode result)
{
    if (result == CURLE_OPERATION_TIMEDOUT)
        return tl::unexpected(error_kind::backend_timeout);
    // A server that responds before it has read an upload may reset the connection after that.
    const bool uploadCut = result == CURLE_SEND_ERROR && hasBodyOfItsLength();
    if (result == CURLE_OK || uploadCut) {
        if (!m_head.complete() || !isBodyDelimited())
            return tl::unexpected(error_kind::backend_answer_incomplete);
        removeHopHeaders(m_response.headers);
        if (!m_body.empty())
            m_response.body = std::make_shared<const std::string>(std::move(m_body));
        return std::move(m_response);
    }
    const bool responseStarted = m_headerBytes != 0;
    return tl::unexpected(responseStarted ? error_kind::backend_answer_incomplete
                                          : error_kind::backend_failed);
}

http_outcome http_exchange::finish(CURLcode result)
{
    long systemError = 0;
    curl_easy_getinfo(m_handle.get(), CURLINFO_OS_ERRNO, &systemError);
    http_outcome outcome;
    outcome.bytesSent = m_guard.transmitted();
    outcome.connectionRefused = result == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
    outcome.response = takeResponse(result);
    outcome.connectionBroken =
            !outcome.response && (m_guard.resendAborted() || isConnectionFailure(result));
    outcome.target = std::move(m_target);
    return outcome;
}

http_outcome http_exchange::abort(error_kind kind)
{
    http_outcome outcome;
    outcome.bytesSent = m_guard.transmitted();
    outcome.response = tl::unexpected(kind);
    outcome.target = std::move(m_target);
    return outcome;
}

} // namespace tamarackridge::internal
