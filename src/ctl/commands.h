#pragma once

#include "ctl/config_client.h"
#include "ctl/exit_code.h"
#include "ctl/fleet_status.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Command line options of tamarackridge-ctl.
struct command_options
{
    std::vector<std::string> nodes; ///< Base URLs of nodes.
    std::optional<std::int64_t> base; ///< Version on which the published file is based.
    bool bootstrap = false;
    bool json = false;
    std::size_t historyLimit = 20; ///< Number of records that `history` prints; 0 prints all.
};

/// \brief The commands of tamarackridge-ctl.
///
/// \code
/// commands session(client, transport, random, options, std::cout, std::cerr);
/// exit_code code = session.run({"check", "config.jsonc"});
/// \endcode
class commands
{
public:
    commands(config_client &client, http_transport &transport, random_source &random,
             command_options options, std::ostream &out, std::ostream &errors);

    exit_code run(const std::vector<std::string> &arguments);

private:
    struct command;
    static const std::vector<command> &table();

    exit_code check(const std::string &file);
    exit_code publish(const std::string &file);
    exit_code diff(const std::string &file);
    exit_code history(const std::string &);
    exit_code status(const std::string &);
    exit_code version(const std::string &);
    exit_code issueKey(const std::string &customer);
    exit_code withdrawKey(const std::string &id);
    exit_code drain(const std::string &url);

    std::optional<config_set> loadFile(const std::string &file, exit_code &failure);
    /// \brief Prints the outcome of a change. If it was published and nodes are given, waits until
    /// the fleet has applied it.
    exit_code reportOutcome(const change_report &report);
    /// \returns whether a node has a newer version than the log, i.e. whether the log lost records.
    bool nodesAheadOfLog(const fleet_report &report);
    /// \brief Polls the nodes until all of them have the published version, or for about 10 s.
    exit_code awaitFleet();
    fleet_report queryFleet(std::optional<std::int64_t> version);
    exit_code fail(exit_code code, const std::string &message);
    void printErrors(const config_errors &errors);

    config_client &m_client;
    http_transport &m_transport;
    random_source &m_random;
    command_options m_options;
    std::ostream &m_out;
    std::ostream &m_errors;
};

} // namespace tamarackridge
