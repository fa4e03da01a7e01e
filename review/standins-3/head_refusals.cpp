// Callers send HEAD requests on connections that they keep. When the system refuses one, its
// response must have no body: whatever follows the head is taken for the next response.
#include "case_main.h"

namespace {

using namespace review;

constexpr int requestsBefore = 20;
constexpr int requestsAfter = 20;

/// \brief A caller with one kept connection, which sends HEAD and GET in turn.
class reading_caller
{
public:
    reading_caller(const machine &place, event_record &record)
        : m_place(place)
        , m_record(record)
    { }

    /// \returns false if bytes came that are no response to this request.
    bool call(const std::string &method, const std::string &key)
    {
        constexpr milliseconds timeBudget(3000);
        if (!m_connection.valid()) {
            m_connection = connectTo(m_place.outbound);
            m_reader = std::make_unique<message_reader>(m_connection.get());
        }
        const std::string id = m_place.name + "-h" + std::to_string(++m_sent);
        http_message request = requestOf(method, "/slots/" + id, id, timeBudget);
        for (auto &[name, value] : request.headers) {
            if (name == "X-Api-Key")
                value = key;
        }
        const steady::time_point deadline = steady::now() + timeBudget;
        http_message response;
        read_end end = read_end::closed;
        if (sendAll(m_connection.get(), format(request), deadline))
            end = m_reader->read(response, deadline, method == "HEAD");
        if (end == read_end::complete && method == "HEAD")
            m_reader->receive(steady::now() + milliseconds(50)); // Nothing should come.
        const bool isResponse =
                end == read_end::complete ? response.status() != 0 : end != read_end::malformed;
        const std::string &rest = m_reader->rest();
        m_record.write("caller " + id + " sent " + method + ", got '" + response.firstLine + "'"
                       + (rest.empty() ? "" : ", then '" + rest + "'"));
        m_served += response.status() == 200 ? 1 : 0;
        if (isResponse && rest.empty()) {
            if (end != read_end::complete || response.header("connection") == "close")
                m_connection.close();
            return true;
        }
        m_connection.close();
        return false;
    }

    int served() const { return m_served; }

private:
    machine m_place;
    event_record &m_record;
    socket_handle m_connection;
    std::unique_ptr<message_reader> m_reader;
    int m_sent = 0;
    int m_served = 0;
};

int play(const deployment_options &given, event_record &record, bool isTroubled)
{
    deployment_options options = given;
    options.work = milliseconds(20);
    deployment system(options, record, [](const http_message &) { return std::string("done"); });
    if (!system.waitUntilServing())
        return couldNotRun;
    int wrong = 0;
    reading_caller caller(system.place(0), record);
    const auto callInTurn = [&](int count, const std::string &key) {
        for (int number = 0; number < count; ++number) {
            wrong += caller.call("HEAD", key) ? 0 : 1;
            wrong += caller.call("GET", deployment::key) ? 0 : 1;
        }
    };
    callInTurn(requestsBefore, deployment::otherKey);
    if (caller.served() < requestsBefore)
        return couldNotRun;
    if (isTroubled) {
        record.write("the operator takes a key away");
        system.revokeOtherKey();
    }
    std::this_thread::sleep_for(std::chrono::seconds(3)); // The time in which it applies is 2 s.
    callInTurn(requestsAfter, deployment::otherKey);
    record.write("responses with bytes that are no response: " + std::to_string(wrong));
    return wrong > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
