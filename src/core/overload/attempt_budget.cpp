#include "tamarackridge/src/overload/attempt_budget.h"

#include <algorithm>

namespace tamarackridge {

namespace {
// Bounds the memory of a handle: when a request has made this many different onward calls, each
// further one is charged as a retry.
constexpr std::size_t maxRecordedCalls = 256;
} // namespace

std::uint32_t attempt_budget::takeShare()
{
    return m_remaining == 0 ? 0 : take(1 + (m_remaining - 1) / 2);
}

std::uint32_t attempt_budget::take(std::uint32_t wanted)
{
    const std::uint32_t taken = std::min(wanted, m_remaining);
    m_remaining -= taken;
    return taken;
}

void attempt_budget::returnUnused(std::uint32_t share, std::uint32_t unused)
{
    m_remaining += std::min(share, unused);
}

std::optional<onward_call_budget> onward_attempts::open(std::uint64_t fingerprint)
{
    onward_call_budget budget;
    budget.retry = !recordCall(fingerprint);
    if (budget.retry) {
        budget.charged = m_budget.takeShare();
        budget.attempts = budget.charged;
    } else {
        budget.charged = m_budget.take(m_budget.remaining() / 2);
        budget.attempts = 1 + budget.charged;
    }
    if (budget.attempts == 0)
        return std::nullopt;
    return budget;
}

void onward_attempts::close(const onward_call_budget &budget, std::uint32_t unused)
{
    m_budget.returnUnused(budget.charged, unused);
}

bool onward_attempts::recordCall(std::uint64_t fingerprint)
{
    if (std::find(m_callFingerprints.begin(), m_callFingerprints.end(), fingerprint)
                != m_callFingerprints.end()
        || m_callFingerprints.size() >= maxRecordedCalls) {
        return false;
    }
    m_callFingerprints.push_back(fingerprint);
    return true;
}

} // namespace tamarackridge
