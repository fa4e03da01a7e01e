#include "load/report.h"

#include "load/group_stats.h"
#include "load/service_level.h"
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
    std::vector<latency_histogram> lastPhase; ///< Latency in the last phase, by customer.
    latency_histogram sendLag; ///< Delay from the intended start to the first send.
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
    case request_outcome::no_response:
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
        const std::size_t phase = phaseAt(plan, request.intendedStart);
        stats.phases[phase].add(request);
        stats.kinds[request.kind].add(request);
        stats.customers[request.customer].add(request);
        if (request.outcome != request_outcome::not_sent)
            stats.sendLag.add(request.firstSent - request.intendedStart);
        if (request.outcome != request_outcome::complete)
            ++stats.failures[failureName(request)];
        else if (phase + 1 == plan.phases.size())
            stats.lastPhase[request.customer].add(request.finished - request.intendedStart);
    }
    return stats;
}

void addPhases(report_json &report, const load_plan &plan, const grouped_stats &stats,
               const std::vector<second_counts> &seconds)
{
    for (std::size_t index = 0; index < plan.phases.size(); ++index) {
        const load_phase &phase = plan.phases[index];
        report_json entry = stats.phases[index].toJson(toSeconds(phase.length));
        entry["seconds"] = toSeconds(phase.length);
        entry["surge"] = phase.surge;
        report["phases"][phase.name] = std::move(entry);
    }
    report_json worst = 0;
    for (const surge_recovery &recovery : recoveries(plan, seconds)) {
        const report_json value =
                recovery.seconds ? report_json(*recovery.seconds) : report_json(nullptr);
        report["phases"][plan.phases[recovery.phase].name]["recovery_s"] = value;
        if (!worst.is_null())
            worst = value.is_null() ? value : std::max(worst, value);
    }
    report["worst_recovery_s"] = worst;
}

void addCustomers(report_json &report, const load_plan &plan, const run_records &records,
                  const grouped_stats &stats)
{
    const std::vector<service_level> received = measureServiceLevels(plan, records);
    std::size_t worst = 0;
    std::size_t wrongful = 0;
    for (std::size_t index = 0; index < plan.customers.size(); ++index) {
        report_json entry = stats.customers[index].toJson(toSeconds(plan.length()));
        entry["last_phase_latency_ms"] = latencyJson(stats.lastPhase[index]);
        entry["inside_rate"] = received[index].withinRate;
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

void addSeconds(report_json &report, const std::vector<second_counts> &seconds)
{
    report["seconds"] = report_json::array();
    for (const second_counts &counts : seconds)
        report["seconds"].push_back({{"offered", counts.offered},
                                     {"whole", counts.complete},
                                     {"goodput", counts.goodput}});
}

report_json journalCheckJson(const journal_check_result &journalCheck)
{
    return {{"writes_checked", journalCheck.writesChecked},
            {"double_runs", journalCheck.duplicateExecutions},
            {"lost_writes", journalCheck.lostWrites},
            {"false_not_run", journalCheck.falseNotRun},
            {"false_ran", journalCheck.falseRan},
            {"ran_but_shed", journalCheck.ranButShed},
            {"unknown_states", journalCheck.unknownStates},
            {"examples", journalCheck.examples}};
}

} // namespace

report_json makeReport(const load_plan &plan, const run_records &records,
                       const std::optional<journal_check_result> &journalCheck)
{
    const grouped_stats stats = groupRequests(plan, records);
    const std::vector<second_counts> seconds = countBySecond(records.requests);
    const double length = toSeconds(plan.length());
    report_json report;
    report["totals"] = stats.total.toJson(length);
    report["totals"]["sends"] = records.sends.size();
    addPhases(report, plan, stats, seconds);
    for (std::size_t kind = 0; kind < plan.kinds.size(); ++kind)
        report["kinds"][plan.kinds[kind].name] = stats.kinds[kind].toJson(length);
    addCustomers(report, plan, records, stats);
    report["failures"] = stats.failures;
    report["send_lag_ms"] = latencyJson(stats.sendLag);
    if (journalCheck)
        report["truth"] = journalCheckJson(*journalCheck);
    addSeconds(report, seconds);
    return report;
}

bool addLatencyComparison(report_json &report, const std::string &baseline)
{
    if (!report["customers"].contains(baseline))
        return false;
    const report_json baseLatency = report["customers"][baseline]["last_phase_latency_ms"];
    for (const auto &[name, customer] : report["customers"].items()) {
        report_json row = customer["last_phase_latency_ms"];
        for (const char *quantile : {"p50", "p99", "p99_9"})
            row[std::string("added_") + quantile] =
                    row[quantile].get<double>() - baseLatency[quantile].get<double>();
        report["latency_comparison"][name] = std::move(row);
    }
    return true;
}

} // namespace tamarackridge::load
