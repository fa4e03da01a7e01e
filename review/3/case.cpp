// A server that has left gets requests again after all sidecars were killed at once, since a report
// from before its leaving arrives late.
#include "../standins/standins.h"

#include <algorithm>
#include <csignal>

namespace {

using namespace review;

constexpr double drainSeconds = 2;
constexpr double stabilitySeconds = 3;
constexpr int killAfterAckMilliseconds = 100;
constexpr int downMilliseconds = 600; ///< Until the platform starts a killed process again.
constexpr int reportDelayMilliseconds = 3000;
constexpr int stayMilliseconds = 12'000; ///< The server goes on serving after its leaving.

struct traffic
{
    std::atomic<bool> on{true};
    std::mutex mutex;
    std::map<std::string, client_result> results;
    std::vector<std::thread> threads;
};

void sendFrom(const machine &at, traffic &load, record_file &record)
{
    constexpr milliseconds interval(50);
    while (load.on) {
        client_request request;
        request.method = "POST";
        request.target = "/book/confirm";
        request.key = "key-1";
        request.id = newRequestId(at.name());
        request.deadlineMilliseconds = 6000;
        request.body = "booking";
        const client_result result = sendOnce(at, request, record);
        {
            const std::lock_guard<std::mutex> lock(load.mutex);
            load.results[request.id] = result;
        }
        sleepFor(interval);
    }
}

int play(const std::string &root, record_file &record)
{
    const auto workTime = [](const http_message &) { return milliseconds(60); };
    deployment fleet(root,
                     {{"reservas", "zone-a"},
                      {"reservas", "zone-b"},
                      {"agenda", "zone-a"},
                      {"agenda", "zone-b"}},
                     record, workTime);
    if (!fleet.start(configuration(1, {{"book", "reservas", false}}, {"key-1"})))
        return verdict::notRun;
    sleepFor(milliseconds(4000));
    traffic load;
    for (std::size_t index = 2; index < fleet.size(); ++index)
        load.threads.emplace_back(
                [&fleet, &load, &record, index] { sendFrom(fleet.vm(index), load, record); });
    sleepFor(milliseconds(3000));

    server &leaving = fleet.serverOf(0);
    leaving.endReports();
    const std::string lateReport = leaving.nextReport("ready");
    record.line("server i-0 sends a report (ready) that is delayed on its way");
    const auto arrival = steady::now() + milliseconds(reportDelayMilliseconds);
    sleepFor(milliseconds(200));
    if (!leaving.leave())
        return verdict::notRun;
    const double ackAt = secondsSinceStart();
    double touchFrom = ackAt;
    sleepFor(milliseconds(killAfterAckMilliseconds));
    if (isTroubleOn()) {
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.vm(index).signal(SIGKILL);
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.vm(index).awaitEnd(milliseconds(2000));
        sleepFor(milliseconds(downMilliseconds));
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.vm(index).start();
        touchFrom = secondsSinceStart() + stabilitySeconds;
    }
    std::this_thread::sleep_until(arrival);
    leaving.call(lateReport, "'s delayed report (ready) arrives");
    while (secondsSinceStart() < ackAt + stayMilliseconds / 1000.0)
        sleepFor(milliseconds(50));
    record.line("server i-0 ends");
    leaving.stop();
    sleepFor(milliseconds(1500));
    load.on = false;
    for (std::thread &item : load.threads)
        item.join();

    std::size_t late = 0;
    std::size_t lost = 0;
    for (const run &item : leaving.runs()) {
        const client_result &result = load.results[item.requestId];
        if (item.at <= ackAt + drainSeconds || result.sentAt <= touchFrom)
            continue;
        ++late;
        lost += result.response.status() == 200 ? 0 : 1;
    }
    record.line("requests sent by machines in touch that reached i-0 over "
                + std::to_string(drainSeconds) + " s after the ack of its leaving: "
                + std::to_string(late) + ", of these without a success: " + std::to_string(lost));
    return late > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return review::verdict::notRun;
    std::signal(SIGPIPE, SIG_IGN);
    review::record_file record(argv[2]);
    const int code = play(argv[1], record);
    record.line("exit code " + std::to_string(code));
    return code;
}
