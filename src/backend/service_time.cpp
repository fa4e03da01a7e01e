#include "backend/service_time.h"

#include <cmath>
#include <numbers>

namespace tamarackridge::backend {
namespace {

double standardNormal(random_source &random)
{
    // Box-Muller transform. unit() is in [0, 1), so 1 - unit() is never 0.
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
    return radius * std::cos(2.0 * std::numbers::pi * random.unit());
}

} // namespace

double service_time::coldSlowdown(duration sinceStart) const
{
    const double age = std::chrono::duration<double>(sinceStart).count();
    if (age >= coldSeconds || coldFactor <= 1.0)
        return 1.0;
    return coldFactor - (coldFactor - 1.0) * age / coldSeconds;
}

duration service_time::sample(random_source &random, duration sinceStart) const
{
    const double milliseconds =
            medianMs * std::exp(sigma * standardNormal(random)) * coldSlowdown(sinceStart);
    return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace tamarackridge::backend
