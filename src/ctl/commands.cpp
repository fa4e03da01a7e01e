#include "ctl/commands.h"

#include "ctl/text_output.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace tamarackridge {

using json = nlohmann::json;

/// \brief An entry of the command table.
struct commands::command
{
    std::vector<std::string> words;
    bool takesArgument;
    exit_code (commands::*run)(const std::string &argument);
};

const std::vector<commands::command> &commands::table()
{
    static const std::vector<command> rows = {
            {{"check"}, true, &commands::check},
            {{"publish"}, true, &commands::publish},
            {{"diff"}, true, &commands::diff},
            {{"history"}, false, &commands::history},
            {{"status"}, false, &commands::status},
            {{"version"}, false, &commands::version},
            {{"keys", "issue"}, true, &commands::issueKey},
            {{"keys", "withdraw"}, true, &commands::withdrawKey},
            {{"drain"}, true, &commands::drain},
    };
    return rows;
}

commands::commands(config_client &client, http_transport &transport, random_source &random,
                   command_options options, std::ostream &out, std::ostream &errors)
    : m_client(client)
    , m_transport(transport)
    , m_random(random)
    , m_options(std::move(options))
    , m_out(out)
    , m_errors(errors)
{ }

exit_code commands::run(const std::vector<std::string> &arguments)
{
    for (const command &row : table()) {
        const std::size_t words = row.words.size();
        if (arguments.size() == words + (row.takesArgument ? 1 : 0)
            && std::equal(row.words.begin(), row.words.end(), arguments.begin()))
            return (this->*row.run)(row.takesArgument ? arguments.back() : std::string());
    }
    return fail(exit_code::usage, "unknown command or wrong number of arguments; see --help");
}

exit_code commands::fail(exit_code code, const std::string &message)
{
    if (m_options.json)
        m_out << json{{"error", message}}.dump() << "\n";
    else
        m_errors << message << "\n";
    return code;
}

void commands::printErrors(const config_errors &errors)
{
    if (m_options.json) {
        m_out << errorsJson(errors) << "\n";
        return;
    }
    for (const config_error &error : errors)
        m_errors << toString(error) << "\n";
}

std::optional<config_set> commands::loadFile(const std::string &file, exit_code &failure)
{
    std::ifstream input(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(input), {}};
    if (!input.good() && !input.eof()) {
        failure = fail(exit_code::usage, "cannot read '" + file + "'");
        return std::nullopt;
    }
    tl::expected<config_set, config_errors> set = parseConfigSet(text);
    if (set)
        return std::move(*set);
    printErrors(set.error());
    failure = exit_code::invalid;
    return std::nullopt;
}

exit_code commands::check(const std::string &file)
{
    exit_code failure{};
    if (!loadFile(file, failure))
        return failure;
    m_out << (m_options.json ? errorsJson({}) : "the configuration is valid") << "\n";
    return exit_code::success;
}

exit_code commands::publish(const std::string &file)
{
    exit_code failure{};
    const std::optional<config_set> set = loadFile(file, failure);
    if (!set)
        return failure;
    if (!set->objects().keys.empty() && !m_options.base && !m_options.bootstrap)
        return fail(exit_code::usage, "FILE lists keys, so --base is required: an outdated file "
                                      "would restore keys that have been withdrawn since");
    return reportOutcome(m_options.bootstrap ? m_client.bootstrap(*set)
                                             : m_client.publish(*set, m_options.base));
}

exit_code commands::diff(const std::string &file)
{
    exit_code failure{};
    const std::optional<config_set> set = loadFile(file, failure);
    if (!set)
        return failure;
    if (const std::optional<change_report> report = m_client.catchUp())
        return reportOutcome(*report);
    const tl::expected<config_set, config_errors> wanted = m_client.withKeysInForce(*set);
    if (!wanted) {
        printErrors(wanted.error());
        return exit_code::invalid;
    }
    const config_delta delta = difference(m_client.current(), *wanted);
    m_out << (m_options.json ? toJson(delta) + "\n" : deltaLines(delta, m_client.current()));
    return exit_code::success;
}

exit_code commands::history(const std::string &)
{
    const tl::expected<std::vector<history_entry>, std::string> entries = m_client.history();
    if (!entries)
        return fail(exit_code::log_unavailable, "the log cannot be read: " + entries.error());
    const std::size_t shown = m_options.historyLimit == 0
                                      ? entries->size()
                                      : std::min(m_options.historyLimit, entries->size());
    for (std::size_t index = entries->size() - shown; index < entries->size(); ++index)
        m_out << historyText((*entries)[index], m_options.json) << "\n";
    return exit_code::success;
}

