#pragma once

#include "crashing_caller.h"
#include "fakes/platform_store.h"
#include "fault_script.h"
#include "fleet.h"

namespace tamarackridge::soak {

/// \brief One seeded run: processes, callers, servers, the store and faults in one event loop.
class soak_run
{
public:
    /// \param directory for the settings and logs of the sidecars.
    soak_run(std::uint64_t seed, std::size_t vms, const std::filesystem::path &directory)
        : m_seed(seed)
        , m_directory(directory)
        , m_random(seed)
        , m_restores(~seed)
        , m_departures(seed + (std::uint64_t{1} << 32U))
        , m_store(m_loop, deployment::address(0, endpoint::store))
        , m_storeTimer(m_loop)
        , m_checker(vms,
                    [this](std::string_view promise, const std::string &requestId,
                           const std::vector<std::string> &history) {
                        print({{"violation", promise},
                               {"seed", m_seed},
                               {"request", requestId},
                               {"history", history},
                               {"logs", m_directory.string()}});
                    })
        , m_fleet(m_loop, vms, seed, m_checker)
    { }

    /// \brief Prints violations as they are found, and a summary.
    /// \returns whether all promises were kept.
    bool run(const std::string &binary, duration faultTime)
    {
        const fault_script script(m_random, m_restores, m_departures, m_fleet.vms.size(),
                                  deployment::zones, faultTime);
        publish();
        m_fleet.start(binary, m_directory);
        expect("all nodes become ready", startTime,
               [](const fleet::vm_state &vm) { return vm.missedProbes == 0; });
        m_fleet.addCallers(m_random);
        const time_point start = monotonicNow() + seconds(1);
        for (const fault_step &step : script.steps()) {
            wait(start + step.at - monotonicNow());
            m_checker.remark(step.text());
            perform(step);
        }
        checkRecovery();
        stopAll();
        print({{"seed", m_seed},
               {"steps", script.steps().size()},
               {"requests", m_checker.sentCount()},
               {"outcomes", m_checker.outcomes()},
               {"max_crashes_of_a_request", m_checker.maxCrashes()},
               {"violations", m_checker.violations()}});
        return m_checker.violations() == 0;
    }

private:
    static constexpr seconds startTime{15};
    // The users' bounds: a configuration is in force after its time, and requests are served again
    // this long after the machines are back.
    static constexpr seconds configurationTime{2};
    static constexpr seconds stability{3};
    static constexpr seconds recoveryTime{15};
    // Longer than the longest time budget of a request and the delay until it is judged.
    static constexpr seconds settleTime{10};

    static void print(const nlohmann::json &document)
    {
        std::printf("%s\n", document.dump(2).c_str());
        std::fflush(stdout);
    }

    /// \brief Reports a violation unless \a done holds for all VMs in time.
    void expect(std::string_view promise, duration limit,
                const std::function<bool(const fleet::vm_state &)> &done)
    {
        const std::string missing = m_fleet.runUntilAll(monotonicNow() + limit, done);
        if (!missing.empty())
            m_checker.report(promise, "not within its time:" + missing);
    }

    void wait(duration time)
    {
        m_fleet.runUntilAll(monotonicNow() + time, [](const fleet::vm_state &) { return false; });
    }

    void perform(const fault_step &step)
    {
        sidecar_process &process = *m_fleet.vms.at(step.vm).process;
        switch (step.kind) {
        case fault_kind::terminate:
            process.terminate(step.length);
            return;
        case fault_kind::kill:
            process.kill(step.length);
            return;
        case fault_kind::pause:
            process.pause(step.length);
            return;
        case fault_kind::publish:
            publish();
            return;
        case fault_kind::crashing_request:
            m_crashingCallers.push_back(std::make_unique<crashing_caller>(
                    m_fleet.context, m_fleet.vms.size(), m_crashingCallers.size(), step.length));
            return;
        case fault_kind::server_leaves:
            m_fleet.vms.at(step.vm).server->leave(step.length, m_departures);
            return;
        case fault_kind::store_silent:
            m_store.unresponsive = true;
            break;
        case fault_kind::store_rejecting:
            m_store.failureStatus = 503;
            break;
        case fault_kind::store_slow:
            m_store.responseDelay = milliseconds(900);
            break;
        case fault_kind::store_restored:
            m_store.unresponsive = true;
            m_lostWrites = 1 + m_restores.below(8);
            break;
        }
        // A further fault of the store prolongs the one in progress.
        m_storeDisturbed = true;
        m_storeTimer.expires_after(step.length);
        m_storeTimer.async_wait([this](error_code error) {
            if (!error)
                endStoreFault();
        });
    }

