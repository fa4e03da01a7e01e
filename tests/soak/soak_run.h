#pragma once

#include "fakes/platform_store.h"
#include "fault_script.h"
#include "sidecar_process.h"
#include "soak_caller.h"

#include <filesystem>

namespace tamarackridge::soak {

/// \brief What a run needs to know.
struct run_options
{
    std::uint64_t seed = 0;
    duration faultTime{}; ///< During which faults begin.
    std::size_t vms = 0;
    std::string binary; ///< Path of tamarackridge-sidecar.
    std::filesystem::path directory; ///< For settings and logs.
};

/// \brief One seeded run: processes, callers, servers, the store and faults in one event loop.
class soak_run
{
public:
    explicit soak_run(run_options options);

    /// \brief Prints violations as they are found, and a summary.
    /// \returns whether all promises were kept.
    bool run();

private:
    struct vm_state
    {
        std::unique_ptr<sidecar_process> process;
        std::unique_ptr<soak_server> server;
        std::vector<std::unique_ptr<soak_caller>> callers;
        std::shared_ptr<http_connection> probe;
        int missedProbes = 2; ///< In a row; a VM starts without callers.
        bool keepsCallers = false; ///< Its callers stay when it is not ready.
        bool served = false; ///< Since the end of the faults, on the route added then.
    };

    void addVm(std::size_t vm);
    void addCallers(std::size_t vm);
    /// \brief Runs the loop until \a done returns true for all VMs, or the time is over.
    bool runUntilAll(time_point end, const std::function<bool(const vm_state &state)> &done);
    void repeat(boost::asio::steady_timer &timer, duration interval, void (soak_run::*step)());
    void sweep();
    void probe();
    bool maySend(std::size_t vm) const;
    void perform(const fault_step &step);
    void publish();
    void endStoreFault();
    void checkRecovery();
    void stopAll();
    void print(std::string_view promise, const std::string &requestId,
               const std::vector<std::string> &history) const;

    run_options m_options;
    seeded_random m_random;
    boost::asio::io_context m_loop{1};
    boost::asio::steady_timer m_sweepTimer{m_loop};
    boost::asio::steady_timer m_probeTimer{m_loop};
    fakes::platform_store m_store;
    request_checker m_checker;
    caller_context m_context;
    std::vector<vm_state> m_vms;
    std::int64_t m_version = 0;
    std::optional<time_point> m_storeFaultEnd;
    bool m_publishLater = false;
};

} // namespace tamarackridge::soak
