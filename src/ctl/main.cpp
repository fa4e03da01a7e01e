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
              "base URLs of nodes, separated by commas; changes then wait up to 10 s until "
              "every zone follows");
DEFINE_int64(base, -2, "version that FILE started from; publishing fails if another is in force");
DEFINE_bool(bootstrap, false,
            "publish: start again when log and nodes have lost the configuration");
DEFINE_bool(json, false, "print JSON");
DEFINE_uint64(limit, 20, "records that 'history' shows; 0 for all");

namespace {

constexpr const char *usage = R"(Operators' tool of tamarackridge.

Usage: tamarackridge-ctl [flags] COMMAND

  check FILE          lists all faults of a configuration file
  diff FILE           shows what publishing FILE would change (+ new, ~ changed, - deleted)
  publish FILE        makes FILE the configuration in force and waits until that is decided.
                      A FILE without keys keeps the keys in force. A FILE with keys replaces them
                      and needs --base. Look at 'diff' first.
  version             prints the version in force (-1: nothing was published)
  history             shows the records of the configuration stream and their outcomes
  status              shows per zone and node the version in force and who was not heard, is
                      behind or cannot confirm that its keys are still valid; needs --nodes
  keys issue CUSTOMER creates a key and prints it once
  keys withdraw ID    withdraws a key; the id is the part of the key before the dot
  drain NODE-URL      lets a node finish its requests and take no new ones

Example:
  tamarackridge-ctl --log=http://127.0.0.1:7200 check examples/fotocasa/config.jsonc
  tamarackridge-ctl --log=http://127.0.0.1:7200 --base=-1 publish examples/fotocasa/config.jsonc
  tamarackridge-ctl --log=http://127.0.0.1:7200 keys issue portal-norte

Exit codes:
  0 success
  1 wrong command, flag or file
  2 the configuration has faults
  3 conflict: another publication came first
  4 the platform log cannot be read, or the outcome of an append is not known
  5 a node or zone was not heard, is behind or unconfirmed
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
    options.limit = FLAGS_limit;
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
        std::cerr << "unexpected fault: " << error.what() << "\n";
        return static_cast<int>(tamarackridge::exit_code::usage);
    }
}
