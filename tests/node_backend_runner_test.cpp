#include "fakes/raw_server.h"
#include "node/backend_runner.h"
#include "process/supervisor.h"

#include <gtest/gtest.h>

#include <future>
#include <optional>

namespace tamarackridge {
namespace {

using fakes::raw_connection;
using fakes::raw_server;

struct report
{
    bool crashed = false;
    std::vector<finished_run> runs;
};

class node_backend_runner : public testing::Test
{
protected:
    node_backend_runner()
        : m_runner({}, [this](bool crashed, std::vector<finished_run> runs) {
            const std::lock_guard lock(m_mutex);
            m_reports.push_back({crashed, std::move(runs)});
            m_filled.notify_one();
        })
    {
        add(
                "client", [this](child_context &context) { m_runner.runClient(context); },
                [this] { m_runner.wakeClient(); });
        add(
                "prober", [this](child_context &context) { m_runner.runProber(context); },
                [this] { m_runner.wakeProber(); });
        m_threads.step(supervisor::clock::now());
    }
    ~node_backend_runner() override { m_threads.stop(); }

    void add(const char *name, std::function<void(child_context &)> run, std::function<void()> wake)
    {
        child_spec spec;
        spec.name = name;
        spec.run = std::move(run);
        spec.wake = std::move(wake);
        m_threads.add(std::move(spec));
    }
    void run(run_id id) { m_runner.run({id, {"GET", "/", {}, nullptr}, std::chrono::seconds(30)}); }
    report next()
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait(lock, [this] { return !m_reports.empty(); });
        report first = std::move(m_reports.front());
        m_reports.erase(m_reports.begin());
        return first;
    }

    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::vector<report> m_reports;
    backend_runner m_runner;
    supervisor m_threads;
};

// Guards against a run that waits for its timeout although no backend server has been announced.
TEST_F(node_backend_runner, runs_without_a_server_fail_immediately)
{
    run(7);
    const report result = next();
    ASSERT_EQ(result.runs.size(), 1U);
    EXPECT_EQ(result.runs[0].run, 7U);
    EXPECT_FALSE(result.runs[0].result.bytesSent);
    EXPECT_EQ(result.runs[0].result.response.error(), error_kind::backend_failed);
}

// Guards against a crash that is reported after the runs that it interrupted, or not at all.
TEST_F(node_backend_runner, a_crash_is_reported_with_the_interrupted_runs)
{
    std::optional<raw_server> server;
    server.emplace(std::vector<raw_server::script>{[&](raw_connection &connection) {
        connection.readUntil("\r\n\r\n");
        server->stopListening();
    }});
    m_runner.setTarget({"127.0.0.1", server->port()});
    run(1);
    const report result = next();
    EXPECT_TRUE(result.crashed);
    ASSERT_EQ(result.runs.size(), 1U);
    EXPECT_TRUE(result.runs[0].result.bytesSent);
    EXPECT_TRUE(result.runs[0].result.connectionBroken);
}

// Guards against a broken connection being reported as a crash while the server still accepts
// connections.
TEST_F(node_backend_runner, a_single_broken_connection_is_not_a_crash)
{
    raw_server server({[](raw_connection &connection) { connection.readUntil("\r\n\r\n"); }});
    m_runner.setTarget({"127.0.0.1", server.port()});
    run(1);
    const report result = next();
    EXPECT_FALSE(result.crashed);
    EXPECT_TRUE(result.runs.at(0).result.connectionBroken);
}

// Guards against the end of an earlier backend instance being reported as a crash of the current
// one: a connection to the earlier address breaks after the current address was set.
TEST_F(node_backend_runner, a_refused_earlier_address_is_not_a_crash_of_the_current_server)
{
    std::promise<void> replaced;
    std::optional<raw_server> earlier;
    earlier.emplace(std::vector<raw_server::script>{[&](raw_connection &connection) {
        connection.readUntil("\r\n\r\n");
        replaced.get_future().wait();
        earlier->stopListening();
    }});
    raw_server present({[&](raw_connection &connection) {
        connection.readUntil("\r\n\r\n");
        connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    }});
    m_runner.setTarget({"127.0.0.1", earlier->port()});
    run(1);
    m_runner.setTarget({"127.0.0.1", present.port()});
    replaced.set_value();
    EXPECT_FALSE(next().crashed);
    run(2);
    EXPECT_TRUE(next().runs.at(0).result.response.has_value());
}

} // namespace
} // namespace tamarackridge
