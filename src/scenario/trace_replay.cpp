#include "scenario/trace_replay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <optional>
#include <sstream>

namespace tamarackridge::scenario {
namespace {

using json = nlohmann::json;

// Requests below this path are for the recording node itself and are not replayed.
constexpr std::string_view nodePathPrefix = "/.tamarackridge/";

/// \returns the time of a text such as `2026-12-04T07:02:41.441Z`.
std::optional<duration> parseUtc(const std::string &text)
{
    std::tm fields{};
    std::istringstream in(text);
    in >> std::get_time(&fields, "%Y-%m-%dT%H:%M:%S");
    char dot = 0;
    int milliseconds = 0;
    char zone = 0;
    if (!in || !(in >> dot >> milliseconds >> zone) || dot != '.' || zone != 'Z')
        return std::nullopt;
    return std::chrono::seconds(timegm(&fields)) + std::chrono::milliseconds(milliseconds);
}

std::optional<recorded_request> parseLine(const std::string &text)
{
    const json line = json::parse(text, nullptr, false);
    try {
        const std::optional<duration> respondedAt = parseUtc(line.at("time").get<std::string>());
        if (!respondedAt)
            return std::nullopt;
        recorded_request request;
        request.arrival = *respondedAt
                          - std::chrono::microseconds(line.at("duration_us").get<std::int64_t>());
        request.method = line.at("method").get<std::string>();
        request.path = line.at("path").get<std::string>();
        request.bodyBytes = line.at("body_bytes").get<std::size_t>();
        return request;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

tl::expected<std::vector<recorded_request>, script_error> readTrace(std::istream &in)
{
    std::vector<recorded_request> requests;
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        std::optional<recorded_request> request = parseLine(text);
        if (!request)
            return tl::unexpected(script_error{number, "expected a recorded request"});
        if (!request->path.starts_with(nodePathPrefix))
            requests.push_back(std::move(*request));
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const recorded_request &left, const recorded_request &right) {
                         return left.arrival < right.arrival;
                     });
    if (requests.empty())
        return requests;
    const duration first = requests.front().arrival;
    for (recorded_request &request : requests)
        request.arrival -= first;
    return requests;
}

} // namespace tamarackridge::scenario
