#include "soak_run.h"

#include "deployment.h"
#include "process/json_line.h"

#include <cstdio>
#include <fstream>

namespace tamarackridge::soak {
namespace {

using deployment::endpoint;

constexpr milliseconds sweepInterval(20);
constexpr seconds probeInterval(1);
constexpr int missedProbesUntilOut = 2;
constexpr seconds startTimeout(15);
// The users' rules: requests are served again this long after the machines are back.
constexpr seconds recoveryTime(15);
// Longer than the longest time budget of a request and the delay until it is judged.
constexpr seconds settleTime(10);

} // namespace

soak_run::soak_run(run_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_store(m_loop, deployment::address(0, endpoint::store))
    , m_checker(m_options.vms,
                [this](std::string_view promise, const std::string &requestId,
                       const std::vector<std::string> &history) {
                    print(promise, requestId, history);
                })
    , m_context{m_loop,
                m_checker,
                {{"read", true}, {"write", false}, {"post", false}},
                [this](std::size_t vm) { return maySend(vm); },
                [this](std::size_t vm, const caller_route &route) {
                    m_vms.at(vm).served = m_vms.at(vm).served || route.name == "added";
                }}
    , m_vms(m_options.vms)
{ }

void soak_run::addVm(std::size_t vm)
{
    vm_state &state = m_vms.at(vm);
    const std::filesystem::path file = m_options.directory / ("vm-" + std::to_string(vm) + ".json");
    std::ofstream(file) << deployment::settings(vm);
    server_options server;
    server.vm = vm;
    server.zone = deployment::zoneOf(vm);
    server.service = deployment::serviceOf(vm);
    server.address = deployment::address(vm, endpoint::backend);
    server.control = deployment::address(vm, endpoint::control);
    server.seed = m_options.seed;
    state.server = std::make_unique<soak_server>(m_loop, server, m_checker);
    state.process = std::make_unique<sidecar_process>(
            vm, m_options.binary, file, std::filesystem::path(file).replace_extension("log"),
            m_checker);
}

void soak_run::addCallers(std::size_t vm)
{
    constexpr std::size_t callersPerVm = 8;
    for (std::size_t number = 0; number < callersPerVm; ++number) {
        caller_options options;
        options.name = "s" + std::to_string(m_options.seed) + "-vm" + std::to_string(vm) + "-c"
                       + std::to_string(number);
        options.vm = vm;
        options.target = deployment::address(vm, endpoint::callers);
        options.key = number % 4 == 3 ? "key-limited" : "key-open";
        options.patient = m_random.below(2) == 0;
        options.keepsConnection = m_random.below(3) != 0;
        options.seed = m_random.next();
        m_vms.at(vm).callers.push_back(std::make_unique<soak_caller>(options, m_context));
    }
}

bool soak_run::runUntilAll(time_point end, const std::function<bool(const vm_state &state)> &done)
{
    while (!std::all_of(m_vms.begin(), m_vms.end(), done)) {
        if (monotonicNow() >= end)
            return false;
        m_loop.restart();
        m_loop.run_for(sweepInterval);
    }
    return true;
}

void soak_run::repeat(boost::asio::steady_timer &timer, duration interval, void (soak_run::*step)())
{
    (this->*step)();
    timer.expires_after(interval);
    timer.async_wait([this, &timer, interval, step](error_code error) {
        if (!error)
            repeat(timer, interval, step);
    });
}

void soak_run::sweep()
{
    const time_point now = monotonicNow();
    for (vm_state &state : m_vms) {
        state.process->sweep(now);
        state.server->sweep(now);
    }
    m_checker.sweep(now);
    if (m_storeFaultEnd && now >= *m_storeFaultEnd)
        endStoreFault();
}

void soak_run::probe()
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        vm_state &state = m_vms[vm];
        if (state.probe) { // No response within the interval.
            ++state.missedProbes;
            state.probe->close(exchange_outcome::timeout);
        }
        state.probe = http_connection::create(m_loop, deployment::address(vm, endpoint::health));
        const http_request request{"GET", "/api/ready", {{"Host", "health"}}, nullptr};
        const auto done = [&state, probe = state.probe](const exchange_result &result) {
            if (state.probe != probe)
                return;
            state.probe.reset();
            state.missedProbes = result.response.status == 200 ? 0 : state.missedProbes + 1;
        };
        state.probe->exchange(request, {}, time_point::max(), done);
    }
}

