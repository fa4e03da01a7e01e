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

/// \brief Callers of one customer, whose requests arrive at random without waiting for responses.
struct caller_group
{
    std::string customer;
    std::vector<std::string> zones; ///< Each send goes to a random node in these zones.
    double rate = 100; ///< Requests per second.
    double writeShare = 0; ///< Share of requests that are posts with a request id.
    int resends = 0; ///< Maximum number of further sends after a failed or missing response.
    duration timeout = std::chrono::milliseconds(1500);
    duration resendDelay = std::chrono::milliseconds(100);
    std::string target = "/movements";
};

/// \brief Counters for the requests of a customer that began in one second of virtual time.
struct load_second
{
    std::uint64_t requests = 0; ///< Each counted once, however often it is sent.
    std::uint64_t complete = 0; ///< Requests that got a response with status 200 in the end.
    std::uint64_t rateRefusals = 0; ///< Refused sends.
    std::uint64_t overloadRefusals = 0; ///< Refused sends.
};

/// \brief Sends requests to a sample_fleet and reports all sends and responses to an oracle.
class client_load
{
public:
    client_load(sample_fleet &sample, oracle &safetyOracle, std::uint64_t seed);

    /// \brief Sends requests of \a group from now until \a length has passed.
    void start(const caller_group &group, duration length);

    /// \brief Sends the requests of a recorded trace from now on, at the recorded intervals.
    ///
    /// Posts become writes with a request id. Uses neither rate, writeShare nor target of \a group.
    void replay(const caller_group &group, std::span<const recorded_request> trace);

    const std::vector<load_second> &seconds(const std::string &customer) const;
    /// \returns the share of the requests begun in the seconds [from, to) that got a complete
    /// response; 1 if there were none.
    double goodput(const std::string &customer, std::size_t from, std::size_t to) const;
    std::uint64_t sends() const { return m_sends; }

private:
    struct pending_request
    {
        caller_group group;
        std::string marker;
        std::string node; ///< Of the latest send.
        std::string id; ///< Request id of a write.
        std::size_t startSecond = 0; ///< Second of virtual time in which the request began.
        int sends = 0;
        int generation =
                0; ///< Of the latest send; responses to earlier sends only go to the oracle.
        bool isWrite = false;
        bool done = false;
    };
    using request_handle = std::shared_ptr<pending_request>;

    void scheduleNextArrival(const std::shared_ptr<const caller_group> &group, time_point end);
    void startRequest(const caller_group &group, bool isWrite);
    void send(const request_handle &request);
    void handleResponse(const request_handle &request, int generation,
                        const http_response &response);
    void scheduleResend(const request_handle &request);
    std::string pickNode(const caller_group &group);
    load_second &countersOf(const pending_request &request);

    sample_fleet &m_sample;
    oracle &m_oracle;
    seeded_random m_random;
    std::map<std::string, std::vector<load_second>> m_seconds;
    std::uint64_t m_nextMarker = 1;
    std::uint64_t m_sends = 0;
};

} // namespace tamarackridge::scenario
