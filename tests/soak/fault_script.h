#pragma once

#include "deployment.h"

#include <algorithm>
#include <array>

namespace tamarackridge::soak {

/// \brief What a step of the fault script does.
enum class fault_kind : std::uint8_t {
    terminate, ///< SIGTERM, SIGKILL after the grace time, restart after the exit.
    kill, ///< SIGKILL and restart.
    pause, ///< SIGSTOP and SIGCONT.
    publish, ///< The operator writes a new configuration.
    store_silent, ///< The store accepts requests and does not respond.
    store_rejecting, ///< The store responds with 503.
    store_slow,
    crashing_request, ///< Callers of all VMs send a request that crashes the servers that run it.
    store_restored, ///< The store is silent and returns from a copy that lacks its last writes.
    server_leaves, ///< A server says that it leaves; a report from before arrives later.
};

/// \brief One step of a fault script.
struct fault_step
{
    duration at{}; ///< From the start of the faults.
    fault_kind kind = fault_kind::terminate;
    std::size_t vm = 0; ///< Unused for faults of the store.
    duration length{}; ///< Delay until the restart or the exit, or length of the pause or outage.

    std::string text() const
    {
        constexpr std::array<std::string_view, 10> names{
                "SIGTERM",        "SIGKILL",         "pause",      "configuration",
                "store silent",   "store rejecting", "store slow", "crashing request",
                "store restored", "server leaves"};
        return std::string(names.at(static_cast<std::size_t>(kind))) + ", VM " + std::to_string(vm)
               + ", " + std::to_string(length / milliseconds(1)) + " ms";
    }
};

/// \brief Draws the faults of a run: groups that begin at random moments and overlap.
///
/// VM n is in zone n modulo the number of zones.
class fault_script
{
public:
    /// \param restores draws the restores of the store and the requests that crash servers, so that
    /// they change no other draw of a seed.
    /// \param departures draws the servers that leave, and kills of all processes beside them.
    fault_script(random_source &random, random_source &restores, random_source &departures,
                 std::size_t vms, std::size_t zones, duration length)
        : m_random(random)
        , m_vms(vms)
        , m_zones(zones)
    {
        using draw = void (fault_script::*)(duration at);
        constexpr std::array<std::pair<std::size_t, draw>, 6> groups{
                {{4, &fault_script::terminateInSeries},
                 {3, &fault_script::terminateMostOfZone},
                 {3, &fault_script::kill},
                 {2, &fault_script::pause},
                 {1, &fault_script::restartAll},
                 {2, &fault_script::disturbStore}}};
        std::vector<draw> choices;
        for (const auto &[weight, group] : groups)
            choices.insert(choices.end(), weight, group);
        for (duration at{}; at < length; at += between(300, 3000))
            (this->*choices[m_random.below(choices.size())])(at);
        for (duration at = between(0, 1000); at < length; at += between(500, 3000))
            add(at, fault_kind::publish, 0, {});
        constexpr milliseconds minRestoreInterval(3000);
        constexpr milliseconds maxRestoreInterval(20'000);
        for (duration at = drawDuration(milliseconds(0), maxRestoreInterval, restores); at < length;
             at += drawDuration(minRestoreInterval, maxRestoreInterval, restores))
            add(at, fault_kind::store_restored, 0,
                drawDuration(milliseconds(500), milliseconds(2500), restores));
        for (duration at = drawDuration(milliseconds(0), milliseconds(5000), restores); at < length;
             at += drawDuration(milliseconds(8000), milliseconds(20'000), restores))
            add(at, fault_kind::crashing_request, 0,
                drawDuration(milliseconds(6000), milliseconds(14'000), restores));
        for (duration at = drawDuration(milliseconds(0), milliseconds(4000), departures);
             at < length; at += drawDuration(milliseconds(4000), milliseconds(10'000), departures))
            leave(at, departures);
        std::sort(
                m_steps.begin(), m_steps.end(),
                [](const fault_step &left, const fault_step &right) { return left.at < right.at; });
    }

    const std::vector<fault_step> &steps() const { return m_steps; }

private:
    duration between(std::int64_t least, std::int64_t most)
    {
        return drawDuration(milliseconds(least), milliseconds(most), m_random);
    }
    duration restartDelay() { return between(100, 1500); }
    void add(duration at, fault_kind kind, std::size_t vm, duration length)
    {
        m_steps.push_back({at, kind, vm, length});
    }

    void terminateInSeries(duration at)
    {
        std::size_t vm = m_random.below(m_vms);
        for (std::size_t count = 2 + m_random.below(3); count > 0; --count) {
            add(at, fault_kind::terminate, vm, restartDelay());
            vm = (vm + 1) % m_vms;
            at += between(300, 1500);
        }
    }
    void terminateMostOfZone(duration at)
    {
        for (std::size_t vm = m_random.below(m_zones); vm < m_vms; vm += m_zones) {
            const bool spared = m_random.below(5) == 0;
            if (!spared)
                add(at + between(0, 1000), fault_kind::terminate, vm, restartDelay());
        }
    }
    void kill(duration at)
    {
        for (std::size_t count = 1 + m_random.below(2); count > 0; --count)
            add(at, fault_kind::kill, m_random.below(m_vms), restartDelay());
    }
    void pause(duration at)
    {
        add(at, fault_kind::pause, m_random.below(m_vms), between(300, 4000));
    }
    void restartAll(duration at)
    {
        const fault_kind kind = m_random.below(2) == 0 ? fault_kind::terminate : fault_kind::kill;
        for (std::size_t vm = 0; vm < m_vms; ++vm)
            add(at + between(0, 200), kind, vm, restartDelay());
    }
    void disturbStore(duration at)
    {
        constexpr std::array<fault_kind, 3> kinds{
                fault_kind::store_silent, fault_kind::store_rejecting, fault_kind::store_slow};
        add(at, kinds.at(m_random.below(kinds.size())), 0, between(1000, 5000));
    }

    void leave(duration at, random_source &departures)
    {
        add(at, fault_kind::server_leaves, departures.below(m_vms),
            drawDuration(milliseconds(2500), milliseconds(9000), departures));
        const std::uint64_t kills = departures.below(4); // Of all processes; often one, or two.
        for (std::uint64_t count = 1; count < kills; ++count) {
            at += drawDuration(milliseconds(20), milliseconds(800), departures);
            for (std::size_t vm = 0; vm < m_vms; ++vm)
                add(at, fault_kind::kill, vm, milliseconds(400));
        }
    }

    random_source &m_random;
    std::size_t m_vms;
    std::size_t m_zones;
    std::vector<fault_step> m_steps;
};

} // namespace tamarackridge::soak