bool soak_run::maySend(std::size_t vm) const
{
    const auto inUse = [](const vm_state &state) {
        return state.missedProbes < missedProbesUntilOut;
    };
    if (m_vms[vm].keepsCallers || inUse(m_vms[vm]))
        return true;
    // Callers stay where they are while fewer than half of their zone's nodes are ready.
    std::size_t used = 0;
    std::size_t total = 0;
    for (std::size_t other = vm % deployment::zones; other < m_vms.size();
         other += deployment::zones, ++total)
        used += inUse(m_vms[other]) ? 1 : 0;
    return 2 * used < total;
}

void soak_run::perform(const fault_step &step)
{
    sidecar_process &process = *m_vms.at(step.vm).process;
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
    case fault_kind::store_silent:
        m_store.unresponsive = true;
        break;
    case fault_kind::store_rejecting:
        m_store.failureStatus = 503;
        break;
    case fault_kind::store_slow:
        m_store.responseDelay = milliseconds(900);
        break;
    }
    m_storeFaultEnd =
            std::max(m_storeFaultEnd.value_or(time_point()), monotonicNow() + step.length);
}

void soak_run::endStoreFault()
{
    m_storeFaultEnd.reset();
    m_store.unresponsive = false;
    m_store.failureStatus = 0;
    m_store.responseDelay = {};
    m_store.serveWaiting();
    if (std::exchange(m_publishLater, false))
        publish();
}

void soak_run::publish()
{
    // While the store is away, the operator cannot write either, and repeats it later.
    m_publishLater = m_store.unresponsive || m_store.failureStatus != 0;
    if (m_publishLater)
        return;
    m_version += 1 + static_cast<std::int64_t>(m_random.below(3));
    m_store.put("keyed.op", "config",
                deployment::configuration(m_version, m_context.routes, m_random));
}

bool soak_run::run()
{
    const fault_script script(m_random, m_vms.size(), deployment::zones, m_options.faultTime);
    publish();
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        addVm(vm);
    for (std::size_t count = 2 + m_random.below(2); count > 0; --count)
        m_vms.at(m_random.below(m_vms.size())).keepsCallers = true;
    repeat(m_sweepTimer, sweepInterval, &soak_run::sweep);
    repeat(m_probeTimer, probeInterval, &soak_run::probe);
    if (!runUntilAll(monotonicNow() + startTimeout,
                     [](const vm_state &state) { return state.missedProbes == 0; }))
        m_checker.report("all nodes become ready", "before the faults");
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        addCallers(vm);
    const time_point start = monotonicNow() + seconds(1);
    for (const fault_step &step : script.steps()) {
        runUntilAll(start + step.at, [](const vm_state &) { return false; });
        m_checker.remark(step.text());
        perform(step);
    }
    checkRecovery();
    stopAll();
    const request_counts &counts = m_checker.counts;
    std::printf("%s\n", json_line()
                                .add("seed", m_options.seed)
                                .add("steps", script.steps().size())
                                .add("requests", counts.sent)
                                .add("served", counts.served)
                                .add("refused", counts.refused)
                                .add("failed", counts.failed)
                                .add("unanswered", counts.unanswered)
                                .add("violations", counts.violations)
                                .finish()
                                .c_str());
    std::fflush(stdout);
    return counts.violations == 0;
}

void soak_run::checkRecovery()
{
    // Pauses and outages are shorter than the grace time.
    runUntilAll(monotonicNow() + graceTime + seconds(2), [this](const vm_state &state) {
        return !m_storeFaultEnd && state.process->undisturbed();
    });
    // A route that is added now shows that each node has the newest configuration.
    m_context.routes.push_back({"added", false});
    publish();
    runUntilAll(monotonicNow() + recoveryTime, [](const vm_state &state) { return state.served; });
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (!m_vms[vm].served)
            m_checker.report("requests are served again after the faults",
                             "VM " + std::to_string(vm));
    }
}

void soak_run::stopAll()
{
    for (vm_state &state : m_vms) {
        state.process->retire();
        state.process->terminate({});
    }
    runUntilAll(monotonicNow() + graceTime + seconds(1),
                [](const vm_state &state) { return !state.process->running(); });
    m_context.stopped = true;
    runUntilAll(monotonicNow() + settleTime,
                [this](const vm_state &) { return m_checker.settled(); });
}

void soak_run::print(std::string_view promise, const std::string &requestId,
                     const std::vector<std::string> &history) const
{
    const nlohmann::json line = {{"violation", promise},
                                 {"seed", m_options.seed},
                                 {"request", requestId},
                                 {"history", history},
                                 {"logs", m_options.directory.string()}};
    std::printf("%s\n", line.dump(2).c_str());
    std::fflush(stdout);
}

} // namespace tamarackridge::soak
