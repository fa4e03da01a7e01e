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

/// \brief Whether a member is considered reachable.
enum class liveness : std::uint8_t { alive, suspect, dead };

/// \brief All nodes known to this node, with their versions and liveness.
class directory
{
public:
    struct record
    {
        member info;
        liveness health = liveness::alive;
        time_point since; ///< Start of the current liveness.
    };
    using record_map = std::map<std::string, record, std::less<>>;

    /// \brief Adds or updates a member.
    ///
    /// The higher counter wins regardless of the incarnation: a restarted node raises its counter
    /// above every entry that it receives under its own name, so incarnations need not be ordered.
    /// \returns true if the directory changed.
    bool merge(const member &update, time_point now);
    /// \brief Sets a member to suspect.
    /// \returns true if the member was alive in \a version and is now suspect.
    bool suspect(std::string_view node, const entry_version &version, time_point now);
    /// \brief Sets every member that has been suspect for \a timeout to dead.
    /// \returns their names.
    std::vector<std::string> expireSuspects(duration timeout, time_point now);
    /// \brief Removes members that died or left at least \a retention ago.
    /// \returns their names.
    std::vector<std::string> prune(duration retention, time_point now);

    const record *find(std::string_view node) const;
    const record_map &records() const { return m_records; }
    /// \returns a digest of all members and their versions. Nodes with the same entries have the
    /// same digest.
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
    bool m_hasSuspects = false; ///< Avoids a scan for suspects on most ticks.
};

/// \returns the position of the node called \a name on the ring.
std::uint64_t ringHash(std::string_view name);

/// \returns true if \a left replaces \a right. The incarnation only breaks ties.
bool isNewer(const entry_version &left, const entry_version &right);

} // namespace tamarackridge
