// A request that crashes servers is refused. A write of the store that is executed late must not
// make the processes that start after a kill of all of them forget that.
#include "case_main.h"

#include <csignal>

namespace {

using namespace review;

constexpr std::size_t machines = 12;
constexpr milliseconds lateWrite(5500); ///< The pages allow 1 to 6 s.
constexpr std::chrono::seconds untilKill(8); ///< From the first requests to the kill.
constexpr std::chrono::seconds untilInTouch(6); ///< From the kill until all are in touch again.
constexpr std::size_t allowedRetries = 3;
constexpr std::size_t requiredCrashes = 3;

/// \brief Sends the crashing request at all machines at once.
/// \returns how often a server began to run it.
std::size_t sendEverywhere(deployment &system, const std::string &round, event_record &record)
{
    constexpr milliseconds timeBudget(2000);
    std::vector<std::thread> callers;
    std::atomic<std::size_t> runs = 0;
    for (std::size_t index = 0; index < system.size(); ++index) {
        callers.emplace_back([&, index] {
            const std::string id = "crashing-" + round + '-' + std::to_string(index);
            const steady::time_point deadline = steady::now() + timeBudget + milliseconds(500);
            record.write("caller " + id + " sends GET /slots/crashing to "
                         + system.place(index).name);
            const socket_handle connection = connectTo(system.place(index).outbound);
            http_message response;
            read_end end = read_end::closed;
            if (connection.valid()
                && sendAll(connection.get(),
                           format(requestOf("GET", "/slots/crashing", id, timeBudget)), deadline))
                end = message_reader(connection.get()).read(response, deadline);
            record.write("caller " + id
                         + (end == read_end::complete ? " got " + response.firstLine
                                                      : " got no answer"));
            runs += system.runs(id);
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    record.write("round " + round + ": servers began to run it " + std::to_string(runs) + " times");
    return runs;
}

int play(const deployment_options &given, event_record &record, bool isTroubled)
{
    deployment_options options = given;
    options.machines = machines;
    options.work = milliseconds(50);
    deployment system(options, record, [](const http_message &) { return std::string("done"); });
    if (!system.waitUntilServing())
        return couldNotRun;
    if (isTroubled)
        system.store().loseNextWrite("keyed.crashes", "\"quarantined\":false", lateWrite);
    const steady::time_point begin = steady::now();
    const std::size_t crashes = sendEverywhere(system, "first", record);
    std::this_thread::sleep_until(begin + std::chrono::seconds(4));
    const std::size_t before = sendEverywhere(system, "second", record);
    if (crashes < requiredCrashes || before > 0)
        return couldNotRun;
    std::this_thread::sleep_until(begin + untilKill);
    if (isTroubled && !system.store().hasExecutedLostWrite())
        return couldNotRun;
    record.write("all processes are killed");
    for (std::size_t index = 0; index < system.size(); ++index)
        system.signal(index, SIGKILL);
    std::this_thread::sleep_for(untilInTouch);
    const std::size_t retries = sendEverywhere(system, "third", record);
    record.write("retries that reached servers later than 3 s after the third crash: "
                 + std::to_string(retries));
    return retries > allowedRetries ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
