#include "core/sidecar/instance_headers.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace tamarackridge::internal {

void instance_headers::open(const starting_run &run, time_point now,
                            std::vector<http_header> &headers)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(run.deadline - now);
    headers.push_back({m_names.deadline, std::to_string(std::max<std::int64_t>(left.count(), 1))});
    if (!m_instance.empty())
        headers.push_back({m_names.expectedInstance, m_instance});
}

std::uint32_t instance_headers::close(run_id, std::uint32_t attempts)
{
    return attempts > 0 ? attempts - 1 : 0;
}

} // namespace tamarackridge::internal
