#pragma once

#include "tamarackridge/src/base/time.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Moves up to \a count pseudo-randomly chosen candidates to the front.
///
/// The choice depends on \a node and \a now. \a nameOf gives the name of a candidate.
template <typename Candidate, typename Name_of = std::identity>
void moveSelectionToFront(std::vector<Candidate> &candidates, std::size_t count,
                          std::string_view node, time_point now, Name_of nameOf = {})
{
    const std::uint64_t base = XXH3_64bits_withSeed(
            node.data(), node.size(), static_cast<std::uint64_t>(now.time_since_epoch().count()));
    const auto hash = [base, nameOf](const Candidate &candidate) {
        const std::string &name = std::invoke(nameOf, candidate);
        return XXH3_64bits_withSeed(name.data(), name.size(), base);
    };
    const std::size_t selected = std::min(count, candidates.size());
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(selected);
    std::partial_sort(candidates.begin(), middle, candidates.end(),
                      [&hash](const Candidate &one, const Candidate &other) {
                          return hash(one) < hash(other);
                      });
}

} // namespace tamarackridge
