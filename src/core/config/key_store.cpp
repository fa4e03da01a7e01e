#include "tamarackridge/src/config/key_store.h"

#include "tamarackridge/src/config/key_material.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace tamarackridge {
namespace {

std::string_view asText(const key_hmac &hmac)
{
    return {reinterpret_cast<const char *>(hmac.data()), hmac.size()};
}

} // namespace

key_store::key_store(std::uint64_t seed, std::size_t buckets)
    : m_seed(seed)
    , m_buckets(std::bit_ceil(std::max<std::size_t>(buckets, 1)))
{ }

void key_store::install(std::shared_ptr<const config_set> set, std::int64_t version)
{
    m_set = std::move(set);
    m_version = version;
    ++m_generation;
}

tl::expected<const customer *, error_kind> key_store::verify(std::string_view presented)
{
    if (m_set == nullptr)
        return tl::unexpected(error_kind::not_configured);
    if (presented.empty())
        return tl::unexpected(error_kind::key_missing);
    if (presented.size() > maxKeyBytes)
        return tl::unexpected(error_kind::key_unknown);
    const std::uint64_t hash = XXH3_64bits_withSeed(presented.data(), presented.size(), m_seed);
    for (const cached_key &entry : bucketOf(hash)) {
        if (entry.generation == m_generation && entry.hash == hash
            && equalInConstantTime({entry.key.data(), entry.length}, presented)) {
            ++m_hits;
            return entry.owner;
        }
    }
    ++m_misses;
    const customer *owner = verifyUncached(presented);
    if (owner == nullptr)
        return tl::unexpected(error_kind::key_unknown);
    addToCache(presented, hash, owner);
    return owner;
}

const customer *key_store::verifyUncached(std::string_view presented) const
{
    const std::size_t dot = presented.find('.');
    if (dot == std::string_view::npos)
        return nullptr;
    const api_key *key = m_set->findKey(presented.substr(0, dot));
    if (key == nullptr)
        return nullptr;
    const key_hmac computed = hmacOf(key->salt, presented.substr(dot + 1));
    return equalInConstantTime(asText(computed), asText(key->hmac)) ? &m_set->customerOf(*key)
                                                                    : nullptr;
}

void key_store::addToCache(std::string_view presented, std::uint64_t hash, const customer *owner)
{
    bucket &candidates = bucketOf(hash);
    // Evicts an entry of an earlier version if there is one, otherwise the current entry that the
    // hash selects.
    const auto stale =
            std::find_if(candidates.begin(), candidates.end(), [this](const cached_key &entry) {
                return entry.generation != m_generation;
            });
    cached_key &entry = stale != candidates.end() ? *stale : candidates[(hash >> 32U) % ways];
    entry.hash = hash;
    entry.generation = m_generation;
    entry.owner = owner;
    entry.length = static_cast<std::uint8_t>(presented.size());
    std::copy(presented.begin(), presented.end(), entry.key.begin());
}

} // namespace tamarackridge
