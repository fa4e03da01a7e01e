#include "tamarackridge/src/membership/directory.h"

#include <xxhash.h>

#include <algorithm>

namespace tamarackridge {
namespace {

std::uint64_t stampHash(const member &info)
{
    const std::uint64_t seed = info.node.incarnation ^ (info.counter * 0x9e3779b97f4a7c15U);
    return XXH3_64bits_withSeed(info.node.name.data(), info.node.name.size(), seed);
}

} // namespace

std::uint64_t ringHash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

bool isNewer(const entry_version &left, const entry_version &right)
{
    if (left.counter != right.counter)
        return left.counter > right.counter;
    return left.incarnation > right.incarnation;
}

bool directory::merge(const member &update, time_point now)
{
    const auto found = m_records.find(update.node.name);
    if (found == m_records.end()) {
        m_records.emplace(update.node.name, record{update, liveness::alive, now});
        m_digest ^= stampHash(update);
        ++m_revision;
        return true;
    }
    record &existing = found->second;
    if (!isNewer(update.version(), existing.info.version()))
        return false;
    m_digest ^= stampHash(existing.info) ^ stampHash(update);
    existing = {update, liveness::alive, now};
    ++m_revision;
    return true;
}

bool directory::suspect(std::string_view node, const entry_version &version, time_point now)
{
    const auto found = m_records.find(node);
    if (found == m_records.end() || found->second.info.version() != version
        || found->second.health != liveness::alive)
        return false;
    found->second.health = liveness::suspect;
    found->second.since = now;
    m_hasSuspects = true;
    return true;
}

std::vector<std::string> directory::expireSuspects(duration timeout, time_point now)
{
    std::vector<std::string> dead;
    if (!m_hasSuspects)
        return dead;
    m_hasSuspects = false;
    for (auto &[name, candidate] : m_records) {
        if (candidate.health != liveness::suspect)
            continue;
        if (now - candidate.since < timeout) {
            m_hasSuspects = true;
            continue;
        }
        candidate.health = liveness::dead;
        candidate.since = now;
        ++m_revision;
        dead.push_back(name);
    }
    return dead;
}

std::vector<std::string> directory::prune(duration retention, time_point now)
{
    std::vector<std::string> removed;
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        const record &candidate = entry->second;
        const bool ended =
                candidate.health == liveness::dead || candidate.info.state == member_state::left;
        if (!ended || now - candidate.since < retention) {
            ++entry;
            continue;
        }
        m_digest ^= stampHash(candidate.info);
        removed.push_back(entry->first);
        entry = m_records.erase(entry);
        ++m_revision;
    }
    return removed;
}

const directory::record *directory::find(std::string_view node) const
{
    const auto found = m_records.find(node);
    return found == m_records.end() ? nullptr : &found->second;
}

std::set<std::string> directory::zones() const
{
    std::set<std::string> names;
    for (const auto &[name, candidate] : m_records)
        names.insert(candidate.info.node.zone);
    return names;
}

std::vector<std::string> directory::ring(std::string_view zone) const
{
    std::vector<std::pair<std::uint64_t, std::string>> positions;
    for (const auto &[name, candidate] : m_records) {
        if (candidate.info.node.zone != zone || candidate.health == liveness::dead
            || candidate.info.state == member_state::left)
            continue;
        positions.emplace_back(ringHash(name), name);
    }
    std::sort(positions.begin(), positions.end());
    std::vector<std::string> names;
    names.reserve(positions.size());
    for (std::pair<std::uint64_t, std::string> &position : positions)
        names.push_back(std::move(position.second));
    return names;
}

} // namespace tamarackridge
