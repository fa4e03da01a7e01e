#include "standins.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const steady::time_point programStart = steady::now();
constexpr int recordLengthBytes = 4;

// The sidecars of this program, which end with it also when it is ended by a signal.
constexpr std::size_t maxSidecars = 64;
std::array<std::atomic<pid_t>, maxSidecars> sidecars;

void endWithSidecars(int)
{
    for (const std::atomic<pid_t> &process : sidecars) {
        if (process > 0)
            kill(process, SIGKILL);
    }
    std::_Exit(verdict::notRun);
}

int remainingMilliseconds(steady::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
    return left < 0 ? 0 : static_cast<int>(left);
}

sockaddr_in socketAddress(const address &where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
    return result;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
    return out;
}

std::string base64(const std::string &text)
{
    constexpr std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8U
                    | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            out += at + digit > text.size() ? '=' : digits[group >> (18 - 6 * digit) & 63U];
    }
    return out;
}

std::string queryOf(const std::string &target, const std::string &name)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string part = target.substr(begin + 1, end - begin - 1);
        if (part.compare(0, name.size() + 1, name + '=') == 0)
            return part.substr(name.size() + 1);
        begin = end;
    }
    return {};
}

std::string targetOf(const http_message &request)
{
    const std::size_t first = request.startLine.find(' ');
    const std::size_t last = request.startLine.rfind(' ');
    return first == last ? std::string() : request.startLine.substr(first + 1, last - first - 1);
}

std::string methodOf(const http_message &request)
{
    return request.startLine.substr(0, request.startLine.find(' '));
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

} // namespace

double secondsSinceStart()
{
    return std::chrono::duration<double>(steady::now() - programStart).count();
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool isTroubleOn()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

record_file::record_file(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{ }

record_file::~record_file()
{
    if (m_file != nullptr)
        std::fclose(m_file);
}

void record_file::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_file == nullptr)
        return;
    std::fprintf(m_file, "%8.3f %s\n", secondsSinceStart(), text.c_str());
    std::fflush(m_file);
}

std::string http_message::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

int http_message::status() const
{
    constexpr std::string_view version = "HTTP/1.1 ";
    if (startLine.compare(0, version.size(), version) != 0)
        return 0;
    return std::atoi(startLine.c_str() + version.size());
}

http_stream::~http_stream()
{
    close(m_handle);
}

read_result http_stream::fill(steady::time_point until)
{
    pollfd item{m_handle, POLLIN, 0};
    if (poll(&item, 1, remainingMilliseconds(until)) <= 0)
        return read_result::timeout;
    constexpr std::size_t chunkBytes = std::size_t{64} * 1024;
    if (m_rate != nullptr && *m_rate > 0)
        sleepFor(milliseconds(1000 * chunkBytes / *m_rate));
    std::vector<char> chunk(chunkBytes);
    const ssize_t count = recv(m_handle, chunk.data(), chunk.size(), 0);
    if (count <= 0)
        return read_result::closed;
    m_buffer.append(chunk.data(), static_cast<std::size_t>(count));
    return read_result::complete;
}

read_result http_stream::read(http_message &out, milliseconds timeout, bool hasBody)
{
    const steady::time_point until = steady::now() + timeout;
    std::size_t headEnd = m_buffer.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        const read_result result = fill(until);
        if (result != read_result::complete)
            return result;
        headEnd = m_buffer.find("\r\n\r\n");
    }
    out = {};
    std::istringstream head(m_buffer.substr(0, headEnd));
    std::string line;
    std::getline(head, line);
    out.startLine = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return read_result::malformed;
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        std::string value = begin == std::string::npos ? "" : line.substr(begin);
        value.erase(value.find_last_not_of("\r ") + 1);
        out.headers.emplace_back(line.substr(0, colon), value);
    }
    const std::string length = out.header("Content-Length");
    const std::size_t bodyBytes = hasBody && !length.empty() ? std::stoul(length) : 0;
    while (m_buffer.size() < headEnd + 4 + bodyBytes) {
        const read_result result = fill(until);
        if (result != read_result::complete)
            return result;
    }
    out.body = m_buffer.substr(headEnd + 4, bodyBytes);
    m_buffer.erase(0, headEnd + 4 + bodyBytes);
    return read_result::complete;
}

