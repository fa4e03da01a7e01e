#include "sidecar/received_frames.h"

#include <algorithm>

namespace tamarackridge {

std::uint64_t received_frames::lastOf(incarnation_id sender) const
{
    const auto found = m_entries.find(sender);
    return found == m_entries.end() ? 0 : found->second.number;
}

bool received_frames::advance(incarnation_id sender, std::uint64_t number, time_point now)
{
    if (number <= lastOf(sender))
        return false;
    if (m_entries.size() >= m_maxSenders && !m_entries.contains(sender))
        forgetLongestSilent();
    m_entries[sender] = {number, now};
    return true;
}

void received_frames::forgetLongestSilent()
{
    const auto longestSilent = std::min_element(
            m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
                return left.second.receivedAt < right.second.receivedAt;
            });
    if (longestSilent != m_entries.end())
        m_entries.erase(longestSilent);
}

} // namespace tamarackridge
