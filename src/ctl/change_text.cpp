#include "ctl/commands.h"
#include "ctl/text_output.h"

#include <nlohmann/json.hpp>

#include <array>

namespace tamarackridge {
namespace {

struct outcome_text
{
    std::string_view name;
    exit_code code;
    std::string_view message;
};

/// Indexed by change_outcome.
constexpr std::array<outcome_text, 8> outcomes = {{
        {"published", exit_code::success, "published"},
        {"unchanged", exit_code::success,
         "unchanged: the version in force already has this content"},
        {"invalid", exit_code::invalid, "the configuration is invalid; nothing was changed"},
        {"conflict", exit_code::conflict,
         "conflict: another publication was applied first; compare with the version in force "
         "('diff') and publish again"},
        {"unavailable", exit_code::log_unavailable, "the platform log is unavailable"},
        {"undecided", exit_code::log_unavailable,
         "the log did not respond; the publication may still take effect: look for its id in "
         "'history'"},
        {"rejected", exit_code::log_unavailable, "the platform log rejected the record"},
        {"trimmed", exit_code::log_unavailable,
         "the version in force cannot be read from the log; if 'status' shows that no node has a "
         "configuration either, use 'publish --bootstrap'"},
}};

bool versionIsKnown(change_outcome outcome)
{
    return outcome != change_outcome::unavailable && outcome != change_outcome::trimmed;
}

void printChange(const change_report &report, std::string_view message, std::ostream &target)
{
    target << message << "\n";
    if (versionIsKnown(report.outcome))
        target << "version in force: " << report.version << "\n";
    if (!report.publicationId.empty())
        target << "publication id: " << report.publicationId << "\n";
    if (!report.detail.empty())
        target << report.detail << "\n";
}

} // namespace

exit_code commands::reportOutcome(const change_report &report)
{
    const outcome_text &text = outcomes[static_cast<std::size_t>(report.outcome)];
    if (!report.errors.empty())
        printErrors(report.errors);
    if (m_options.json) {
        m_out << nlohmann::json{{"outcome", text.name},
                                {"version", report.version},
                                {"publication_id", report.publicationId},
                                {"detail", report.detail}}
                         .dump()
              << "\n";
    } else {
        printChange(report, text.message, text.code == exit_code::success ? m_out : m_errors);
    }
    const bool waitsForFleet =
            report.outcome == change_outcome::published && !m_options.nodes.empty();
    return waitsForFleet ? awaitFleet() : text.code;
}

} // namespace tamarackridge