bool http_stream::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t count = send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool http_stream::peerClosed() const
{
    char byte = 0;
    return recv(m_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0
           || (errno != EAGAIN && errno != EWOULDBLOCK && errno != 0 && errno != EINTR);
}

std::string http_stream::extraBytes(milliseconds timeout)
{
    if (m_buffer.empty())
        fill(steady::now() + timeout);
    return m_buffer;
}

std::unique_ptr<http_stream> connectTo(const address &target, milliseconds timeout)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0)
        return nullptr;
    constexpr int enabled = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::unique_ptr<http_stream> stream = std::make_unique<http_stream>(handle);
    const sockaddr_in where = socketAddress(target);
    if (connect(handle, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0)
        return nullptr;
    return stream;
}

std::string formatMessage(const std::string &startLine,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          const std::string &body, bool withLength)
{
    std::string text = startLine + "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (withLength)
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return text.append("\r\n").append(body);
}

tcp_service::tcp_service(const address &where, std::function<void(http_stream &)> serve)
    : m_serve(std::move(serve))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int enabled = 1;
    constexpr int backlog = 512;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in socketName = socketAddress(where);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&socketName), sizeof socketName) != 0
        || listen(m_listener, backlog) != 0) {
        std::fprintf(stderr, "no address %s\n", where.text().c_str());
        std::_Exit(verdict::notRun);
    }
    m_acceptor = std::thread([this] { accept(); });
}

tcp_service::~tcp_service()
{
    stop();
}

void tcp_service::accept()
{
    while (!m_stopped) {
        pollfd item{m_listener, POLLIN, 0};
        if (poll(&item, 1, 50) <= 0)
            continue;
        const int handle = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
            continue;
        constexpr int enabled = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.insert(handle);
        m_threads.emplace_back([this, handle] {
            http_stream stream(handle);
            m_serve(stream);
            const std::lock_guard<std::mutex> innerLock(m_mutex);
            m_connections.erase(handle);
            shutdown(handle, SHUT_RDWR);
        });
    }
}

void tcp_service::stop()
{
    if (m_stopped.exchange(true))
        return;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (int handle : m_connections)
            shutdown(handle, SHUT_RDWR);
    }
    for (std::thread &item : m_threads)
        item.join();
}

store::store(const address &where)
    : m_service(where, [this](http_stream &stream) { serve(stream); })
{ }

store::~store()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_service.stop();
}

void store::putConfiguration(const std::string &document)
{
    put("keyed.op", "config", document);
}

void store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    topic_log &log = m_topics[topic];
    log.records.emplace_back(key, value);
    if (value.empty())
        log.newest.erase(key);
    else
        log.newest[key] = log.records.size() - 1;
    m_changed.notify_all();
}

void store::serve(http_stream &stream)
{
    constexpr std::chrono::minutes idleTimeout(5);
    http_message request;
    while (stream.read(request, idleTimeout) == read_result::complete) {
        const std::string target = targetOf(request);
        const std::string topic = queryOf(target, "topic");
        std::string body;
        std::string status = "200 OK";
        if (target.find("/api/log-newest") == 0) {
            body = newestPage(topic, queryOf(target, "after"));
        } else if (target.find("/api/log-read") == 0) {
            const std::string wait = queryOf(target, "waitMs");
            body = read(topic, std::stoul(queryOf(target, "from")),
                        milliseconds(wait.empty() ? 0 : std::stol(wait)));
        } else if (target.find("/api/log-append") == 0 && topic != "keyed.op") {
            body = append(topic, request.body);
        } else {
            status = "403 Forbidden";
        }
        if (!stream.write(formatMessage("HTTP/1.1 " + status, {}, body)))
            return;
    }
}

std::string store::newestPage(const std::string &topic, const std::string &after)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const topic_log &log = m_topics[topic];
    std::string items;
    for (const auto &[key, offset] : log.newest) {
        if (!after.empty() && key <= after)
            continue;
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + key + R"(","value":")" + base64(log.records[offset].second)
                 + R"(","offset":)" + std::to_string(offset) + '}';
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"end":)"
           + std::to_string(log.records.size()) + '}';
}

