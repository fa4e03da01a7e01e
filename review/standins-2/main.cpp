// Plays one case of the review: standin CASE FOLDER RECORD TEMPLATE RUN_LINE TROUBLE.
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#include "client.h"
#include "platform.h"
#include "store.h"

#include <cstdio>
#include <functional>
#include <map>

namespace review {
namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

// The tenant of the case on refusals: an allowance of 64 requests per second.
constexpr const char *tenantKey = "key-of-the-tenant";
constexpr const char *tenantEntry =
        R"({"type":"tenants","metadata":{"name":"agency"},"spec":{"apiKeys":["key-of-the-tenant"],)"
        R"("priority":1,"ratePerS":64,"burst":64}},)";

/// \brief The deployment of a run.
struct fleet
{
    fleet(const std::string &folder, const std::string &recordFile,
          const std::string &settingsTemplate, const std::string &runLine, bool hasTrouble,
          const std::string &tenant)
        : trouble(hasTrouble)
        , log(recordFile)
        , store(machine{100}.at(8545), log)
        , sidecars(runLine, folder, log)
    {
        constexpr milliseconds work(300);
        constexpr milliseconds shortWork(30);
        store.put("keyed.op", "config", configuration(tenant));
        for (std::size_t index = 0; index < machineCount; ++index)
            servers.push_back(std::make_unique<server>(
                    machine{index}, index < zoneCount ? shortWork : work, log, runs));
        sidecars.start(readFile(settingsTemplate), store.listenAddress());
    }

    /// \returns whether both services were reached through every machine in time.
    bool waitUntilServing(const std::string &key)
    {
        constexpr int tries = 100;
        constexpr milliseconds pause(150);
        for (std::size_t index = 0; index < machineCount; ++index) {
            kept_client probe(machine{index}, "probe-" + std::to_string(index), log);
            int answered = 0;
            for (int count = 0; count < tries && answered < 2; ++count) {
                const std::string path = answered == 0 ? "/lookup/probe" : "/charge/probe";
                const attempt result = probe.request("GET", path, {}, key);
                if (result.end == read_end::complete && result.answer.status() == 200)
                    ++answered;
                else
                    std::this_thread::sleep_for(pause);
            }
            if (answered < 2)
                return false;
        }
        return true;
    }

    bool trouble;
    record log;
    run_list runs;
    class store store;
    std::vector<std::unique_ptr<server>> servers;
    platform sidecars;
};

/// \brief Clients of machine 0 that send a request that is not idempotent after the other, each on
/// a kept connection. Counts those that were passed on and ended without an answer.
class charging_clients
{
public:
    explicit charging_clients(fleet &deployment)
        : m_fleet(deployment)
    {
        constexpr int clients = 8;
        m_threads.reserve(clients);
        for (int index = 0; index < clients; ++index)
            m_threads.emplace_back([this, index] { send(index); });
    }

    /// \returns how many requests were lost.
    int finish()
    {
        m_stopping = true;
        for (std::thread &item : m_threads)
            item.join();
        return m_lost;
    }

private:
    void send(int index)
    {
        constexpr milliseconds reconnectPause(100);
        kept_client client(machine{0}, "charge-" + std::to_string(index), m_fleet.log);
        while (!m_stopping) {
            const attempt result = client.request("POST", "/charge/invoice", "one invoice");
            if (result.end == read_end::complete)
                continue;
            if (result.wasKept && m_fleet.runs.contains(result.id)) {
                m_fleet.log.write("LOST " + result.id
                                  + ": from a kept connection, passed on to a sound server, the "
                                    "connection is closed without an answer");
                ++m_lost;
            }
            std::this_thread::sleep_for(reconnectPause);
        }
    }

