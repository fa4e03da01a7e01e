#include "tamarackridge/src/overload/attempt_budget.h"

#include <algorithm>

namespace tamarackridge {

namespace {
// A request that makes more different onward calls has further ones charged as retries, which
// bounds the memory of a handle.
constexpr std::size_t maxCallsRemembered = 256;
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

void attempt_budget::returnUnused(std::uint32_t part, std::uint32_t unused)
{
    m_remaining += std::min(part, unused);
}

std::optional<onward_call_budget> onward_attempts::open(std::uint64_t fingerprint)
{
    onward_call_budget part;
    part.retry = !rememberCall(fingerprint);
    if (part.retry) {
        part.charged = m_budget.takeShare();
        part.attempts = part.charged;
    } else {
        part.charged = m_budget.take(m_budget.remaining() / 2);
        part.attempts = 1 + part.charged;
    }
    if (part.attempts == 0)
        return std::nullopt;
    return part;
}

void onward_attempts::close(const onward_call_budget &part, std::uint32_t unused)
{
    m_budget.returnUnused(part.charged, unused);
}

bool onward_attempts::rememberCall(std::uint64_t fingerprint)
{
    if (std::find(m_calls.begin(), m_calls.end(), fingerprint) != m_calls.end()
        || m_calls.size() >= maxCallsRemembered) {
        return false;
    }
    m_calls.push_back(fingerprint);
    return true;
}

} // namespace tamarackridge