std::string store::read(const std::string &topic, std::size_t from, milliseconds wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, wait, [this, &topic, from] {
        return m_stopped || m_topics[topic].records.size() > from;
    });
    const topic_log &log = m_topics[topic];
    std::string body = bigEndian(log.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t offset = from; offset < log.records.size(); ++offset) {
        const auto &[key, value] = log.records[offset];
        body += bigEndian(1 + key.size() + value.size(), recordLengthBytes);
        body += static_cast<char>(key.size());
        body += key + value;
    }
    return body;
}

std::string store::append(const std::string &topic, std::string_view records)
{
    while (records.size() > recordLengthBytes) {
        std::size_t length = 0;
        for (int byte = 0; byte < recordLengthBytes; ++byte)
            length = length << 8U | static_cast<unsigned char>(records[byte]);
        const std::string_view content = records.substr(recordLengthBytes, length);
        const std::size_t keySize = static_cast<unsigned char>(content.front());
        put(topic, std::string(content.substr(1, keySize)),
            std::string(content.substr(1 + keySize)));
        records.remove_prefix(recordLengthBytes + length);
    }
    return R"({"offset":0,"end":1})";
}

server::server(server_options options, record_file &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_born(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count())
    , m_service(m_options.where, [this](http_stream &stream) { serve(stream); })
{ }

server::~server()
{
    stop();
}

void server::stop()
{
    m_stopped = true;
    m_reporting = false;
    m_service.stop();
    if (m_reporter.joinable())
        m_reporter.join();
}

std::vector<run> server::runs()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::string server::nextReport(const std::string &state)
{
    std::ostringstream body;
    body << R"({"born":)" << m_born << R"(,"address":")" << m_options.where.text()
         << R"(","info":{"service":")" << m_options.service << R"(","version":"v1","zone":")"
         << m_options.zone << R"(","slots":)" << m_options.slots << R"(},"status":{"state":")"
         << state << R"(","sequence":)" << ++m_sequence << R"(,"coldRemainingS":0}})";
    return formatMessage("PUT /api/instances/" + m_options.instance + " HTTP/1.1",
                         {{"Host", m_options.control.text()}, {"Content-Type", "application/json"}},
                         body.str());
}

bool server::call(const std::string &bytes, const std::string &name)
{
    constexpr milliseconds ackTimeout(1000);
    const std::unique_ptr<http_stream> stream = connectTo(m_options.control, ackTimeout);
    http_message response;
    const bool acknowledged = stream && stream->write(bytes)
                              && stream->read(response, ackTimeout) == read_result::complete
                              && response.status() / 100 == 2;
    if (!name.empty())
        m_record.line("server " + m_options.instance + ' ' + name
                      + (acknowledged ? ": acknowledged" : ": no ack"));
    return acknowledged;
}

void server::beginReports()
{
    m_reporting = true;
    m_reporter = std::thread([this] {
        constexpr milliseconds interval(1500);
        constexpr milliseconds retryInterval(200);
        while (m_reporting) {
            const bool acknowledged = call(nextReport("ready"), "");
            const steady::time_point until =
                    steady::now() + (acknowledged ? interval : retryInterval);
            while (m_reporting && steady::now() < until)
                sleepFor(milliseconds(20));
        }
    });
}

bool server::leave()
{
    const std::string body = R"({"born":)" + std::to_string(m_born) + '}';
    const std::string bytes = formatMessage(
            "DELETE /api/instances/" + m_options.instance + " HTTP/1.1",
            {{"Host", m_options.control.text()}, {"Content-Type", "application/json"}}, body);
    return call(bytes, "sends DELETE");
}

