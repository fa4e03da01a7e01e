#include "load/time_series.h"

#include <algorithm>

namespace tamarackridge::load {
namespace {

constexpr double recoveredShare = 0.95;

std::size_t secondOf(duration at)
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(at).count();
    return static_cast<std::size_t>(std::max<std::int64_t>(0, second));
}

std::size_t secondFrom(duration at)
{
    return secondOf(at + std::chrono::seconds(1) - duration(1));
}

second_counts &at(std::vector<second_counts> &seconds, std::size_t second)
{
    if (second >= seconds.size())
        seconds.resize(second + 1);
    return seconds[second];
}

double share(const second_counts &counts)
{
    return static_cast<double>(counts.whole) / static_cast<double>(counts.offered);
}

second_counts sum(std::span<const second_counts> seconds, second_range range)
{
    second_counts total;
    for (std::size_t second = range.first; second < std::min(range.end, seconds.size()); ++second) {
        total.offered += seconds[second].offered;
        total.whole += seconds[second].whole;
    }
    return total;
}

} // namespace

std::vector<second_counts> countBySecond(std::span<const request_record> requests)
{
    std::vector<second_counts> seconds;
    for (const request_record &request : requests) {
        ++at(seconds, secondOf(request.intended)).offered;
        if (request.outcome != request_outcome::whole)
            continue;
        ++at(seconds, secondOf(request.intended)).whole;
        ++at(seconds, secondOf(request.finished)).goodput;
    }
    return seconds;
}

std::optional<std::size_t> recoverySeconds(std::span<const second_counts> seconds,
                                           second_range before, second_range after)
{
    const second_counts level = sum(seconds, before);
    const std::size_t end = std::min(after.end, seconds.size());
    // Without goodput before the surge there is no level to return to.
    if (level.whole == 0 || sum(seconds, after).offered == 0)
        return std::nullopt;
    const double wanted = recoveredShare * share(level);
    std::size_t recovered = end;
    for (std::size_t second = end; second-- > after.first;) {
        if (seconds[second].offered == 0)
            continue;
        if (share(seconds[second]) < wanted)
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
    std::size_t levelFirst = 0;
    for (std::size_t index = 0; index < plan.phases.size(); ++index) {
        if (!plan.phases[index].surge)
            continue;
        std::size_t next = index + 1;
        while (next < plan.phases.size() && !plan.phases[next].surge)
            ++next;
        const second_range before{levelFirst, secondOf(starts[index])};
        const second_range after{secondFrom(starts[index + 1]), secondOf(starts[next])};
        all.push_back({index, recoverySeconds(seconds, before, after)});
        levelFirst = secondFrom(starts[index + 1]);
    }
    return all;
}

} // namespace tamarackridge::load
