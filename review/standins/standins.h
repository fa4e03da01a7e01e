#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins for the platform's store, backend servers and clients, and the sidecars as processes.
/// Everything runs on loopback addresses and the real clock.
namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// \returns the seconds since the start of this program.
double secondsSinceStart();
void sleepFor(milliseconds time);

struct address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

/// \brief The file record.txt: what was sent, answered and run.
class record_file
{
public:
    explicit record_file(const std::string &path);
    ~record_file();
    record_file(const record_file &) = delete;
    record_file &operator=(const record_file &) = delete;

    void line(const std::string &text);

private:
    std::FILE *m_file;
    std::mutex m_mutex;
};

struct http_message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// \returns the value of the header; empty if it is missing.
    std::string header(std::string_view name) const;
    /// \returns the status of a response; 0 if the start line is none.
    int status() const;
};

enum class read_result : std::uint8_t { complete, closed, timeout, malformed };

/// \brief Reads HTTP/1.1 messages from a socket, and keeps the bytes that follow them.
class http_stream
{
public:
    explicit http_stream(int handle)
        : m_handle(handle)
    { }
    ~http_stream();
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;

    /// \param hasBody false for the response to a HEAD request.
    read_result read(http_message &out, milliseconds timeout, bool hasBody = true);
    /// \brief Reads at most this much per second; 0 means no limit. Set before the first read.
    void limitRate(const std::atomic<std::size_t> &bytesPerSecond) { m_rate = &bytesPerSecond; }
    bool write(std::string_view bytes) const;
    /// \returns true if the other end has closed the connection.
    bool peerClosed() const;
    /// \returns bytes that arrive within \a timeout after the last message.
    std::string extraBytes(milliseconds timeout);
    int handle() const { return m_handle; }

private:
    read_result fill(steady::time_point until);

    int m_handle;
    std::string m_buffer;
    const std::atomic<std::size_t> *m_rate = nullptr;
};

/// \returns a connected stream, or nothing.
std::unique_ptr<http_stream> connectTo(const address &target, milliseconds timeout);
std::string formatMessage(const std::string &startLine,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          const std::string &body, bool withLength = true);

/// \brief Accepts connections, and serves each in a thread of its own.
class tcp_service
{
public:
    tcp_service(const address &where, std::function<void(http_stream &)> serve);
    ~tcp_service();
    tcp_service(const tcp_service &) = delete;
    tcp_service &operator=(const tcp_service &) = delete;

    /// \brief Closes the listener and all connections.
    void stop();

private:
    void accept();

    std::function<void(http_stream &)> m_serve;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// \brief Stand-in for the platform's store with its topics `keyed.*`.
class store
{
public:
    explicit store(const address &where);
    ~store();
    store(const store &) = delete;
    store &operator=(const store &) = delete;

    /// \brief Writes `op/config` as the operator does.
    void putConfiguration(const std::string &document);

private:
    struct topic_log
    {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::size_t> newest;
    };