void server::serve(http_stream &stream)
{
    constexpr milliseconds idleTimeout(10'000);
    http_message request;
    stream.limitRate(m_bytesPerSecond);
    while (stream.read(request, idleTimeout) == read_result::complete) {
        if (!answer(stream, request))
            return;
    }
}

bool server::answer(http_stream &stream, const http_message &request)
{
    const std::string id = request.header("X-Request-Id");
    const std::string expected = request.header("X-Expected-Instance");
    std::vector<std::pair<std::string, std::string>> headers = {{"X-Request-Id", id},
                                                                {"Keep-Alive", "timeout=10"}};
    if (!expected.empty() && expected != m_options.instance) {
        headers.emplace_back("X-Instance-Id", m_options.instance);
        return stream.write(formatMessage("HTTP/1.1 421 Misdirected Request", headers, ""));
    }
    if (m_stopped)
        return false;
    run item{id, methodOf(request), targetOf(request), request.body.size(), secondsSinceStart()};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.push_back(item);
    }
    m_record.line("server " + m_options.instance + " begins " + item.method + ' ' + item.target
                  + " request " + id + " X-Deadline-Ms " + request.header("X-Deadline-Ms")
                  + " body " + std::to_string(item.bodyBytes));
    const std::string deadlineText = request.header("X-Deadline-Ms");
    const milliseconds deadline(deadlineText.empty() ? 60'000 : std::stol(deadlineText));
    const milliseconds work = m_options.workTime ? m_options.workTime(request) : milliseconds(5);
    const steady::time_point end = steady::now() + std::min(work, deadline);
    while (steady::now() < end) {
        if (m_stopped || stream.peerClosed()) {
            m_record.line("server " + m_options.instance + " drops request " + id
                          + (m_stopped ? ": it ends" : ": the connection was closed"));
            return false;
        }
        sleepFor(std::min(milliseconds(10), milliseconds(1 + remainingMilliseconds(end))));
    }
    headers.emplace_back("X-Response-Seal", "seal-" + id);
    const bool inTime = work <= deadline;
    m_record.line("server " + m_options.instance + " answers request " + id
                  + (inTime ? ": 200" : ": 504"));
    const std::string body = inTime ? "result of " + id : "";
    const std::string status = inTime ? "HTTP/1.1 200 OK" : "HTTP/1.1 504 Gateway Timeout";
    if (item.method == "HEAD") {
        headers.emplace_back("Content-Length", std::to_string(body.size()));
        return stream.write(formatMessage(status, headers, "", false));
    }
    return stream.write(formatMessage(status, headers, body));
}

std::string ipOf(int host)
{
    constexpr int blocks = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process / blocks % blocks) + '.'
           + std::to_string(1 + process % blocks) + '.' + std::to_string(host);
}

address freeAddress(const std::string &ip)
{
    static std::set<std::string> given;
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where = socketAddress({ip, 0});
    socklen_t size = sizeof where;
    if (bind(handle, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0
        || getsockname(handle, reinterpret_cast<sockaddr *>(&where), &size) != 0) {
        std::fprintf(stderr, "no free port on %s\n", ip.c_str());
        std::_Exit(verdict::notRun);
    }
    close(handle);
    const address found{ip, ntohs(where.sin_port)};
    return given.insert(found.text()).second ? found : freeAddress(ip);
}

std::string temporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        std::_Exit(verdict::notRun);
    return name;
}

void removeFolder(const std::string &folder)
{
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
}

machine::machine(std::string root, std::string folder, std::string name, std::string zone,
                 std::string service, std::vector<std::string> zones, const address &store,
                 const std::string &ip, record_file &record)
    : m_root(std::move(root))
    , m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_zones(std::move(zones))
    , m_ip(ip)
    , m_store(store)
    , m_outbound(freeAddress(ip))
    , m_ready(freeAddress(ip))
    , m_control(freeAddress(ip))
    , m_backend(freeAddress(ip))
    , m_peers(freeAddress(ip))
    , m_metrics(freeAddress(ip))
    , m_record(record)
{
    static std::atomic<std::size_t> machines{0};
    m_number = machines++ % maxSidecars;
    std::signal(SIGTERM, endWithSidecars);
    std::signal(SIGINT, endWithSidecars);
    std::ifstream file(m_root + "/deploy/settings.json.in");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::string zoneList;
    for (const std::string &item : m_zones)
        zoneList += (zoneList.empty() ? "\"" : ", \"") + item + '"';
    replaceAll(text, R"({{#zones}}"{{@}}"{{,}}{{/zones}})", zoneList);
    replaceAll(text, "{{zone}}", m_zone);
    replaceAll(text, "{{node}}", m_name);
    replaceAll(text, "{{service}}", m_service);
    replaceAll(text, "{{appAddr}}", m_backend.text());
    replaceAll(text, "{{listen.outbound}}", m_outbound.text());
    replaceAll(text, "{{listen.ready}}", m_ready.text());
    replaceAll(text, "{{listen.control}}", m_control.text());
    replaceAll(text, "{{ip}}:{{internalPorts.0}}", m_peers.text());
    replaceAll(text, "{{ip}}:{{internalPorts.1}}", m_metrics.text());
    replaceAll(text, "{{platform.address}}", m_store.text());
    if (text.empty() || text.find("{{") != std::string::npos) {
        std::fprintf(stderr, "deploy/settings.json.in is missing or has unknown fields\n");
        std::_Exit(verdict::notRun);
    }
    std::ofstream(m_folder + '/' + m_name + ".json") << text;
}

