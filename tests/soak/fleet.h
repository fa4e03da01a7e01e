#pragma once

#include "sidecar_process.h"
#include "soak_caller.h"

#include <filesystem>
#include <fstream>

namespace tamarackridge::soak {

/// \brief All VMs of a run: their sidecars, backend servers and callers.
///
/// Like the platform, it checks once a second which nodes are ready, and takes a VM's callers away
/// after two missed checks, unless fewer than half of its zone's nodes are ready.
class fleet
{
public:
    struct vm_state
    {
        std::unique_ptr<sidecar_process> process;
        std::unique_ptr<soak_server> server;
        std::vector<std::unique_ptr<soak_caller>> callers;
        std::unique_ptr<connection_pool> health;
        int missedProbes = 2; ///< In a row; a VM starts without callers.
        bool keepsCallers = false; ///< Its callers stay when it is not ready.
        std::set<std::string> servedRoutes;

        bool inUse() const { return missedProbes < 2; }
    };

    fleet(boost::asio::io_context &loop, std::size_t size, std::uint64_t seed,
          request_checker &checker)
        : vms(size)
        , context{loop,
                  checker,
                  seed,
                  {{"read", true}, {"write", false}, {"post", false}},
                  [this](std::size_t vm) { return maySend(vm); },
                  [this](std::size_t vm, const caller_route &route) {
                      vms.at(vm).servedRoutes.insert(route.name);
                  }}
        , m_sweepTimer(loop)
        , m_probeTimer(loop)
    { }

    /// \param directory for the settings and logs of the sidecars.
    void start(const std::string &binary, const std::filesystem::path &directory)
    {
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            const std::string file = directory / ("vm-" + std::to_string(vm));
            std::ofstream(file + ".json") << deployment::settings(vm);
            vms[vm].server =
                    std::make_unique<soak_server>(context.loop, vm, context.seed, context.checker);
            vms[vm].health = std::make_unique<connection_pool>(
                    context.loop, deployment::address(vm, endpoint::health));
            vms[vm].process = std::make_unique<sidecar_process>(vm, binary, file + ".json",
                                                                file + ".log", context.checker);
        }
        repeat(m_sweepTimer, sweepInterval, &fleet::sweep);
        repeat(m_probeTimer, probeInterval, &fleet::probe);
    }

    void addCallers(random_source &random)
    {
        constexpr std::size_t callersPerVm = 8;
        const std::size_t firstKeeping = random.below(vms.size());
        const std::size_t keeping = 2 + random.below(2);
        for (std::size_t count = 0; count < keeping; ++count)
            vms[(firstKeeping + count) % vms.size()].keepsCallers = true;
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            for (std::size_t number = 0; number < callersPerVm; ++number)
                vms[vm].callers.push_back(std::make_unique<soak_caller>(context, vm, number));
        }
    }

    /// \brief Runs the loop until \a done holds for all VMs.
    /// \returns the VMs for which it does not hold when the time is over.
    std::string runUntilAll(time_point end, const std::function<bool(const vm_state &)> &done)
    {
        while (true) {
            std::string missing;
            for (std::size_t vm = 0; vm < vms.size(); ++vm)
                missing += done(vms[vm]) ? "" : " VM " + std::to_string(vm);
            if (missing.empty() || monotonicNow() >= end)
                return missing;
            context.loop.restart();
            context.loop.run_for(sweepInterval);
        }
    }

    std::vector<vm_state> vms;
    caller_context context;

private:
    static constexpr milliseconds sweepInterval{20};
    static constexpr seconds probeInterval{1};

    void repeat(boost::asio::steady_timer &timer, duration interval, void (fleet::*step)())
    {
        (this->*step)();
        timer.expires_after(interval);
        timer.async_wait([this, &timer, interval, step](error_code error) {
            if (!error)
                repeat(timer, interval, step);
        });
    }

    void sweep()
    {
        const time_point now = monotonicNow();
        for (vm_state &state : vms) {
            state.process->sweep(now);
            state.server->sweep(now);
        }
        context.checker.sweep(now);
    }

    void probe()
    {
        const time_point now = monotonicNow();
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            vm_state &state = vms[vm];
            state.health->sweep(now); // Ends the last check, if there was no response.
            const http_request request{"GET", "/api/ready", {{"Host", "health"}}, nullptr};
            state.health->exchange(request, {}, now + probeInterval, connection_reuse::none,
                                   [&state](const exchange_result &result) {
                                       const bool ready = result.response.status == 200;
                                       state.missedProbes = ready ? 0 : state.missedProbes + 1;
                                   });
        }
    }

    bool maySend(std::size_t vm) const
    {
        if (vms[vm].keepsCallers || vms[vm].inUse())
            return true;
        std::size_t used = 0;
        std::size_t total = 0;
        for (std::size_t other = vm % deployment::zones; other < vms.size(); ++total) {
            used += vms[other].inUse() ? 1 : 0;
            other += deployment::zones;
        }
        return 2 * used < total;
    }

    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_probeTimer;
};

} // namespace tamarackridge::soak
