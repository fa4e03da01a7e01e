#pragma once

#include "load/latency_histogram.h"
#include "load/request_record.h"

#include <nlohmann/json.hpp>

#include <array>

namespace tamarackridge::load {

/// \brief Outcome counts and latencies of a group of requests.
class group_stats
{
public:
    void add(const request_record &request);

    /// \param seconds length of time that the group covers, used for the rates per second.
    nlohmann::ordered_json toJson(double seconds) const;

private:
    std::array<std::size_t, 5> m_outcomes{}; ///< By request_outcome.
    latency_histogram
            m_latency; ///< Latency of complete responses, measured from the intended start.
};

/// \returns p50, p99, p99.9 and the maximum in milliseconds.
nlohmann::ordered_json latencyJson(const latency_histogram &latency);

} // namespace tamarackridge::load
