#pragma once

#include "tamarackridge/src/base/seeded_random.h"

#include "tamarackridge/quota"

#include <memory>
#include <string>
#include <vector>

namespace tamarackridge::fakes {

/// \brief Nodes that read and append to one log without delay, in steps of virtual time.
class tenure_group
{
public:
    /// \brief One incarnation of a node.
    struct member
    {
        member(node_ref who, const tenure_options &options, std::uint64_t seed)
            : self(std::move(who))
            , random(seed)
            , tenure(self, options, random)
        { }
        node_ref self;
        seeded_random random;
        slot_tenure tenure;
        std::size_t nextOffset = 0;
        bool canAppend = true; ///< If false, its appends are lost.
        bool isRunning = true; ///< If false, the node is paused or dead.
    };

    explicit tenure_group(tenure_options options = {})
        : m_options(options)
    { }

    member &add(const std::string &zone, const std::string &name)
    {
        const std::uint64_t incarnation = m_members.size() + 1;
        m_members.push_back(std::make_unique<member>(node_ref{zone, name, incarnation}, m_options,
                                                     incarnation));
        member &added = *m_members.back();
        added.nextOffset = firstReadableOffset;
        added.tenure.setZones(zones, now);
        added.tenure.onReadStarted(static_cast<std::int64_t>(firstReadableOffset));
        return added;
    }

    void setZones(std::vector<quota_zone> next)
    {
        zones = std::move(next);
        for (const std::unique_ptr<member> &each : m_members)
            each->tenure.setZones(zones, now);
    }

    void read(member &reader)
    {
        for (; reader.nextOffset < log.size(); ++reader.nextOffset) {
            reader.tenure.onRecord(static_cast<std::int64_t>(reader.nextOffset), {},
                                   log[reader.nextOffset], now);
        }
        reader.tenure.onCaughtUp(now);
    }

    void append(member &sender, const std::vector<tenure_append> &appends)
    {
        for (const tenure_append &each : appends) {
            if (sender.canAppend)
                log.push_back(each.text);
            sender.tenure.onAppendDone(sender.canAppend);
        }
    }

    void runFor(duration length, duration step = std::chrono::milliseconds(100))
    {
        for (const time_point end = now + length; now < end; now += step) {
            for (const std::unique_ptr<member> &each : m_members) {
                if (!each->isRunning)
                    continue;
                read(*each);
                append(*each, each->tenure.tick(now));
            }
            maxShare = std::max(maxShare, share());
        }
    }

    /// \returns the sum of the shares of the rate that all nodes mint.
    double share() const
    {
        double sum = 0;
        for (const std::unique_ptr<member> &each : m_members) {
            for (const held_slot &slot : each->tenure.held(now))
                sum += 1.0 / slot.slotsInFleet;
        }
        return sum;
    }

    std::size_t held(const member &of) const { return of.tenure.held(now).size(); }

    std::vector<std::string> log;
    std::vector<quota_zone> zones{{"z", 4}};
    std::size_t firstReadableOffset = 0; ///< Earlier records have been removed by retention.
    time_point now = time_point(std::chrono::hours(1));
    double maxShare = 0;

private:
    tenure_options m_options;
    std::vector<std::unique_ptr<member>> m_members;
};

} // namespace tamarackridge::fakes
