#pragma once

#include "deployment.h"
#include "record.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace review {

/// Size of the answers to requests for documents, in bytes.
inline constexpr std::size_t documentSize = 8'000'000;

/// \brief Which servers ran which requests.
class run_list
{
public:
    void add(const std::string &id, std::size_t server)
    {
        const std::lock_guard lock(m_mutex);
        m_servers[id].insert(server);
    }
    bool contains(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        return m_servers.contains(id);
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::set<std::size_t>> m_servers;
};

/// \brief Stand-in for the application server of a machine.
class server
{
public:
    server(const machine &item, milliseconds work, record &log, run_list &runs)
        : m_machine(item)
        , m_work(work)
        , m_log(log)
        , m_runs(runs)
        , m_born(unixMilliseconds())
    {
        serveForever(item.app(), [this](const tcp_socket &socket) { serve(socket); });
        std::thread([this] { reportForever(); }).detach();
    }

    /// \brief From now on, one answer in \a period has a wrong Content-Length and is broken off;
    /// none with 0.
    void spoilAnswers(unsigned period) { m_spoilPeriod = period; }

    /// \brief Says that the present start leaves. The call arrives \a delay later; the server goes
    /// on serving and reporting meanwhile and afterwards.
    void leave(milliseconds delay)
    {
        std::thread([this, delay, born = m_born.load()] {
            http_message notice;
            notice.startLine = "DELETE /api/instances/" + m_machine.instance() + " HTTP/1.1";
            notice.body = R"({"born":)" + std::to_string(born) + '}';
            notice.headers = {{"Host", "control"},
                              {"Content-Type", "application/json"},
                              {"Content-Length", std::to_string(notice.body.size())}};
            std::this_thread::sleep_for(delay);
            const std::optional<http_message> answer = callOnce(m_machine.control(), notice);
            const std::string status = answer ? std::to_string(answer->status()) : "no answer";
            m_log.write(name() + ": its notice that the start " + std::to_string(born)
                        + " leaves gets " + status);
            if (answer && answer->status() == 200 && born == m_born)
                m_leaveAcknowledged = clock_type::now();
        }).detach();
    }

    void end()
    {
        m_up = false;
        const std::lock_guard lock(m_mutex);
        for (int handle : m_open)
            ::shutdown(handle, SHUT_RDWR);
        m_log.write(name() + " ends");
    }

    /// \brief Starts again under the same id.
    void startAgain()
    {
        m_born = unixMilliseconds();
        m_sequence = 0;
        m_leaveAcknowledged = clock_type::time_point();
        m_up = true;
        m_log.write(name() + " starts again, start " + std::to_string(m_born));
        report();
    }

    /// \returns when the leaving of the present start was acknowledged; the epoch if it was not.
    clock_type::time_point leaveAcknowledged() const { return m_leaveAcknowledged; }

    /// \returns the number of runs that began from \a begin on.
    std::size_t runsSince(clock_type::time_point begin) const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
                std::count_if(m_runTimes.begin(), m_runTimes.end(),
                              [begin](clock_type::time_point run) { return run >= begin; }));
    }

private:
    static std::int64_t unixMilliseconds()
    {
        return std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                .count();
    }

    std::string name() const { return "server " + std::to_string(m_machine.index); }

    void reportForever()
    {
        constexpr milliseconds interval(1500);
        while (true) {
            if (m_up)
                report();
            std::this_thread::sleep_for(interval);
        }
    }

    void report()
    {
        http_message message;
        message.startLine = "PUT /api/instances/" + m_machine.instance() + " HTTP/1.1";
        message.body = R"({"address":")" + m_machine.app().text() + R"(","born":)"
                       + std::to_string(m_born) + R"(,"info":{"service":")" + m_machine.service()
                       + R"(","version":"v1","zone":")" + m_machine.zone()
                       + R"(","slots":130},"status":{"state":"ready","sequence":)"
                       + std::to_string(++m_sequence) + R"(,"coldRemainingS":0}})";
        message.headers = {{"Host", "control"},
                           {"Content-Type", "application/json"},
                           {"Content-Length", std::to_string(message.body.size())}};
        callOnce(m_machine.control(), message);
    }

    void serve(const tcp_socket &socket)
    {
        if (!m_up)
            return;
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket.handle());
        }
        serveRequests(socket);
        const std::lock_guard lock(m_mutex);
        m_open.erase(socket.handle());
    }

    void serveRequests(const tcp_socket &socket)
    {
        http_reader reader(socket);
        http_message request;
        while (reader.read(request, {}) == read_end::complete) {
            if (!answer(socket, request))
                return;
        }
    }

    /// \returns whether the connection is kept.
    bool answer(const tcp_socket &socket, const http_message &request)
    {
        const std::string id = request.header("X-Request-Id");
        if (request.target() == "/health") {
            http_message healthy = response(200, {});
            healthy.headers.emplace_back("X-Instance-Id", m_machine.instance());
            return socket.send(healthy.text());
        }
        const std::string expected = request.header("X-Expected-Instance");
        if (!expected.empty() && expected != m_machine.instance()) {
            http_message misdirected = response(421, {});
            misdirected.headers.emplace_back("X-Not-Executed", "1");
            misdirected.headers.emplace_back("X-Request-Id", id);
            return socket.send(misdirected.text());
        }
        m_runs.add(id, m_machine.index);
        {
            const std::lock_guard lock(m_mutex);
            m_runTimes.push_back(clock_type::now());
        }
        m_log.write(name() + " runs " + id + ' ' + request.method() + ' '
                    + std::to_string(request.body.size()) + " bytes");
        std::this_thread::sleep_for(m_work);
        http_message result = response(200, request.target().ends_with("/document")
                                                    ? std::string(documentSize, 'x')
                                                    : "the body of " + id);
        result.headers.emplace_back("X-Request-Id", id);
        result.headers.emplace_back("X-Response-Seal", "seal-" + id);
        const unsigned period = m_spoilPeriod;
        if (period > 0 && ++m_answers % period == 0)
            return spoil(socket, std::move(result), id);
        if (request.method() == "HEAD")
            result.body.clear();
        return socket.send(result.text());
    }

    bool spoil(const tcp_socket &socket, http_message result, const std::string &id)
    {
        constexpr std::size_t wrongDigits = 18;
        std::string &length = result.headers.front().second;
        while (length.size() < wrongDigits)
            length += length;
        length.resize(wrongDigits);
        result.body.resize(result.body.size() / 2);
        m_log.write(name() + " spoils its answer to " + id + ": Content-Length " + length
                    + ", broken off");
        socket.send(result.text());
        return false;
    }

    machine m_machine;
    milliseconds m_work;
    record &m_log;
    run_list &m_runs;
    std::atomic<std::int64_t> m_born;
    std::atomic<int> m_sequence = 0;
    std::atomic<bool> m_up = true;
    std::atomic<clock_type::time_point> m_leaveAcknowledged{};
    mutable std::mutex m_mutex;
    std::set<int> m_open; ///< Handles of the connections.
    std::vector<clock_type::time_point> m_runTimes;
    std::atomic<unsigned> m_spoilPeriod = 0;
    std::atomic<unsigned> m_answers = 0;
};

} // namespace review
