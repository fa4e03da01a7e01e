#include "load/id_pool.h"

#include <nlohmann/json.hpp>

namespace tamarackridge::load {
namespace {

constexpr std::chrono::milliseconds failureDelay{500};

} // namespace

std::optional<id_pool::issued_id> id_pool::take()
{
    if (m_ids.empty())
        return std::nullopt;
    issued_id next = std::move(m_ids.front());
    m_ids.pop_front();
    return next;
}

bool id_pool::needsBatch(std::chrono::nanoseconds now) const
{
    return !m_batchPending && m_ids.size() < batchSize / 2 && now >= m_notBefore;
}

void id_pool::handleBatchResponse(std::string_view body, std::size_t target,
                                  std::chrono::nanoseconds now)
{
    m_batchPending = false;
    const nlohmann::json response = nlohmann::json::parse(body, nullptr, false);
    if (!response.is_object() || !response.contains("ids") || !response["ids"].is_array()) {
        m_notBefore = now + failureDelay;
        return;
    }
    for (const nlohmann::json &id : response["ids"]) {
        if (id.is_string())
            m_ids.push_back({id.get<std::string>(), target});
    }
}

} // namespace tamarackridge::load