    void serve(http_stream &stream);
    std::string newestPage(const std::string &topic, const std::string &after);
    std::string read(const std::string &topic, std::size_t from, milliseconds wait);
    std::string append(const std::string &topic, std::string_view records);
    void put(const std::string &topic, const std::string &key, const std::string &value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    std::map<std::string, topic_log> m_topics;
    tcp_service m_service;
};

/// \brief A run of a request at a server.
struct run
{
    std::string requestId;
    std::string method;
    std::string target;
    std::size_t bodyBytes = 0;
    double at = 0; ///< Seconds since the start of this program.
};

struct server_options
{
    std::string service;
    std::string zone;
    std::string instance;
    address where;
    address control; ///< Of the node on the same machine.
    int slots = 100;
    std::function<milliseconds(const http_message &)> workTime;
};

/// \brief Stand-in for a backend server. It runs each request for its work time, ends the run at
/// X-Deadline-Ms and drops it when the connection closes.
class server
{
public:
    server(server_options options, record_file &record);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    /// \brief Sends liveness reports every 1.5 s from now on.
    void beginReports();
    void endReports() { m_reporting = false; }
    /// \returns the call of a report with the next sequence number, for sending it later.
    std::string nextReport(const std::string &state);
    /// \returns true if the node acknowledged the call.
    bool call(const std::string &bytes, const std::string &name);
    /// \brief Sends DELETE until a node acknowledges it. \returns false if none does.
    bool leave();
    /// \brief Reads at most this much per second from each connection from now on.
    void readSlowly(std::size_t bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
    void stop();
    std::vector<run> runs();

private:
    void serve(http_stream &stream);
    bool answer(http_stream &stream, const http_message &request);

    server_options m_options;
    record_file &m_record;
    std::int64_t m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_reporting{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<std::size_t> m_bytesPerSecond{0}; ///< 0 while there is no limit.
    std::mutex m_mutex;
    std::vector<run> m_runs;
    std::thread m_reporter;
    tcp_service m_service;
};

/// \brief A machine with a sidecar, which runs with the command of deploy/system.toml.
class machine
{
public:
    machine(std::string root, std::string folder, std::string name, std::string zone,
            std::string service, std::vector<std::string> zones, const address &store,
            const std::string &ip, record_file &record);
    ~machine();
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;

    void start();
    /// \brief Sends a signal to the sidecar.
    void signal(int number);
    /// \brief Waits for the end of the sidecar. \returns false after \a timeout.
    bool awaitEnd(milliseconds timeout);
    bool isRunning();
    /// \returns true if the sidecar answers GET /api/ready with 200.
    bool isReady() const;
    bool awaitReady(milliseconds timeout) const;
    /// \returns the resident memory of the sidecar in MB; 0 if it does not run.
    double memoryMegabytes() const;

    const std::string &name() const { return m_name; }
    const std::string &zone() const { return m_zone; }
    const std::string &service() const { return m_service; }
    const address &outbound() const { return m_outbound; }
    const address &control() const { return m_control; }
    const address &backend() const { return m_backend; }

private:
    std::string m_root;
    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    std::string m_service;
    std::vector<std::string> m_zones;
    std::string m_ip;
    address m_store;
    address m_outbound;
    address m_ready;
    address m_control;
    address m_backend;
    address m_peers;
    address m_metrics;
    record_file &m_record;
    std::atomic<pid_t> m_process{0};
    std::size_t m_number = 0;
};

/// \returns an address of this run on which nothing listens; \a host is from 1 to 250.
address freeAddress(const std::string &ip);
std::string ipOf(int host);
/// \returns a folder of this run, which is removed at the end.
std::string temporaryFolder();
void removeFolder(const std::string &folder);

/// \brief Request of a client, and what it got.
struct client_request
{
    std::string method = "GET";
    std::string target;
    std::string host = "shop.example";
    std::string key;
    std::string id;
    int deadlineMilliseconds = 5000;
    std::string body;
};

std::string formatRequest(const client_request &request);
/// \returns a request id that was not used before.
std::string newRequestId(std::string_view prefix);

/// \brief Route of a configuration.
struct route
{
    std::string name;
    std::string service;
    bool idempotent = true;
    int timeoutSeconds = 6;
    bool isPublic = false;
};

/// \returns the document of `op/config` with these routes (host shop.example, prefix /NAME/), the
/// tenant `pulo` with \a keys and no limit, and the limits of the example on the users' pages.
std::string configuration(int version, const std::vector<route> &routes,
                          const std::vector<std::string> &keys);

/// \brief A store, machines with their sidecars, and the servers beside them.
class deployment
{
public:
    struct place
    {
        std::string service;
        std::string zone;
    };

    deployment(const std::string &root, const std::vector<place> &places, record_file &record,
               const std::function<milliseconds(const http_message &)> &workTime);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    /// \brief Writes the configuration, starts the sidecars and the reports of the servers.
    /// \returns false if a sidecar does not get ready.
    bool start(const std::string &document);

    /// \brief Ends a server at once; it is back after \a down with another id.
    void crashServer(std::size_t index, milliseconds down);
    store &platformStore() { return m_store; }
    machine &vm(std::size_t index) { return *m_machines[index]; }
    server &serverOf(std::size_t index) { return *m_servers[index]; }
    std::size_t size() const { return m_machines.size(); }

private:
    record_file &m_record;
    std::string m_folder;
    address m_storeAddress;
    store m_store;
    std::vector<std::unique_ptr<machine>> m_machines;
    std::vector<server_options> m_serverOptions;
    std::vector<std::unique_ptr<server>> m_servers;
};

/// \brief What a client got for a request.
struct client_result
{
    read_result end = read_result::closed;
    http_message response;
    double sentAt = 0;
    double endedAt = 0;
};

/// \brief Sends a request on a new connection and waits until its time budget is over.
client_result sendOnce(const machine &at, const client_request &request, record_file &record);

/// \brief Ends the program with a code: 0 the rule held, 1 it was broken, 2 the case could not run.
struct verdict
{
    static constexpr int held = 0;
    static constexpr int broken = 1;
    static constexpr int notRun = 2;
};

/// \returns false if TROUBLE is 0.
bool isTroubleOn();

} // namespace review
