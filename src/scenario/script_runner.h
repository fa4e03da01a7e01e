#pragma once

#include "scenario/client_load.h"
#include "scenario/oracle.h"
#include "scenario/script.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace tamarackridge::scenario {

/// \brief Result of one `expect` line.
struct expectation_result
{
    std::size_t line = 0;
    bool held = false;
    std::string text; ///< The line, followed by the measured value.
};

/// \brief Runs a scenario in virtual time.
class script_runner
{
public:
    /// \param folder contains the files that the scenario refers to.
    script_runner(std::vector<script_line> lines, std::string folder)
        : m_lines(std::move(lines))
        , m_folder(std::move(folder))
    { }

    /// \returns the result of each expectation, or the error that kept the scenario from running.
    tl::expected<std::vector<expectation_result>, script_error> run();

private:
    /// \brief Reads the seed, zones and customers from all lines and creates the fleet.
    tl::expected<void, script_error> setUp();
    void schedule(const script_line &line);
    expectation_result check(const script_line &line);
    expectation_result checkGoodput(const script_line &line);
    expectation_result checkRateRefusals(const script_line &line);
    expectation_result checkSafety(const script_line &line);

    /// \brief Carries out an `at` line; the functions below do so for single verbs.
    /// \returns false if the verb, or one of its arguments, is invalid.
    bool runTimedLine(const script_line &line);
    bool load(const script_line &line);
    bool replay(const script_line &line);
    /// \returns the callers that a `load` or `replay` line describes, or nothing if it names no
    /// customer of the scenario.
    std::optional<caller_group> callerGroup(const script_line &line) const;
    bool log(const script_line &line);
    bool slow(const script_line &line);
    bool isNode(const std::string &name) const;
    bool isZone(const std::string &name) const;

    std::vector<script_line> m_lines;
    std::string m_folder;
    std::unique_ptr<sample_fleet> m_sample;
    std::unique_ptr<client_load> m_load;
    oracle m_oracle;
    std::uint64_t m_seed = 1;
    script_error m_timedLineError; ///< The first one; line 0 if there was none.
};

} // namespace tamarackridge::scenario
