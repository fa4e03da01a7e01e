#include "ctl/platform_log.h"

#include <nlohmann/json.hpp>

namespace tamarackridge {
namespace {

using json = nlohmann::json;

stream_page parsePage(const json &value)
{
    stream_page page;
    value.at("first").get_to(page.first);
    value.at("next").get_to(page.next);
    for (const json &record : value.at("records"))
        page.records.push_back({record.at("offset").get<std::int64_t>(),
                                std::chrono::milliseconds(record.at("age_ms").get<std::int64_t>()),
                                record.at("data").get<std::string>()});
    return page;
}

} // namespace

platform_log::platform_log(http_transport &transport, std::string url)
    : m_transport(transport)
    , m_url(std::move(url))
{
    while (m_url.ends_with('/'))
        m_url.pop_back();
}

tl::expected<std::int64_t, append_failure> platform_log::append(const std::string &stream,
                                                                const std::string &data)
{
    const tl::expected<http_response, std::string> response =
            m_transport.send("POST", m_url + "/streams/" + stream + "/records", data);
    if (!response || response->status >= 500 || response->status < 200)
        return tl::unexpected(append_failure::unknown);
    if (response->status == 429)
        return tl::unexpected(append_failure::rate_limited);
    if (response->status != 200)
        return tl::unexpected(append_failure::rejected);
    const json value = json::parse(bodyView(response->body), nullptr, false);
    if (!value.is_object() || !value.contains("offset") || !value["offset"].is_number_integer())
        return tl::unexpected(append_failure::unknown);
    return value["offset"].get<std::int64_t>();
}

tl::expected<stream_page, std::string> platform_log::read(const std::string &stream,
                                                          std::int64_t from)
{
    const tl::expected<http_response, std::string> response = m_transport.send(
            "GET", m_url + "/streams/" + stream + "/records?from=" + std::to_string(from), "");
    if (!response)
        return tl::unexpected(response.error());
    if (response->status != 200)
        return tl::unexpected("the log responded with status " + std::to_string(response->status));
    try {
        return parsePage(json::parse(bodyView(response->body)));
    } catch (const json::exception &error) {
        return tl::unexpected(std::string("the response of the log is malformed: ") + error.what());
    }
}

} // namespace tamarackridge
