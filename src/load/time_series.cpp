#include "load/time_series.h"

#include <algorithm>

namespace tamarackridge::load {
namespace {

constexpr double minRecoveredShare = 0.95;

std::size_t floorSecond(duration at)
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(at).count();
    return static_cast<std::size_t>(std::max<std::int64_t>(0, second));
}

std::size_t ceilSecond(duration at)
{
    return floorSecond(at + std::chrono::seconds(1) - duration(1));
}

second_counts &at(std::vector<second_counts> &seconds, std::size_t second)
{
    if (second >= seconds.size())
        seconds.resize(second + 1);
    return seconds[second];
}

double share(const second_counts &counts)
{
    return static_cast<double>(counts.complete) / static_cast<double>(counts.offered);
}

second_counts sum(std::span<const second_counts> seconds, second_range range)
{
    second_counts total;
    for (std::size_t second = range.first; second < std::min(range.end, seconds.size()); ++second) {
        total.offered += seconds[second].offered;
        total.complete += seconds[second].complete;
    }
    return total;
}

} // namespace

std::vector<second_counts> countBySecond(std::span<const request_record> requests)
{
    std::vector<second_counts> seconds;
    for (const request_record &request : requests) {
        ++at(seconds, floorSecond(request.intendedStart)).offered;
        if (request.outcome != request_outcome::complete)
            continue;
        ++at(seconds, floorSecond(request.intendedStart)).complete;
        ++at(seconds, floorSecond(request.finished)).goodput;
    }
    return seconds;
}

std::optional<std::size_t> recoverySeconds(std::span<const second_counts> seconds,
                                           second_range before, second_range after)
{
    const second_counts baseline = sum(seconds, before);
    const std::size_t end = std::min(after.end, seconds.size());
    // Without complete responses before the surge there is no baseline to recover to.
    if (baseline.complete == 0 || sum(seconds, after).offered == 0)
        return std::nullopt;
    const double minShare = minRecoveredShare * share(baseline);
    std::size_t recovered = end;
    for (std::size_t second = end; second-- > after.first;) {
        if (seconds[second].offered == 0)
            continue;
        if (share(seconds[second]) < minShare)
            break;
        recovered = second;
    }
    return recovered == end ? std::nullopt : std::optional(recovered - after.first);
}

std::vector<surge_recovery> recoveries(const load_plan &plan,
                                       std::span<const second_counts> seconds)
{
    std::vector<duration> starts{duration::zero()};
    for (const load_phase &phase : plan.phases)
        starts.push_back(starts.back() + phase.length);
    std::vector<surge_recovery> all;
    std::size_t baselineFirst = 0;
    for (std::size_t index = 0; index < plan.phases.size(); ++index) {
        if (!plan.phases[index].surge)
            continue;
        std::size_t next = index + 1;
        while (next < plan.phases.size() && !plan.phases[next].surge)
            ++next;
        const second_range before{baselineFirst, floorSecond(starts[index])};
        const second_range after{ceilSecond(starts[index + 1]), floorSecond(starts[next])};
        all.push_back({index, recoverySeconds(seconds, before, after)});
        baselineFirst = ceilSecond(starts[index + 1]);
    }
    return all;
}

} // namespace tamarackridge::load