machine::~machine()
{
    signal(SIGKILL);
    awaitEnd(milliseconds(5000));
}

void machine::start()
{
    const std::string program = m_root + "/target/src/sidecar/tamarackridge-sidecar";
    const std::string settings = "--settings=" + m_folder + '/' + m_name + ".json";
    const std::string log = m_folder + '/' + m_name + ".log";
    const pid_t process = fork();
    if (process == 0) {
        const int output = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        if (chdir(m_root.c_str()) == 0)
            execl(program.c_str(), program.c_str(), settings.c_str(), nullptr);
        std::_Exit(verdict::notRun);
    }
    m_process = process;
    sidecars[m_number] = process;
    m_record.line("sidecar " + m_name + " starts");
}

void machine::signal(int number)
{
    const pid_t process = m_process;
    if (process > 0 && kill(process, number) == 0 && number != SIGKILL)
        m_record.line("sidecar " + m_name + " gets signal " + std::to_string(number));
}

bool machine::isRunning()
{
    const pid_t process = m_process;
    if (process <= 0)
        return false;
    int status = 0;
    if (waitpid(process, &status, WNOHANG) != process)
        return true;
    m_process = 0;
    sidecars[m_number] = 0;
    m_record.line("sidecar " + m_name + " has ended"
                  + (WIFSIGNALED(status) ? ", signal " + std::to_string(WTERMSIG(status))
                                         : ", code " + std::to_string(WEXITSTATUS(status))));
    return false;
}

bool machine::awaitEnd(milliseconds timeout)
{
    const steady::time_point until = steady::now() + timeout;
    while (isRunning()) {
        if (steady::now() > until)
            return false;
        sleepFor(milliseconds(5));
    }
    return true;
}

bool machine::isReady() const
{
    constexpr milliseconds timeout(1000);
    const std::unique_ptr<http_stream> stream = connectTo(m_ready, timeout);
    http_message response;
    return stream
           && stream->write(
                   formatMessage("GET /api/ready HTTP/1.1", {{"Host", m_ready.text()}}, "", false))
           && stream->read(response, timeout) == read_result::complete && response.status() == 200;
}

bool machine::awaitReady(milliseconds timeout) const
{
    const steady::time_point until = steady::now() + timeout;
    while (!isReady()) {
        if (steady::now() > until)
            return false;
        sleepFor(milliseconds(50));
    }
    return true;
}

double machine::memoryMegabytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_process.load()) + "/status");
    std::string word;
    while (file >> word) {
        if (word != "VmRSS:")
            continue;
        double kilobytes = 0;
        file >> kilobytes;
        return kilobytes / 1024;
    }
    return 0;
}

std::string formatRequest(const client_request &request)
{
    std::vector<std::pair<std::string, std::string>> headers = {
            {"Host", request.host},
            {"X-Request-Id", request.id},
            {"X-Deadline-Ms", std::to_string(request.deadlineMilliseconds)}};
    if (!request.key.empty())
        headers.emplace_back("X-Api-Key", request.key);
    return formatMessage(request.method + ' ' + request.target + " HTTP/1.1", headers, request.body,
                         request.method == "POST");
}

