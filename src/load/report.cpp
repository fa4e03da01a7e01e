#include "load/report.h"

#include "load/group_stats.h"
#include "load/service_received.h"
#include "load/time_series.h"

#include <algorithm>
#include <map>

namespace tamarackridge::load {
namespace {

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Statistics of all requests and of each phase, kind and customer.
struct grouped_stats
{
    explicit grouped_stats(const load_plan &plan)
        : phases(plan.phases.size())
        , kinds(plan.kinds.size())
        , customers(plan.customers.size())
        , lastPhase(plan.customers.size())
    { }

    group_stats total;
    std::vector<group_stats> phases;
    std::vector<group_stats> kinds;
    std::vector<group_stats> customers;
    std::vector<latency_histogram> lastPhase; ///< Latency by customer in the last phase.
    latency_histogram sendLag; ///< From the intended to the actual first send.
    std::map<std::string, std::size_t> failures;
};

std::size_t phaseAt(const load_plan &plan, duration at)
{
    duration end{};
    for (std::size_t phase = 0; phase < plan.phases.size(); ++phase) {
        end += plan.phases[phase].length;
        if (at < end)
            return phase;
    }
    return plan.phases.size() - 1;
}

std::string failureName(const request_record &request)
{
    switch (request.outcome) {
    case request_outcome::mismatched:
        return "mismatched";
    case request_outcome::no_answer:
        return "no_answer";
    case request_outcome::not_sent:
        return "not_sent";
    default:
        return request.error.empty() ? "status_" + std::to_string(request.status) : request.error;
    }
}

grouped_stats groupRequests(const load_plan &plan, const run_records &records)
{
    grouped_stats stats(plan);
    for (const request_record &request : records.requests) {
        stats.total.add(request);
        const std::size_t phase = phaseAt(plan, request.intended);
        stats.phases[phase].add(request);
        stats.kinds[request.kind].add(request);
        stats.customers[request.customer].add(request);
        if (request.outcome != request_outcome::not_sent)
            stats.sendLag.add(request.firstSent - request.intended);
        if (request.outcome != request_outcome::whole)
            ++stats.failures[failureName(request)];
        else if (phase + 1 == plan.phases.size())
            stats.lastPhase[request.customer].add(request.finished - request.intended);
    }
    return stats;
}

void addPhases(result_json &report, const load_plan &plan, const grouped_stats &stats,
               const std::vector<second_counts> &seconds)
{
    for (std::size_t index = 0; index < plan.phases.size(); ++index) {
        const load_phase &phase = plan.phases[index];
        result_json entry = stats.phases[index].toJson(toSeconds(phase.length));
        entry["seconds"] = toSeconds(phase.length);
        entry["surge"] = phase.surge;
        report["phases"][phase.name] = std::move(entry);
    }
    result_json worst = 0;
    for (const surge_recovery &recovery : recoveries(plan, seconds)) {
        const result_json value =
                recovery.seconds ? result_json(*recovery.seconds) : result_json(nullptr);
        report["phases"][plan.phases[recovery.phase].name]["recovery_s"] = value;
        if (!worst.is_null())
            worst = value.is_null() ? value : std::max(worst, value);
    }
    report["worst_recovery_s"] = worst;
}

void addCustomers(result_json &report, const load_plan &plan, const run_records &records,
                  const grouped_stats &stats)
{
    const std::vector<service_received> received = measureService(plan, records);
    std::size_t worst = 0;
    std::size_t wrongful = 0;
    for (std::size_t index = 0; index < plan.customers.size(); ++index) {
        result_json entry = stats.customers[index].toJson(toSeconds(plan.length()));
        entry["last_phase_latency_ms"] = latencyJson(stats.lastPhase[index]);
        entry["inside_rate"] = received[index].insideRate;
        entry["served_ratio"] = received[index].servedRatio();
        entry["wrongful_refusals"] = received[index].wrongfulRefusals;
        report["customers"][plan.customers[index].name] = std::move(entry);
        wrongful += received[index].wrongfulRefusals;
        if (received[index].servedRatio() < received[worst].servedRatio())
            worst = index;
    }
    report["worst_customer"] = {{"name", plan.customers[worst].name},
                                {"served_ratio", received[worst].servedRatio()}};
    report["wrongful_refusals"] = wrongful;
    report["wrongful_refusal_ratio"] =
            static_cast<double>(wrongful)
            / static_cast<double>(std::max<std::size_t>(1, records.sends.size()));
}

void addSeconds(result_json &report, const std::vector<second_counts> &seconds)
{
    report["seconds"] = result_json::array();
    for (const second_counts &counts : seconds)
        report["seconds"].push_back({{"offered", counts.offered},
                                     {"whole", counts.whole},
                                     {"goodput", counts.goodput}});
}

result_json truthJson(const truth_report &truth)
{
    return {{"writes_checked", truth.writesChecked}, {"double_runs", truth.doubleRuns},
            {"lost_writes", truth.lostWrites},       {"false_not_run", truth.falseNotRun},
            {"false_ran", truth.falseRan},           {"ran_but_shed", truth.ranButShed},
            {"unknown_states", truth.unknownStates}, {"examples", truth.examples}};
}

} // namespace

result_json makeReport(const load_plan &plan, const run_records &records,
                       const std::optional<truth_report> &truth)
{
    const grouped_stats stats = groupRequests(plan, records);
    const std::vector<second_counts> seconds = countBySecond(records.requests);
    const double length = toSeconds(plan.length());
    result_json report;
    report["totals"] = stats.total.toJson(length);
    report["totals"]["sends"] = records.sends.size();
    addPhases(report, plan, stats, seconds);
    for (std::size_t kind = 0; kind < plan.kinds.size(); ++kind)
        report["kinds"][plan.kinds[kind].name] = stats.kinds[kind].toJson(length);
    addCustomers(report, plan, records, stats);
    report["failures"] = stats.failures;
    report["send_lag_ms"] = latencyJson(stats.sendLag);
    if (truth)
        report["truth"] = truthJson(*truth);
    addSeconds(report, seconds);
    return report;
}

bool addLatencyComparison(result_json &report, const std::string &baseline)
{
    if (!report["customers"].contains(baseline))
        return false;
    const result_json base = report["customers"][baseline]["last_phase_latency_ms"];
    for (const auto &[name, customer] : report["customers"].items()) {
        result_json row = customer["last_phase_latency_ms"];
        for (const char *quantile : {"p50", "p99", "p99_9"})
            row[std::string("added_") + quantile] =
                    row[quantile].get<double>() - base[quantile].get<double>();
        report["latency_comparison"][name] = std::move(row);
    }
    return true;
}

} // namespace tamarackridge::load
