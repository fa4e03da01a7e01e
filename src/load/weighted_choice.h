#pragma once

#include "tamarackridge/src/base/random_source.h"

#include <cstddef>
#include <numeric>
#include <span>

namespace tamarackridge::load {

/// \param weights must not be negative, and at least one must be above 0.
/// \returns a random index, chosen with a probability proportional to its weight.
inline std::size_t chooseByWeight(std::span<const double> weights, random_source &random)
{
    double left = random.unit() * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        if (weights[index] <= 0.0)
            continue;
        chosen = index;
        left -= weights[index];
        if (left < 0.0)
            break;
    }
    return chosen;
}

} // namespace tamarackridge::load
