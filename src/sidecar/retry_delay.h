#pragma once

#include "tamarackridge/src/base/time.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackridge {

/// \brief Delay before a failed call to the platform's store is repeated; grows with each failure.
///
/// \code
/// retry_delay delay;
/// timer.expires_after(delay.next()); // 0.2 s after the first failure, 0.7 s at most
/// delay.reset(); // after a success
/// \endcode
class retry_delay
{
public:
    duration next() { return std::exchange(m_next, std::min(2 * m_next, max)); }
    void reset() { m_next = initial; }

private:
    static constexpr duration initial = std::chrono::milliseconds(200);
    // A configuration must be in force within two seconds, even right after an outage of the store.
    static constexpr duration max = std::chrono::milliseconds(700);

    duration m_next = initial;
};

} // namespace tamarackridge
