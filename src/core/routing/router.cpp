#include "tamarackridge/src/routing/router.h"

#include <algorithm>
#include <utility>

namespace tamarackridge {

router::router(router_options options)
    : m_options(std::move(options))
{ }

void router::upsertExecutor(const executor_info &info)
{
    if (record *known = find(info.node))
        known->info = info;
    else
        m_executors.push_back({info, {}, {}, 0});
}

void router::removeExecutor(std::string_view node)
{
    std::erase_if(m_executors, [node](const record &item) { return item.info.node == node; });
}

tl::expected<std::string_view, error_kind> router::choose(std::string_view service, std::uint8_t,
                                                          std::span<const std::string> excluded,
                                                          time_point, random_source &)
{
    const record *best = nullptr;
    for (const record &item : m_executors) {
        if (item.info.service != service || item.info.state != executor_state::serving
            || std::find(excluded.begin(), excluded.end(), item.info.node) != excluded.end()) {
            continue;
        }
        if (best == nullptr || item.inFlight < best->inFlight)
            best = &item;
    }
    if (best == nullptr)
        return tl::unexpected(error_kind::no_backend_server);
    return best->info.node;
}

void router::onDispatched(std::string_view node, time_point)
{
    if (record *item = find(node))
        ++item->inFlight;
}

void router::onAnswer(std::string_view node, duration latency, run_outcome,
                      const executor_load *load, time_point)
{
    record *item = find(node);
    if (item == nullptr)
        return;
    item->inFlight -= item->inFlight > 0 ? 1 : 0;
    item->latency = latency;
    if (load != nullptr)
        item->load = *load;
}

void router::onHeartbeat(std::string_view node, const executor_load &load, time_point)
{
    if (record *item = find(node))
        item->load = load;
}

router::record *router::find(std::string_view node)
{
    const auto found = std::find_if(m_executors.begin(), m_executors.end(),
                                    [node](const record &item) { return item.info.node == node; });
    return found == m_executors.end() ? nullptr : &*found;
}

} // namespace tamarackridge