    void endStoreFault()
    {
        m_storeDisturbed = false;
        m_store.unresponsive = false;
        m_store.failureStatus = 0;
        m_store.responseDelay = {};
        if (m_lostWrites > 0)
            restoreStore();
        m_store.serveWaiting();
        if (m_publishLater)
            publish();
    }

    /// Nodes and the operator write what the copy lacks again; the first configuration is in it.
    void restoreStore()
    {
        const std::size_t lost = std::min(std::exchange(m_lostWrites, 0), m_store.writes() - 1);
        m_store.restore(m_store.writes() - lost);
        if (m_store.newest("keyed.op", "config") != m_configuration)
            m_store.put("keyed.op", "config", m_configuration);
    }

    void publish()
    {
        // While the store is away, the operator cannot write either, and repeats it later.
        m_publishLater = m_store.unresponsive || m_store.failureStatus != 0;
        if (m_publishLater)
            return;
        m_version += 1 + static_cast<std::int64_t>(m_random.below(3));
        m_configuration = deployment::configuration(m_version, m_fleet.context.routes, m_random);
        m_store.put("keyed.op", "config", m_configuration);
    }

    void checkRecovery()
    {
        // Pauses and outages are shorter than the grace time.
        expect("all processes are back after the faults", graceTime + seconds(2),
               [this](const fleet::vm_state &vm) {
                   return !m_storeDisturbed && vm.process->undisturbed();
               });
        // A route that is added now shows that each node applies the newest configuration in time.
        // The bound holds once the store and the processes have been left alone for a while.
        wait(stability);
        m_fleet.context.routes.push_back({"added", false});
        publish();
        m_fleet.context.routes.pop_back();
        wait(configurationTime);
        m_fleet.context.routes.push_back({"added", false});
        expect("requests are served again after the faults", recoveryTime,
               [](const fleet::vm_state &vm) { return vm.servedRoutes.contains("added"); });
        expect("all nodes are registered in the store", stability,
               [this](const fleet::vm_state &vm) {
                   const std::ptrdiff_t index = &vm - m_fleet.vms.data();
                   return !m_store.newest("keyed.members", "vm-" + std::to_string(index)).empty();
               });
    }

    void stopAll()
    {
        for (fleet::vm_state &vm : m_fleet.vms)
            vm.process->terminate(std::nullopt);
        expect("all processes exit", graceTime + seconds(1),
               [](const fleet::vm_state &vm) { return !vm.process->running(); });
        m_fleet.context.stopped = true;
        expect("all requests end", settleTime,
               [this](const fleet::vm_state &) { return m_checker.settled(); });
    }

    std::uint64_t m_seed;
    std::filesystem::path m_directory;
    seeded_random m_random;
    seeded_random m_restores;
    seeded_random m_departures;
    boost::asio::io_context m_loop{1};
    fakes::platform_store m_store;
    boost::asio::steady_timer m_storeTimer;
    request_checker m_checker;
    fleet m_fleet;
    std::vector<std::unique_ptr<crashing_caller>> m_crashingCallers;
    std::int64_t m_version = 0;
    std::string m_configuration; ///< The newest one that the operator has written.
    std::size_t m_lostWrites = 0; ///< Of the copy from which the store returns.
    bool m_storeDisturbed = false;
    bool m_publishLater = false;
};

} // namespace tamarackridge::soak
