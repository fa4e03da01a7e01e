#pragma once

#include "tamarackridge/src/base/time.h"
#include "tamarackridge/src/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackridge {

/// \brief How reachable a member is thought to be.
enum class liveness : std::uint8_t { alive, suspect, dead };

/// \brief All nodes that this node knows of, with their versions and liveness.
class directory
{
public:
    struct record
    {
        member info;
        liveness health = liveness::alive;
        time_point since; ///< Of the present liveness.
    };
    using record_map = std::map<std::string, record, std::less<>>;

    /// \brief Merges a member.
    ///
    /// The higher counter wins, whatever the incarnation: a restarted node raises its counter above
    /// every entry it sees under its own name, so incarnations need no order of their own.
    /// \returns true when the directory changed.
    bool merge(const member &update, time_point now);
    /// \brief Applies a suspicion. \returns true when the member was alive in that version.
    bool suspect(std::string_view node, const entry_version &version, time_point now);
    /// \brief Sets every suspect older than \a timeout to dead. \returns their names.
    std::vector<std::string> expireSuspects(duration timeout, time_point now);
    /// \brief Forgets members that have been dead or left for \a retention.
    /// \returns their names.
    std::vector<std::string> prune(duration retention, time_point now);

    const record *find(std::string_view node) const;
    const record_map &records() const { return m_records; }
    /// \returns a digest of all members and versions, equal on nodes that hold the same.
    std::uint64_t digest() const { return m_digest; }
    /// \returns a number that changes whenever ring() or zones() may change.
    std::uint64_t revision() const { return m_revision; }
    /// \returns the names of all zones that have members.
    std::set<std::string> zones() const;
    /// \returns names of \a zone's members that are not dead and have not left, in ring order.
    std::vector<std::string> ring(std::string_view zone) const;

private:
    record_map m_records;
    std::uint64_t m_digest = 0;
    std::uint64_t m_revision = 0;
    bool m_hasSuspects = false; ///< Saves the scan for them on most ticks.
};

/// \returns the position of a node name on the ring.
std::uint64_t ringHash(std::string_view name);

/// \returns true when \a left replaces \a right; the incarnation only breaks ties.
bool isNewer(const entry_version &left, const entry_version &right);

} // namespace tamarackridge
