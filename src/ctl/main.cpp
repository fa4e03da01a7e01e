#include "ctl/command_line.h"
#include "ctl/commands.h"
#include "ctl/curl_transport.h"
#include "process/secure_random.h"

#include <gflags/gflags.h>

#include <exception>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(log, "http://127.0.0.1:7200", "base URL of the platform log");
DEFINE_string(nodes, "",
              "comma-separated base URLs of nodes; commands that change the configuration then "
              "wait up to 10 s until every zone has applied the change");
DEFINE_int64(base, -2,
             "version on which FILE is based; publishing fails if another version is in force");
DEFINE_bool(bootstrap, false,
            "publish: start over after both log and nodes have lost the configuration");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_uint64(limit, 20, "number of records that 'history' shows; 0 for all");

namespace {

constexpr const char *usage = R"(Command line tool for operators of tamarackridge.

Usage: tamarackridge-ctl [flags] COMMAND

  check FILE          checks a configuration file and lists all its errors
  diff FILE           shows what publishing FILE would change (+ new, ~ changed, - deleted)
  publish FILE        makes FILE the configuration in force and waits for the outcome.
                      A FILE without keys keeps the keys in force. A FILE with keys replaces them
                      and requires --base. Run 'diff' first.
  version             prints the version in force (-1: nothing has been published)
  history             shows the records of the configuration stream and their outcomes
  status              shows the version in force and, per zone and node, the version and whether
                      it did not respond (not-heard), is behind or cannot confirm that its keys
                      are still valid (unconfirmed); requires --nodes
  keys issue CUSTOMER creates a key and prints it once
  keys withdraw ID    withdraws a key; the id is the part of the key before the dot
  drain NODE-URL      makes a node finish its requests and accept no new ones

Example:
  tamarackridge-ctl --log=http://127.0.0.1:7200 check examples/fotocasa/config.jsonc
  tamarackridge-ctl --log=http://127.0.0.1:7200 --base=-1 publish examples/fotocasa/config.jsonc
  tamarackridge-ctl --log=http://127.0.0.1:7200 keys issue portal-norte

Exit codes:
  0 success
  1 invalid command or flag, or unreadable file
  2 the configuration has errors
  3 conflict: another publication was applied first
  4 the platform log cannot be read, or the outcome of an append is unknown
  5 a node or zone did not respond, is behind or unconfirmed
  6 no such customer or key)";

constexpr std::int64_t noBase = -2;

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

tamarackridge::command_options optionsFromFlags()
{
    tamarackridge::command_options options;
    options.nodes = split(FLAGS_nodes);
    if (FLAGS_base != noBase)
        options.base = FLAGS_base;
    options.bootstrap = FLAGS_bootstrap;
    options.json = FLAGS_json;
    options.historyLimit = FLAGS_limit;
    return options;
}

int runCommand(const std::vector<std::string> &arguments)
{
    tamarackridge::curl_transport transport;
    tamarackridge::platform_log log(transport, FLAGS_log);
    tamarackridge::secure_random random;
    tamarackridge::config_client client(
            log, random, [](tamarackridge::duration pause) { std::this_thread::sleep_for(pause); });
    tamarackridge::commands session(client, transport, random, optionsFromFlags(), std::cout,
                                    std::cerr);
    return static_cast<int>(session.run(arguments));
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runCommand(tamarackridge::parseCommandLine(argc, argv, usage, __FILE__));
    } catch (const std::exception &error) {
        std::cerr << "unexpected error: " << error.what() << "\n";
        return static_cast<int>(tamarackridge::exit_code::usage);
    }
}
