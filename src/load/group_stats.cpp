#include "load/group_stats.h"

#include <numeric>

namespace tamarackridge::load {
namespace {

constexpr std::array outcomeNames{"whole", "mismatched", "refused", "no_answer", "not_sent"};

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

void group_stats::add(const request_record &request)
{
    ++m_outcomes[static_cast<std::size_t>(request.outcome)];
    if (request.outcome == request_outcome::complete)
        m_latency.add(request.finished - request.intendedStart);
}

nlohmann::ordered_json group_stats::toJson(double seconds) const
{
    const std::size_t offered =
            std::accumulate(m_outcomes.begin(), m_outcomes.end(), std::size_t{0});
    const double complete = static_cast<double>(m_outcomes.front());
    nlohmann::ordered_json group{{"offered", offered}};
    for (std::size_t outcome = 0; outcome < m_outcomes.size(); ++outcome)
        group[outcomeNames[outcome]] = m_outcomes[outcome];
    group["whole_ratio"] = offered == 0 ? 1.0 : complete / static_cast<double>(offered);
    group["offered_per_s"] = static_cast<double>(offered) / seconds;
    group["goodput_per_s"] = complete / seconds;
    group["latency_ms"] = latencyJson(m_latency);
    return group;
}

nlohmann::ordered_json latencyJson(const latency_histogram &latency)
{
    return {{"p50", milliseconds(latency.quantile(0.5))},
            {"p99", milliseconds(latency.quantile(0.99))},
            {"p99_9", milliseconds(latency.quantile(0.999))},
            {"max", milliseconds(latency.max())},
            {"count", latency.count()}};
}

} // namespace tamarackridge::load