exit_code commands::status(const std::string &)
{
    if (m_options.nodes.empty())
        return fail(exit_code::usage, "status needs --nodes=URL,...");
    const std::optional<change_report> failure = m_client.catchUp();
    const fleet_report report =
            queryFleet(failure ? std::nullopt : std::optional(m_client.version()));
    m_out << statusText(report, m_client.current().settings().maxUnconfirmed, m_options.json);
    const bool logBehindNodes = !failure && m_client.version() < report.version;
    if (failure)
        m_errors << "the version in force cannot be read from the log (" << failure->detail
                 << "); showing the highest version reported by a node\n";
    if (logBehindNodes)
        m_errors << "nodes have a newer version than the log, so the log has lost records\n";
    return report.allCurrent() && !failure && !logBehindNodes ? exit_code::success
                                                              : exit_code::fleet_behind;
}

fleet_report commands::queryFleet(std::optional<std::int64_t> version)
{
    return assessFleet(queryNodes(m_transport, m_options.nodes), m_client.current(), version);
}

bool commands::nodesAheadOfLog(const fleet_report &report)
{
    if (report.version <= m_client.version())
        return false;
    // A publication by somebody else in the meantime is in the log; only a version that is still
    // missing from the log after reading it again shows lost records.
    return m_client.catchUp().has_value() || report.version > m_client.version();
}

exit_code commands::awaitFleet()
{
    constexpr int maxPolls = 10; // Nodes are required to apply a new version within 4 s.
    fleet_report report;
    for (int poll = 0; poll < maxPolls; ++poll) {
        report = queryFleet(m_client.version());
        if (report.allCurrent() && !nodesAheadOfLog(report))
            return exit_code::success;
        m_client.pause(std::chrono::seconds(1));
    }
    if (nodesAheadOfLog(report))
        m_errors << "nodes have a newer version than the log, so the log has lost records; the "
                    "nodes keep their version\n";
    m_errors << "published, but not yet in force on all nodes:\n"
             << statusText(report, m_client.current().settings().maxUnconfirmed, false);
    return exit_code::fleet_behind;
}

exit_code commands::version(const std::string &)
{
    if (const std::optional<change_report> failure = m_client.catchUp())
        return reportOutcome(*failure);
    if (m_options.json)
        m_out << json{{"version", m_client.version()}}.dump() << "\n";
    else
        m_out << m_client.version() << "\n";
    return exit_code::success;
}

exit_code commands::issueKey(const std::string &customer)
{
    const issued_key key = tamarackridge::issueKey(customer, m_random);
    bool known = true;
    const change_report report =
            m_client.edit([&](const config_set &set) -> std::optional<config_delta> {
                known = set.findCustomer(customer) != nullptr;
                if (!known)
                    return std::nullopt;
                config_delta delta;
                delta.upserts.keys = {key.entry};
                return delta;
            });
    if (!known)
        return fail(exit_code::not_found, "there is no customer '" + customer + "'");
    if (report.outcome != change_outcome::published) {
        m_errors << "the new key is not shown; withdraw '" << key.entry.name
                 << "' if it appears in the configuration later\n";
        return reportOutcome(report);
    }
    if (m_options.json)
        m_out << json{{"id", key.entry.name}, {"key", key.presented}, {"version", report.version}}
                         .dump()
              << "\n";
    else
        m_out << "key of '" << customer << "', shown only once:\n" << key.presented << "\n";
    return m_options.nodes.empty() ? exit_code::success : awaitFleet();
}

exit_code commands::withdrawKey(const std::string &id)
{
    bool known = true;
    const change_report report =
            m_client.edit([&](const config_set &set) -> std::optional<config_delta> {
                known = set.findKey(id) != nullptr;
                if (!known)
                    return std::nullopt;
                config_delta delta;
                delta.deletes = {{"keys", id}};
                return delta;
            });
    if (!known)
        return fail(exit_code::not_found, "there is no key with the id '" + id + "'");
    return reportOutcome(report);
}

exit_code commands::drain(const std::string &url)
{
    const tl::expected<http_response, std::string> response =
            m_transport.send("POST", url + "/.tamarackridge/drain", "");
    if (!response)
        return fail(exit_code::fleet_behind, "the node did not respond: " + response.error());
    if (response->status < 200 || response->status > 299)
        return fail(exit_code::fleet_behind,
                    "the node responded with status " + std::to_string(response->status));
    m_out << (m_options.json ? R"({"draining":true})" : "the node is draining") << "\n";
    return exit_code::success;
}

} // namespace tamarackridge
