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

/// \brief Outcome of one `expect` line.
struct expectation_result
{
    std::size_t line = 0;
    bool held = false;
    std::string text; ///< The line, with the value that was found.
};

/// \brief Runs a scenario in virtual time.
class script_runner
{
public:
    /// \param folder where the files that the scenario names are found.
    script_runner(std::vector<script_line> lines, std::string folder)
        : m_lines(std::move(lines))
        , m_folder(std::move(folder))
    { }

    /// \returns the outcome of each expectation, or the fault that kept the scenario from running.
    tl::expected<std::vector<expectation_result>, script_error> run();

private:
    tl::expected<void, script_error> setUp();
    void schedule(const script_line &line);
    expectation_result check(const script_line &line);
    expectation_result checkGoodput(const script_line &line);
    expectation_result checkRefusals(const script_line &line);
    expectation_result checkSafety(const script_line &line);

    bool runStep(const script_line &line);
    bool load(const script_line &line);
    bool replay(const script_line &line);
    std::optional<caller_group> groupOf(const script_line &line) const;
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
    script_error m_stepError; ///< Line 0: none.
};

} // namespace tamarackridge::scenario
