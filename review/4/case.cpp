// A planned stop breaks off requests at which a server is at work, long before graceS is over.
#include "../standins/standins.h"

#include <csignal>

namespace {

using namespace review;

// Bounds of the deployment tasas-scl-large.
constexpr int graceMilliseconds = 10'000;
constexpr double excusedFromSeconds = 10.0 * 5 / 6; ///< The last sixth of graceS begins.
constexpr int timeBudgetMilliseconds = 10'000;
constexpr int clients = 6;

/// From 5.4 s, the longest work of tariff-lookup, to 7.4 s on a slower server of the same service.
milliseconds workTime(const http_message &request)
{
    const std::string id = request.header("X-Request-Id");
    const int number = std::atoi(id.c_str() + id.rfind('-') + 1);
    return milliseconds(5400 + 400 * ((number - 1) % clients));
}

int play(const std::string &root, record_file &record)
{
    deployment fleet(root,
                     {{"tarifas", "zone-a"},
                      {"tarifas", "zone-b"},
                      {"movimientos", "zone-a"},
                      {"movimientos", "zone-b"}},
                     record, workTime);
    if (!fleet.start(configuration(1, {{"tariff", "tarifas", true, 10}}, {"key-1"})))
        return verdict::notRun;
    sleepFor(milliseconds(5000));

    std::vector<client_result> results(clients);
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int index = 0; index < clients; ++index)
        threads.emplace_back([&fleet, &record, &results, index] {
            client_request request;
            request.target = "/tariff/7";
            request.key = "key-1";
            request.id = newRequestId("lookup");
            request.deadlineMilliseconds = timeBudgetMilliseconds;
            results[static_cast<std::size_t>(index)] = sendOnce(fleet.vm(2), request, record);
        });
    sleepFor(milliseconds(500));
    const double stoppedAt = secondsSinceStart();
    if (isTroubleOn()) {
        fleet.vm(2).signal(SIGTERM);
        const bool ended = fleet.vm(2).awaitEnd(milliseconds(graceMilliseconds));
        record.line("the sidecar took " + std::to_string(secondsSinceStart() - stoppedAt)
                    + " s to end; it had graceS = 10 s");
        if (!ended)
            fleet.vm(2).signal(SIGKILL);
    }
    for (std::thread &item : threads)
        item.join();

    std::size_t cut = 0;
    for (std::size_t index = 0; index < results.size(); ++index) {
        const client_result &result = results[index];
        const bool answered = result.end == read_result::complete
                              && !result.response.header("X-Response-Seal").empty();
        cut += answered || result.endedAt - stoppedAt >= excusedFromSeconds ? 0 : 1;
    }
    record.line("requests that were passed on to a server and ended without its answer before the "
                "last sixth of graceS: "
                + std::to_string(cut));
    return cut > 0 ? verdict::broken : verdict::held;
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
