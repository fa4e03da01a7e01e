#pragma once

#include "load/plan.h"

namespace tamarackridge::load {

/// \brief Token bucket without delays or distribution; the reference for a customer's rate limit.
class ideal_bucket
{
public:
    /// \param limit rate and burst; a rate of 0 admits everything. The bucket starts full.
    explicit ideal_bucket(const rate_limit &limit);

    /// \param at time of the request; must not decrease from call to call.
    /// \returns whether the request is within rate and burst; takes a token only in that case.
    bool take(duration at);

private:
    rate_limit m_limit;
    double m_tokens;
    duration m_last{};
};

} // namespace tamarackridge::load
