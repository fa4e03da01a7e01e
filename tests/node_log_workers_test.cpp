#include "fakes/raw_server.h"
#include "node/log_workers.h"
#include "process/supervisor.h"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace tamarackridge {
namespace {

using fakes::raw_connection;
using fakes::raw_server;

// Queue of the reports of a worker.
template <class Report>
class reports
{
public:
    void add(Report report)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(std::move(report));
        m_filled.notify_one();
    }
    Report next()
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait(lock, [this] { return m_taken < m_items.size(); });
        return m_items[m_taken++];
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::vector<Report> m_items;
    std::size_t m_taken = 0;
};

child_spec child(std::function<void(child_context &)> run, std::function<void()> wake)
{
    child_spec spec;
    spec.name = "worker";
    spec.run = std::move(run);
    spec.wake = std::move(wake);
    return spec;
}

std::string responseOf(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Responds to reads with the given pages and stores the `from` parameter of each request.
raw_server::script pages(std::vector<std::string> bodies, reports<std::string> &froms)
{
    return [bodies = std::move(bodies), &froms](raw_connection &connection) {
        for (const std::string &body : bodies) {
            const std::string text = connection.readUntil("\r\n\r\n");
            const std::size_t start = text.find("from=") + 5;
            froms.add(text.substr(start, text.find('&') - start));
            connection.write(responseOf(body));
        }
        connection.readAll();
    };
}

// Guards against records that are skipped or delivered twice, including after the log has removed
// old records.
TEST(node_log_workers, reading_continues_after_the_last_record)
{
    reports<std::string> froms;
    reports<std::size_t> received;
    raw_server server({pages({R"({"first":4,"next":4,"records":[]})",
                              R"({"first":4,"next":9,"records":[{"offset":4,"age_ms":0,"data":"a"},
                                 {"offset":6,"age_ms":0,"data":"b"}]})",
                              R"({"first":4,"next":9,"records":[]})"},
                             froms)});
    log_readers readers("http://127.0.0.1:" + std::to_string(server.port()),
                        [&](const std::string &stream, const log_page &page) {
                            EXPECT_EQ(stream, "config");
                            received.add(page.records.size());
                        });
    supervisor threads;
    threads.add(child([&](child_context &context) { readers.run(0, context); },
                      [&] { readers.wake(); }));
    readers.read({"config", 0});
    threads.step(supervisor::clock::now());
    for (const char *const from : {"0", "4", "7"})
        EXPECT_EQ(froms.next(), from);
    for (const std::size_t size : {0U, 2U, 0U})
        EXPECT_EQ(received.next(), size);
    threads.stop();
}

// Guards against an append whose result is never reported: the service that waits for it would not
// continue.
TEST(node_log_workers, reports_every_append_in_order)
{
    raw_server server({[](raw_connection &connection) {
        connection.readUntil("first");
        connection.write(responseOf(R"({"offset":8})"));
    }});
    reports<std::pair<append_id, bool>> done;
    log_appender appender("http://127.0.0.1:" + std::to_string(server.port()),
                          [&](append_id append, tl::expected<std::int64_t, error_kind> offset) {
                              done.add({append, offset.has_value()});
                          });
    supervisor threads;
    threads.add(child([&](child_context &context) { appender.run(context); },
                      [&] { appender.wake(); }));
    appender.append({1, "quota", "first"});
    threads.step(supervisor::clock::now());
    EXPECT_EQ(done.next(), (std::pair<append_id, bool>{1, true}));
    server.stopListening();
    appender.append({2, "quota", "second"});
    EXPECT_EQ(done.next(), (std::pair<append_id, bool>{2, false}));
    threads.stop();
}

} // namespace
} // namespace tamarackridge
