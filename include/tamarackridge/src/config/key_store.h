#pragma once

#include "tamarackridge/src/base/error_kind.h"
#include "tamarackridge/src/config/config_set.h"

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief Verifies API keys against the configuration in force.
///
/// Verified keys are cached. A cache entry is valid for one configuration version only, so the
/// withdrawal of a key takes effect together with its version. A cache hit does not allocate
/// memory.
///
/// \code
/// key_store keys(seed);
/// keys.install(set, version);
/// tl::expected<const customer *, error_kind> owner = keys.verify("acme-1.3f…");
/// \endcode
class key_store
{
public:
    /// Maximum length of a key; issued keys have about 90 characters.
    static constexpr std::size_t maxKeyBytes = 136;

    /// \param seed random hash seed that prevents callers from crafting keys that fall into the
    /// same cache bucket.
    /// \param buckets number of cache buckets, rounded up to a power of two.
    explicit key_store(std::uint64_t seed, std::size_t buckets = 1024);

    /// \brief Makes \a set the configuration in force and invalidates all cached verifications.
    void install(std::shared_ptr<const config_set> set, std::int64_t version);

    /// \param presented `<id>.<secret>`.
    /// \returns the customer of the key, or key_missing, key_unknown or not_configured. The pointer
    /// is valid until the next install().
    tl::expected<const customer *, error_kind> verify(std::string_view presented);

    std::uint64_t cacheHits() const { return m_hits; }
    std::uint64_t cacheMisses() const { return m_misses; }

private:
    struct cached_key
    {
        std::uint64_t hash = 0;
        std::uint64_t generation = 0; ///< 0 for an unused entry.
        const customer *owner = nullptr;
        std::uint8_t length = 0;
        std::array<char, maxKeyBytes> key{};
    };
    static constexpr std::size_t ways = 4;
    using bucket = std::array<cached_key, ways>;

    bucket &bucketOf(std::uint64_t hash) { return m_buckets[hash & (m_buckets.size() - 1)]; }
    const customer *verifyUncached(std::string_view presented) const;
    void addToCache(std::string_view presented, std::uint64_t hash, const customer *owner);

    std::shared_ptr<const config_set> m_set;
    std::int64_t m_version = -1;
    std::uint64_t m_generation = 0; ///< Incremented by every install().
    std::uint64_t m_seed;
    std::vector<bucket> m_buckets;
    std::uint64_t m_hits = 0;
    std::uint64_t m_misses = 0;
};

} // namespace tamarackridge
