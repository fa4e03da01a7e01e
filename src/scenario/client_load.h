#pragma once

#include "scenario/oracle.h"
#include "scenario/sample_fleet.h"
#include "scenario/trace_replay.h"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace tamarackridge::scenario {

/// \brief Callers of one customer with open-loop arrivals.
struct caller_group
{
    std::string customer;
    std::vector<std::string> zones; ///< Where the callers connect; drawn at random.
    double rate = 100; ///< Requests per second.
    double writeShare = 0; ///< Share of posts with a request id.
    int resends = 0; ///< Sends after a failed or missing answer.
    duration timeout = std::chrono::milliseconds(1500);
    duration resendDelay = std::chrono::milliseconds(100);
    std::string target = "/movements";
};

/// \brief Answers of a group per second of virtual time.
struct load_second
{
    std::uint64_t requests = 0; ///< New requests, counted once whatever their sends.
    std::uint64_t whole = 0; ///< Requests of this second that got a whole answer in the end.
    std::uint64_t rateRefusals = 0;
    std::uint64_t overloadRefusals = 0;
};

/// \brief Drives a sample_fleet with callers and reports everything to an oracle.
class client_load
{
public:
    client_load(sample_fleet &sample, oracle &judge, std::uint64_t seed);

    /// \brief Arrivals of \a group begin now and end after \a length.
    void start(const caller_group &group, duration length);

    /// \brief Sends the requests of a recorded trace from now on, at the pace of the recording.
    ///
    /// Posts become writes with a request id; the rate and share of \a group are not used.
    void replay(const caller_group &group, std::span<const recorded_request> trace);

    const std::vector<load_second> &seconds(const std::string &customer) const;
    /// \returns the share of requests between the two seconds that got whole answers.
    double goodput(const std::string &customer, std::size_t from, std::size_t to) const;
    std::uint64_t sends() const { return m_sends; }

private:
    struct pending
    {
        caller_group group;
        std::string marker;
        std::string node; ///< Of the present send.
        std::string id; ///< Request id of a write.
        std::size_t second = 0;
        int sends = 0;
        int generation =
                0; ///< Of the present send; answers to earlier ones only inform the oracle.
        bool isWrite = false;
        bool done = false;
    };
    using request_handle = std::shared_ptr<pending>;

    void arrive(const std::shared_ptr<const caller_group> &group, time_point end);
    void begin(const caller_group &group, bool isWrite);
    void send(const request_handle &request);
    void handle(const request_handle &request, int generation, const http_response &response);
    void resendLater(const request_handle &request);
    std::string pickNode(const caller_group &group);
    load_second &secondOf(const pending &request);

    sample_fleet &m_sample;
    oracle &m_oracle;
    seeded_random m_random;
    std::map<std::string, std::vector<load_second>> m_seconds;
    std::uint64_t m_nextMarker = 1;
    std::uint64_t m_sends = 0;
};

} // namespace tamarackridge::scenario
