// A server whose queue of new connections is full drains. Connections that are being opened when
// the notice is acknowledged must not carry requests to it after the drain time, when it may exit.
#include "case_main.h"

namespace {

using namespace review;

constexpr std::size_t burst = 40;
constexpr std::size_t leavingServer = 2;
constexpr std::chrono::seconds drainTime(2);
constexpr milliseconds noticeDelay(300); ///< From the burst to the notice.
constexpr milliseconds fullTime(2600); ///< How long the queue of new connections is full.
constexpr milliseconds stay(2850); ///< From the acknowledgement to the exit of the server.

void post(const machine &place, std::size_t number, event_record &record,
          std::atomic<std::size_t> &lost)
{
    constexpr milliseconds timeBudget(6000);
    const std::string id = "booking-" + std::to_string(number);
    const steady::time_point deadline = steady::now() + timeBudget + milliseconds(500);
    record.write("caller " + id + " sends POST /bookings/" + id + " to " + place.name);
    const socket_handle connection = connectTo(place.outbound);
    http_message response;
    read_end end = read_end::closed;
    if (connection.valid()
        && sendAll(connection.get(),
                   format(requestOf("POST", "/bookings/" + id, id, timeBudget, "body of " + id)),
                   deadline))
        end = message_reader(connection.get()).read(response, deadline);
    record.write("caller " + id
                 + (end == read_end::complete ? " got " + response.firstLine : " got no answer"));
    const bool isPromise = response.status() == 503 || response.status() == 429;
    if (response.status() != 200 && !isPromise)
        ++lost;
}

int play(const deployment_options &given, event_record &record, bool isTroubled)
{
    deployment_options options = given;
    options.work = milliseconds(300);
    deployment system(options, record, [](const http_message &) { return std::string("done"); });
    if (!system.waitUntilServing())
        return couldNotRun;
    server_stand_in &server = system.server(leavingServer);
    if (isTroubled)
        server.pauseAccepting();
    const steady::time_point begin = steady::now();
    std::atomic<std::size_t> lost = 0;
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < burst; ++number)
        callers.emplace_back(
                [&, number] { post(system.place(leavingServer), number, record, lost); });
    std::this_thread::sleep_until(begin + noticeDelay);
    const steady::time_point acknowledged = server.leave();
    std::this_thread::sleep_until(begin + fullTime);
    server.resumeAccepting();
    std::this_thread::sleep_until(acknowledged + stay);
    server.crash(); // The planned exit.
    for (std::thread &caller : callers)
        caller.join();
    std::size_t late = 0;
    for (const auto &[id, arrival] : server.arrivals()) {
        if (arrival <= acknowledged + drainTime)
            continue;
        ++late;
        const auto delay = std::chrono::duration_cast<milliseconds>(arrival - acknowledged);
        record.write("request " + id + " arrived at the server " + std::to_string(delay.count())
                     + " ms after the acknowledgement, and ran " + std::to_string(server.runs(id))
                     + " times");
    }
    record.write("requests that arrived after the drain time: " + std::to_string(late));
    record.write("requests that were neither served nor refused: " + std::to_string(lost));
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
