#include "load/report.h"

#include <cstdio>

namespace tamarackridge::load {
namespace {

template <typename... Values>
std::string formatLine(const char *format, Values... values)
{
    char text[256];
    std::snprintf(text, sizeof text, format, values...);
    return std::string(text) + "\n";
}

std::string groupRow(const std::string &name, const report_json &group)
{
    const report_json &latency = group["latency_ms"];
    return formatLine("%-20.20s %10.1f %10.1f %8.2f %9.2f %9.2f %9.2f", name.c_str(),
                      group["offered_per_s"].get<double>(), group["goodput_per_s"].get<double>(),
                      100.0 * group["whole_ratio"].get<double>(), latency["p50"].get<double>(),
                      latency["p99"].get<double>(), latency["p99_9"].get<double>());
}

std::string groupTable(const char *title, const report_json &groups)
{
    std::string text = formatLine("%-20s %10s %10s %8s %9s %9s %9s", title, "offered/s",
                                  "goodput/s", "whole %", "p50 ms", "p99 ms", "p99.9 ms");
    for (const auto &[name, group] : groups.items())
        text += groupRow(name, group);
    return text;
}

std::string comparisonTable(const report_json &rows)
{
    std::string text = formatLine("%-20s %9s %9s %9s %11s %11s %11s", "latency", "p50 ms", "p99 ms",
                                  "p99.9 ms", "added p50", "added p99", "added p99.9");
    for (const auto &[name, row] : rows.items())
        text += formatLine("%-20.20s %9.3f %9.3f %9.3f %+11.3f %+11.3f %+11.3f", name.c_str(),
                           row["p50"].get<double>(), row["p99"].get<double>(),
                           row["p99_9"].get<double>(), row["added_p50"].get<double>(),
                           row["added_p99"].get<double>(), row["added_p99_9"].get<double>());
    return text;
}

std::string summary(const report_json &report)
{
    std::string text = "worst-served customer  " + report["worst_customer"].dump() + "\n";
    text += "wrongful refusals      " + report["wrongful_refusals"].dump() + "\n";
    text += "worst recovery, s      " + report["worst_recovery_s"].dump() + "\n";
    text += "failures               " + report["failures"].dump() + "\n";
    text += formatLine("send lag p99, ms       %.3f", report["send_lag_ms"]["p99"].get<double>());
    if (report.contains("truth"))
        text += "truth                  " + report["truth"].dump() + "\n";
    return text;
}

} // namespace

std::string formatTable(const report_json &report)
{
    std::string text = groupTable("phase", report["phases"]);
    text += groupRow("total", report["totals"]);
    text += groupTable("customer", report["customers"]);
    text += groupTable("kind", report["kinds"]);
    if (report.contains("latency_comparison"))
        text += comparisonTable(report["latency_comparison"]);
    return text + summary(report);
}

} // namespace tamarackridge::load
