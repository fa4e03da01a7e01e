#include "load/plot.h"
#include "load/report.h"
#include "load/report_bounds.h"
#include "load/runner.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

DEFINE_string(out, "", "file to which the report is written, as JSON");
DEFINE_string(journals, "", "execution journals of the backend servers, comma-separated");
DEFINE_int32(settle_ms, 500, "milliseconds between the last response and reading the journals");
DEFINE_string(check, "", "file with bounds on the report; the exit code shows whether they hold");
DEFINE_string(baseline, "",
              "customer with whose latency the latency of the other customers is compared");
DEFINE_string(plot, "",
              "SVG file to which the goodput of the reports given as arguments is plotted");

namespace {

using namespace tamarackridge::load;

enum exit_code : int { bounds_held = 0, bounds_failed = 1, invalid_input = 2 };

/// \brief Input that cannot be used; the message gives the reason.
class input_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw input_error("cannot read " + path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

void writeFile(const std::string &path, const std::string &content)
{
    std::ofstream file(path, std::ios::binary);
    file << content;
    if (!file.flush())
        throw input_error("cannot write " + path);
}

/// \brief Reads a file with \a parse and reports all its errors together.
template <typename Parse>
auto parseFile(const std::string &path, Parse parse)
{
    error_list errors;
    auto parsed = parse(readFile(path), errors);
    if (errors.empty())
        return parsed;
    std::string message = path + ":";
    for (const std::string &error : errors)
        message += "\n  " + error;
    throw input_error(message);
}

history_index readJournals(const std::string &list)
{
    history_index index;
    std::istringstream paths(list);
    for (std::string path; std::getline(paths, path, ',');) {
        std::ifstream file(path);
        if (!file)
            throw input_error("cannot read the journal " + path);
        if (const std::size_t unreadable = readJournal(file, index); unreadable > 0)
            std::fprintf(stderr, "%s: %zu unreadable lines\n", path.c_str(), unreadable);
    }
    return index;
}

std::optional<journal_check_result> compareWithJournals(const finished_run &run)
{
    if (FLAGS_journals.empty())
        return std::nullopt;
    std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_settle_ms));
    const std::chrono::nanoseconds start = run.start.time_since_epoch();
    return checkJournals(run.records.requests, readJournals(FLAGS_journals), start.count());
}

int printBoundResults(const std::vector<report_bound> &bounds, const report_json &report)
{
    int code = bounds_held;
    for (const bound_result &result : checkBounds(bounds, report)) {
        std::cout << result.line << "\n";
        if (!result.held)
            code = bounds_failed;
    }
    return code;
}

int runLoad(const std::string &planPath)
{
    const load_plan plan = parseFile(planPath, parsePlan);
    std::vector<report_bound> bounds;
    if (!FLAGS_check.empty())
        bounds = parseFile(FLAGS_check, parseBounds);
    const finished_run run = runPlan(plan);
    report_json report = makeReport(plan, run.records, compareWithJournals(run));
    if (!FLAGS_baseline.empty() && !addLatencyComparison(report, FLAGS_baseline))
        throw input_error("the plan has no customer " + FLAGS_baseline);
    if (!FLAGS_out.empty())
        writeFile(FLAGS_out, report.dump(1) + "\n");
    std::cout << formatTable(report);
    return printBoundResults(bounds, report);
}

int plotReports(int count, char **paths)
{
    std::vector<named_report> results;
    for (int index = 0; index < count; ++index) {
        report_json report = report_json::parse(readFile(paths[index]), nullptr, false);
        if (!report.contains("seconds") || !report.contains("phases"))
            throw input_error(std::string(paths[index]) + ": not a report of this program");
        results.push_back({paths[index], std::move(report)});
    }
    writeFile(FLAGS_plot, plotGoodput(results));
    return bounds_held;
}

int dispatch(int argc, char **argv)
{
    if (!FLAGS_plot.empty() && argc > 1)
        return plotReports(argc - 1, argv + 1);
    if (FLAGS_plot.empty() && argc == 2)
        return runLoad(argv[1]);
    throw input_error("expected a plan, or --plot=FILE and reports; see --help");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetVersionString(TAMARACKRIDGE_VERSION);
    gflags::SetUsageMessage("open-loop load generator\n"
                            "  tamarackridge-load [flags] PLAN.json\n"
                            "  tamarackridge-load --plot=OUT.svg RESULT.json...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return dispatch(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "tamarackridge-load: %s\n", error.what());
        return invalid_input;
    }
}
