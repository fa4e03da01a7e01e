#include "backend/onward.h"

#include "load/echo_body.h"

#include <charconv>

namespace tamarackridge::backend {
namespace {

constexpr std::string_view chainSegment = "/chain/";

onward_call parseCall(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return {"GET", std::string(text)};
    return {std::string(text.substr(0, colon)), std::string(text.substr(colon + 1))};
}

/// Derives the load id of an onward call from that of its parent, so that the checker can count the
/// runs of the call.
std::string onwardLoadId(std::string_view parentId, const onward_call &call, std::size_t index)
{
    std::string id(1, call.method == "GET" ? load::readIdPrefix : load::writeIdPrefix);
    id += parentId.empty() ? parentId : parentId.substr(1);
    return id + "." + std::to_string(index);
}

} // namespace

std::vector<onward_call> parseOnwardCalls(std::string_view list)
{
    std::vector<onward_call> calls;
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (comma > 0)
            calls.push_back(parseCall(list.substr(0, comma)));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return calls;
}

std::vector<onward_call> chainCalls(std::string_view path)
{
    const std::size_t start = path.rfind(chainSegment);
    if (start == std::string_view::npos)
        return {};
    const std::string_view digits = path.substr(start + chainSegment.size());
    unsigned depth = 0;
    const std::from_chars_result parsed =
            std::from_chars(digits.data(), digits.data() + digits.size(), depth);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || depth == 0)
        return {};
    return {{"GET",
             std::string(path.substr(0, start + chainSegment.size())) + std::to_string(depth - 1)}};
}

onward_caller::onward_caller(onward_options options)
    : m_options(std::move(options))
{ }

bool onward_caller::callAll(std::string_view path, const onward_parent &parent)
{
    std::vector<onward_call> calls = chainCalls(path);
    calls.insert(calls.end(), m_options.calls.begin(), m_options.calls.end());
    for (std::size_t index = 0; index < calls.size(); ++index) {
        if (!callWithRetries(calls[index], index, parent))
            return false;
    }
    return true;
}

bool onward_caller::callWithRetries(const onward_call &call, std::size_t index,
                                    const onward_parent &parent)
{
    const std::string loadId = onwardLoadId(parent.loadId, call, index);
    client_request request{call.method, m_options.nodeUrl + call.path, {}, {}, parent.timeLeft};
    request.headers.push_back(std::string(load::loadIdHeader) + ": " + loadId);
    if (!parent.handle.empty())
        request.headers.push_back("Tamarackridge-Handle: " + std::string(parent.handle));
    if (call.method != "GET") {
        request.headers.push_back("Idempotency-Key: " + loadId);
        request.headers.emplace_back("Content-Type: application/octet-stream");
        request.body = loadId;
    }
    for (unsigned attempt = 0; attempt <= m_options.retries; ++attempt) {
        const std::optional<client_response> response = m_client.send(request, parent.isCancelled);
        if (response && response->status / 100 == 2
            && load::isEchoOf(response->body, loadId, request.body))
            return true;
        if (parent.isCancelled())
            return false;
    }
    return false;
}

} // namespace tamarackridge::backend