std::string configuration(int version, const std::vector<route> &routes,
                          const std::vector<std::string> &keys)
{
    std::ostringstream out;
    std::set<std::string> services;
    out << R"({"version":)" << version << R"(,"resources":[)";
    for (const route &item : routes) {
        services.insert(item.service);
        out << R"({"type":"routes","metadata":{"name":"r-)" << item.name
            << R"("},"spec":{"hostname":"shop.example","pathPrefix":"/)" << item.name
            << R"(/","routeType":")" << (item.idempotent ? "idempotent" : "non_idempotent")
            << R"(","timeoutS":)" << item.timeoutSeconds
            << R"(,"targetLatencyS":1.5,"priority":0,"attempts":2,"service":")" << item.service
            << R"(","public":)" << (item.isPublic ? "true" : "false") << "}},";
    }
    for (const std::string &service : services)
        out << R"({"type":"services","metadata":{"name":")" << service
            << R"("},"spec":{"healthPath":"/health","maxConnections":880,"protocol":"h1",)"
            << R"("tls":false}},)";
    out << R"({"type":"tenants","metadata":{"name":"pulo"},"spec":{"apiKeys":[)";
    for (std::size_t index = 0; index < keys.size(); ++index)
        out << (index > 0 ? ",\"" : "\"") << keys[index] << '"';
    out << R"(],"priority":1}},{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,)"
        << R"("maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]})";
    return out.str();
}

deployment::deployment(const std::string &root, const std::vector<place> &places,
                       record_file &record,
                       const std::function<milliseconds(const http_message &)> &workTime)
    : m_record(record)
    , m_folder(temporaryFolder())
    , m_storeAddress(freeAddress(ipOf(250)))
    , m_store(m_storeAddress)
{
    std::set<std::string> zones;
    for (const place &item : places)
        zones.insert(item.zone);
    for (std::size_t index = 0; index < places.size(); ++index) {
        const auto &[service, zone] = places[index];
        m_machines.push_back(std::make_unique<machine>(
                root, m_folder, "vm-" + std::to_string(index), zone, service,
                std::vector<std::string>(zones.begin(), zones.end()), m_storeAddress,
                ipOf(static_cast<int>(index) + 1), record));
        server_options options;
        options.service = service;
        options.zone = zone;
        options.instance = "i-" + std::to_string(index);
        options.where = m_machines.back()->backend();
        options.control = m_machines.back()->control();
        options.workTime = workTime;
        m_servers.push_back(std::make_unique<server>(options, record));
        m_serverOptions.push_back(std::move(options));
    }
}

void deployment::crashServer(std::size_t index, milliseconds down)
{
    m_record.line("server " + m_serverOptions[index].instance + " crashes");
    m_servers[index].reset();
    sleepFor(down);
    m_serverOptions[index].instance += "-again";
    m_servers[index] = std::make_unique<server>(m_serverOptions[index], m_record);
    m_servers[index]->beginReports();
}

deployment::~deployment()
{
    for (const std::unique_ptr<server> &item : m_servers)
        item->stop();
    m_machines.clear();
    removeFolder(m_folder);
}

bool deployment::start(const std::string &document)
{
    constexpr milliseconds startTimeout(10'000);
    m_store.putConfiguration(document);
    for (const std::unique_ptr<machine> &item : m_machines)
        item->start();
    for (const std::unique_ptr<machine> &item : m_machines) {
        if (!item->awaitReady(startTimeout))
            return false;
    }
    for (const std::unique_ptr<server> &item : m_servers)
        item->beginReports();
    return true;
}

client_result sendOnce(const machine &at, const client_request &request, record_file &record)
{
    constexpr milliseconds connectTimeout(1000);
    client_result result;
    result.sentAt = secondsSinceStart();
    record.line("client at " + at.name() + " sends " + request.method + ' ' + request.target
                + " request " + request.id + " body " + std::to_string(request.body.size()));
    const std::unique_ptr<http_stream> stream = connectTo(at.outbound(), connectTimeout);
    if (stream && stream->write(formatRequest(request)))
        result.end = stream->read(result.response, milliseconds(request.deadlineMilliseconds + 200),
                                  request.method != "HEAD");
    result.endedAt = secondsSinceStart();
    std::string got = "no answer within its time budget";
    if (result.end == read_result::complete)
        got = result.response.startLine + ", signature '"
              + result.response.header("X-Response-Seal") + '\'';
    else if (result.end == read_result::closed)
        got = stream ? "a closed connection" : "no connection";
    record.line("client at " + at.name() + " gets for request " + request.id + ": " + got);
    return result;
}

std::string newRequestId(std::string_view prefix)
{
    static std::atomic<int> last{0};
    return std::string(prefix) + '-' + std::to_string(++last);
}

} // namespace review
