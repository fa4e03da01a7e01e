#include "load/ideal_bucket.h"

#include <algorithm>

namespace tamarackridge::load {

ideal_bucket::ideal_bucket(const rate_limit &limit)
    : m_limit(limit)
    , m_tokens(limit.burst)
{ }

bool ideal_bucket::take(duration at)
{
    if (m_limit.rate <= 0.0)
        return true;
    const double elapsed = std::chrono::duration<double>(at - m_last).count();
    m_last = at;
    m_tokens = std::min(m_limit.burst, m_tokens + elapsed * m_limit.rate);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace tamarackridge::load
