#include "scenario/script_runner.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace tamarackridge::scenario {
namespace {

// A request waits at most for the deadline of its route (1 s in sample_configuration) between
// admission and execution.
constexpr duration maxWait = std::chrono::milliseconds(1100);

double numberOption(const script_line &line, std::string_view name, double fallback)
{
    const std::optional<std::string> text = line.option(name);
    return text ? parseNumber(*text).value_or(fallback) : fallback;
}

std::size_t secondsOption(const script_line &line, std::string_view name, std::size_t fallback)
{
    const std::optional<std::string> text = line.option(name);
    const std::optional<duration> value = text ? parseDuration(*text) : std::nullopt;
    return value ? static_cast<std::size_t>(*value / std::chrono::seconds(1)) : fallback;
}

std::string toText(const script_line &line)
{
    std::string text = line.verb;
    for (const std::string &word : line.arguments)
        text += " " + word;
    return text;
}

} // namespace

tl::expected<std::vector<expectation_result>, script_error> script_runner::run()
{
    const tl::expected<void, script_error> ready = setUp();
    if (!ready)
        return tl::unexpected(ready.error());
    std::vector<expectation_result> results;
    for (const script_line &line : m_lines) {
        if (line.at) {
            schedule(line);
        } else if (line.verb == "run") {
            const std::optional<duration> length =
                    line.arguments.empty() ? std::nullopt : parseDuration(line.arguments.front());
            if (!length)
                return tl::unexpected(script_error{line.number, "expected 'run TIME'"});
            m_sample->fleet.run(*length);
            if (m_timedLineError.line != 0)
                return tl::unexpected(m_timedLineError);
        } else if (line.verb == "expect") {
            results.push_back(check(line));
        }
    }
    return results;
}

tl::expected<void, script_error> script_runner::setUp()
{
    std::vector<std::string> zones{"a", "b", "c", "d"};
    std::vector<sample_customer> customers;
    for (const script_line &line : m_lines) {
        if (line.verb == "seed" && !line.arguments.empty())
            m_seed = static_cast<std::uint64_t>(parseNumber(line.arguments.front()).value_or(1));
        if (line.verb == "zones")
            zones = line.arguments;
        if (line.verb != "customer")
            continue;
        const double rate = numberOption(line, "rate", 0);
        const double burst = numberOption(line, "burst", rate);
        if (line.arguments.empty() || rate < 1 || burst < 1)
            return tl::unexpected(
                    script_error{line.number, "expected 'customer NAME rate N burst N'"});
        customers.push_back({line.arguments.front(), static_cast<std::uint32_t>(rate),
                             static_cast<std::uint32_t>(burst)});
        m_oracle.setCustomerBound(line.arguments.front(), {rate, burst});
    }
    if (zones.empty() || customers.empty())
        return tl::unexpected(script_error{0, "a scenario needs zones and at least one customer"});
    fleet_options options;
    options.seed = m_seed;
    m_sample = std::make_unique<sample_fleet>(options, customers, zones);
    m_load = std::make_unique<client_load>(*m_sample, m_oracle, m_seed);
    return {};
}

void script_runner::schedule(const script_line &line)
{
    m_sample->fleet.events().at(time_point(*line.at), [this, line] {
        if (!runTimedLine(line) && m_timedLineError.line == 0)
            m_timedLineError = {line.number,
                                "'" + toText(line) + "' has an invalid verb, node, zone or value"};
    });
}

expectation_result script_runner::check(const script_line &line)
{
    const std::string kind = line.arguments.empty() ? std::string() : line.arguments.front();
    if (kind == "safe")
        return checkSafety(line);
    if (kind == "goodput")
        return checkGoodput(line);
    if (kind == "rate-refusals")
        return checkRateRefusals(line);
    return {line.number, false, toText(line) + ": unknown expectation"};
}

expectation_result script_runner::checkSafety(const script_line &line)
{
    const std::vector<std::string> violations =
            m_oracle.violations(m_sample->fleet.executions(), maxWait);
    std::ostringstream text;
    text << toText(line) << ": " << m_oracle.requests() << " requests, " << violations.size()
         << " violations";
    for (std::size_t index = 0; index < std::min<std::size_t>(violations.size(), 5); ++index)
        text << "\n    " << violations[index];
    return {line.number, violations.empty(), text.str()};
}

expectation_result script_runner::checkGoodput(const script_line &line)
{
    const std::string customer = line.arguments.size() > 1 ? line.arguments[1] : std::string();
    const double required = numberOption(line, "at-least", 1.0);
    const double goodput = m_load->goodput(customer, secondsOption(line, "from", 0),
                                           secondsOption(line, "to", SIZE_MAX));
    return {line.number, goodput >= required, toText(line) + ": found " + std::to_string(goodput)};
}

expectation_result script_runner::checkRateRefusals(const script_line &line)
{
    const std::string customer = line.arguments.size() > 1 ? line.arguments[1] : std::string();
    const std::vector<load_second> &seconds = m_load->seconds(customer);
    const std::size_t end = std::min(secondsOption(line, "to", SIZE_MAX), seconds.size());
    double refusals = 0;
    double requests = 0;
    for (std::size_t second = secondsOption(line, "from", 0); second < end; ++second) {
        refusals += static_cast<double>(seconds[second].rateRefusals);
        requests += static_cast<double>(seconds[second].requests);
    }
    const double share = requests == 0 ? 0 : refusals / requests;
    return {line.number, share <= numberOption(line, "at-most", 0),
            toText(line) + ": found " + std::to_string(share)};
}

} // namespace tamarackridge::scenario
