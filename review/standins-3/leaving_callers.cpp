// A request that crashes servers is refused, also if its callers leave before the servers crash.
#include "case_main.h"

namespace {

using namespace review;

constexpr std::size_t machines = 12;
constexpr std::size_t callersPerMachine = 2; ///< Of bookings.
constexpr milliseconds bookingPause(80); ///< Between the bookings of a caller.
constexpr milliseconds crashDelay(600); ///< From the beginning of a run to the crash.
constexpr milliseconds patience(300); ///< After this time, a caller of the request leaves.
constexpr milliseconds timeBudget(2000);
constexpr std::size_t requestsPerRound = 5;
constexpr milliseconds interval(1000); ///< Between the crashing requests of a round.
constexpr std::chrono::seconds betweenRounds(10); ///< From the begin of a round to the next.
constexpr std::size_t rounds = 2;
constexpr std::chrono::seconds stability(3);
constexpr std::size_t allowedRetries = 3;
constexpr std::size_t requiredCrashes = 3;

/// \returns the status of the response, or 0 if there was none within \a limit.
int send(const machine &place, const http_message &request, milliseconds limit)
{
    const steady::time_point deadline = steady::now() + limit;
    const socket_handle connection = connectTo(place.outbound);
    http_message response;
    if (!connection.valid() || !sendAll(connection.get(), format(request), deadline)
        || message_reader(connection.get()).read(response, deadline) != read_end::complete)
        return 0;
    return response.status();
}

/// \brief Callers that book all the time, and stay until they have a response.
class bookings
{
public:
    explicit bookings(const deployment &system, event_record &record)
        : m_record(record)
    {
        for (std::size_t number = 0; number < machines * callersPerMachine; ++number)
            m_callers.emplace_back([this, &place = system.place(number % machines), number] {
                book(place, std::to_string(number));
            });
    }
    bookings(const bookings &) = delete;
    bookings &operator=(const bookings &) = delete;
    ~bookings()
    {
        m_stopped = true;
        for (std::thread &caller : m_callers)
            caller.join();
        m_record.write("bookings: " + std::to_string(m_sent) + " sent, " + std::to_string(m_lost)
                       + " neither served nor refused");
    }

private:
    void book(const machine &place, const std::string &caller)
    {
        for (std::size_t count = 0; !m_stopped; ++count) {
            const std::string id = "booking-" + caller + '-' + std::to_string(count);
            const steady::time_point sentAt = steady::now();
            const int status = send(
                    place, requestOf("POST", "/bookings/" + id, id, timeBudget, "body of " + id),
                    timeBudget + milliseconds(500));
            const auto took = std::chrono::duration_cast<milliseconds>(steady::now() - sentAt);
            std::string line = "caller " + id;
            line.append(" sent POST /bookings/").append(id).append(" to ").append(place.name);
            line.append(", and got ").append(std::to_string(status)).append(" after ");
            m_record.write(line.append(std::to_string(took.count())).append(" ms"));
            ++m_sent;
            constexpr int ok = 200;
            constexpr int tooManyRequests = 429;
            constexpr int serviceUnavailable = 503;
            if (status != ok && status != tooManyRequests && status != serviceUnavailable)
                ++m_lost;
            std::this_thread::sleep_for(bookingPause);
        }
    }

    event_record &m_record;
    std::atomic<bool> m_stopped = false;
    std::atomic<std::size_t> m_sent = 0;
    std::atomic<std::size_t> m_lost = 0;
    std::vector<std::thread> m_callers;
};

/// \brief Sends the crashing request once.
/// \returns how often a server began to run it.
std::size_t sendCrashing(deployment &system, const machine &place, const std::string &id,
                         bool leaves, event_record &record)
{
    record.write("caller " + id + " sends GET /rooms/crashing to " + place.name);
    const int status = send(place, requestOf("GET", "/rooms/crashing", id, timeBudget),
                            leaves ? patience : timeBudget + milliseconds(500));
    record.write("caller " + id + (status == 0 ? " left" : " got " + std::to_string(status)));
    return system.runs(id);
}

int play(const deployment_options &given, event_record &record, bool isTroubled)
{
    deployment_options options = given;
    options.machines = machines;
    options.work = milliseconds(60);
    deployment system(options, record, [](const http_message &) { return std::string("done"); });
    if (!system.waitUntilServing())
        return couldNotRun;
    for (std::size_t index = 0; index < machines; ++index)
        system.server(index).setCrashDelay(crashDelay);
    const bookings others(system, record);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const steady::time_point begin = steady::now();
    std::size_t runs = 0;
    std::size_t retries = 0;
    std::optional<steady::time_point> third;
    for (std::size_t number = 0; number < rounds * requestsPerRound; ++number) {
        const std::size_t round = number / requestsPerRound;
        std::this_thread::sleep_until(begin + round * betweenRounds
                                      + number % requestsPerRound * interval);
        const bool isRetry = third && steady::now() > *third + stability;
        const std::size_t begun =
                sendCrashing(system, system.place(number % machines),
                             "crashing-" + std::to_string(number), isTroubled, record);
        runs += begun;
        if (!third && runs >= requiredCrashes)
            third = steady::now() + crashDelay;
        if (isRetry && begun > 0)
            ++retries;
    }
    record.write("servers began to run it " + std::to_string(runs) + " times");
    record.write("retries that reached servers later than 3 s after the third crash: "
                 + std::to_string(retries));
    return retries > allowedRetries ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