    fleet &m_fleet;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_lost = 0;
};

/// \returns the result under the rule LOST for requests of kept connections: more than three.
int judgeLost(fleet &deployment, int lost)
{
    constexpr int allowed = 3;
    for (std::size_t index = 0; index < machineCount; ++index)
        deployment.log.write("sidecar " + std::to_string(index) + " ended "
                             + std::to_string(deployment.sidecars.ends(index)) + " times");
    deployment.log.write(std::to_string(lost) + " requests lost, " + std::to_string(allowed)
                         + " are allowed");
    return lost > allowed ? broken : held;
}

constexpr milliseconds calmTime(4000);

int playWrongLength(fleet &deployment)
{
    constexpr int lookupClients = 4;
    constexpr unsigned spoilPeriod = 50;
    constexpr milliseconds spoilTime(5000);
    std::atomic<bool> stopping = false;
    std::vector<std::thread> lookups;
    lookups.reserve(lookupClients);
    for (int index = 0; index < lookupClients; ++index) {
        lookups.emplace_back([&deployment, &stopping, index] {
            constexpr milliseconds pause(20);
            kept_client client(machine{0}, "lookup-" + std::to_string(index), deployment.log);
            while (!stopping) {
                client.request("GET", "/lookup/item", {});
                std::this_thread::sleep_for(pause);
            }
        });
    }
    charging_clients charges(deployment);
    std::this_thread::sleep_for(calmTime);
    if (deployment.trouble)
        deployment.servers.front()->spoilAnswers(spoilPeriod);
    std::this_thread::sleep_for(spoilTime);
    deployment.servers.front()->spoilAnswers(0);
    std::this_thread::sleep_for(calmTime);
    stopping = true;
    for (std::thread &item : lookups)
        item.join();
    return judgeLost(deployment, charges.finish());
}

/// \brief Asks for a document, and reads it slowly or at once.
void readDocument(fleet &deployment, int index)
{
    constexpr int receiveBuffer = 65536;
    constexpr std::size_t bytesPerRead = 25600;
    constexpr milliseconds readInterval(100); // 256 KB per second.
    const std::string id = "document-" + std::to_string(index);
    const tcp_socket socket = tcp_socket::connectTo(machine{0}.outbound(), receiveBuffer);
    http_message request;
    request.startLine = "GET /lookup/document HTTP/1.1";
    request.headers = {{"Host", "site.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}};
    deployment.log.write("client sends " + id);
    std::size_t received = 0;
    if (socket.isOpen() && socket.send(request.text())) {
        std::string bytes;
        while (received < documentSize && socket.receive(bytes, bytesPerRead)) {
            received += bytes.size();
            bytes.clear();
            if (deployment.trouble)
                std::this_thread::sleep_for(readInterval);
        }
    }
    deployment.log.write("client has read " + std::to_string(received) + " bytes of " + id);
}

int playSlowReaders(fleet &deployment)
{
    constexpr int readers = 60;
    constexpr milliseconds betweenReaders(100);
    charging_clients charges(deployment);
    std::this_thread::sleep_for(calmTime);
    for (int index = 0; index < readers; ++index) {
        std::thread([&deployment, index] { readDocument(deployment, index); }).detach();
        std::this_thread::sleep_for(betweenReaders);
    }
    std::this_thread::sleep_for(calmTime);
    return judgeLost(deployment, charges.finish());
}

int playRefusedHead(fleet &deployment)
{
    constexpr int clients = 10;
    constexpr milliseconds usualPause(500);
    constexpr milliseconds hotPause(66); // 7.5 times as many requests.
    constexpr milliseconds hotTime(6500);
    std::atomic<bool> stopping = false;
    std::atomic<bool> hot = false;
    std::atomic<int> wrong = 0;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int index = 0; index < clients; ++index) {
        threads.emplace_back([&, index] {
            kept_client client(machine{0}, "head-" + std::to_string(index), deployment.log);
            while (!stopping) {
                const attempt result = client.request("HEAD", "/lookup/item", {}, tenantKey);
                if (result.end == read_end::not_http)
                    ++wrong;
                std::this_thread::sleep_for(hot ? hotPause : usualPause);
            }
        });
    }
    std::this_thread::sleep_for(calmTime);
    hot = deployment.trouble;
    std::this_thread::sleep_for(hotTime);
    hot = false;
    std::this_thread::sleep_for(calmTime);
    stopping = true;
    for (std::thread &item : threads)
        item.join();
    deployment.log.write("MIXED: " + std::to_string(wrong)
                         + " times a client got bytes that are no answer in the protocol");
    return wrong > 0 ? broken : held;
}

/// How word of the departure of a server's first start comes late.
enum class late_word { notice, write };

/// A server leaves, starts again under its id and leaves again; the sidecar beside it is restarted.
/// Word of the first departure comes after that of the second.
int playLateDeparture(fleet &deployment, late_word late)
{
    constexpr std::size_t leaving = 2;
    constexpr int clients = 4;
    constexpr milliseconds noticeDelay(4500);
    constexpr milliseconds writeDelay(5000);
    constexpr milliseconds servesOn(2000); // drainS: as long as without an acknowledgement.
    constexpr milliseconds down(300);
    constexpr milliseconds secondStart(1700);
    constexpr milliseconds untilRestart(1000);
    constexpr milliseconds untilInTouch(8000); // The stop, restart delay and stabilityS.
    constexpr milliseconds observed(5000);
    std::atomic<bool> stopping = false;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int index = 0; index < clients; ++index) {
        threads.emplace_back([&, index] {
            constexpr milliseconds pause(50);
            kept_client client(machine{static_cast<std::size_t>(index) % zoneCount},
                               "charge-" + std::to_string(index), deployment.log);
            while (!stopping) {
                client.request("POST", "/charge/invoice", "one invoice");
                std::this_thread::sleep_for(pause);
            }
        });
    }
    std::this_thread::sleep_for(calmTime);
    server &item = *deployment.servers.at(leaving);
    if (deployment.trouble && late == late_word::write)
        deployment.store.loseNextAppend("keyed.retained", writeDelay);
    const bool isNoticeLate = deployment.trouble && late == late_word::notice;
    item.leave(isNoticeLate ? noticeDelay : milliseconds(0));
    std::this_thread::sleep_for(servesOn);
    item.end();
    std::this_thread::sleep_for(down);
    item.startAgain();
    std::this_thread::sleep_for(secondStart);
    item.leave(milliseconds(0));
    std::this_thread::sleep_for(untilRestart);
    deployment.sidecars.restart(leaving);
    std::this_thread::sleep_for(untilInTouch);
    const clock_type::time_point inTouch = clock_type::now();
    std::this_thread::sleep_for(observed);
    stopping = true;
    for (std::thread &thread : threads)
        thread.join();
    if (item.leaveAcknowledged() == clock_type::time_point()) {
        deployment.log.write("the leaving of the second start was not acknowledged");
        return notRun;
    }
    const std::size_t lateRuns =
            item.runsSince(std::max(inTouch, item.leaveAcknowledged() + servesOn));
    deployment.log.write("DRAIN: " + std::to_string(lateRuns) + " requests reached server "
                         + std::to_string(leaving)
                         + " later than drainS after the acknowledgement that it leaves");
    return lateRuns > 0 ? broken : held;
}

int play(int argc, char **argv)
{
    const std::map<std::string, std::pair<std::function<int(fleet &)>, bool>> cases = {
            {"wrong-length", {playWrongLength, false}},
            {"slow-readers", {playSlowReaders, false}},
            {"refused-head", {playRefusedHead, true}},
            {"late-notice",
             {[](fleet &item) { return playLateDeparture(item, late_word::notice); }, false}},
            {"late-write",
             {[](fleet &item) { return playLateDeparture(item, late_word::write); }, false}},
    };
    constexpr int argumentCount = 7;
    const auto found = argc == argumentCount ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        static_cast<void>(std::fprintf(
                stderr, "usage: standin CASE FOLDER RECORD TEMPLATE RUN_LINE TROUBLE\n"));
        return notRun;
    }
    const auto &[run, hasTenant] = found->second;
    // Never destroyed, since threads that serve connections run until the process ends.
    static const std::unique_ptr<fleet> deployment =
            std::make_unique<fleet>(argv[2], argv[3], argv[4], argv[5], argv[6] != std::string("0"),
                                    hasTenant ? tenantEntry : "");
    int result = notRun;
    if (deployment->waitUntilServing(hasTenant ? tenantKey : ""))
        result = run(*deployment);
    else
        deployment->log.write("the deployment does not serve");
    deployment->sidecars.stop();
    return result;
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    int result = review::notRun;
    try {
        result = review::play(argc, argv);
    } catch (const std::exception &error) {
        static_cast<void>(std::fprintf(stderr, "standin: %s\n", error.what()));
    }
    _exit(result);
}
