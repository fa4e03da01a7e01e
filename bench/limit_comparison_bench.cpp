#include "fakes/virtual_server.h"
#include "tamarackridge/overload"
#include "tamarackridge/src/base/seeded_random.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>

// Compares algorithms that adapt a concurrency limit, in virtual time; the counters are the result.
// The server has 50 slots and is always saturated. Its service time is 20 ms, then 100 ms, then 20
// ms.

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

/// Base of the alternatives: a limit that is set from the latencies of successful runs.
class simple_limit
{
public:
    bool tryAcquire()
    {
        if (m_inFlight >= limit())
            return false;
        ++m_inFlight;
        return true;
    }
    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }

protected:
    void setLimit(double limit) { m_limit = std::clamp(limit, 1.0, 1000.0); }

    std::uint32_t m_inFlight = 0;
    double m_limit = 8;
};

/// Additive increase; multiplicative decrease when a run takes 500 ms or more, as long as the
/// callers wait.
class aimd_limit : public simple_limit
{
public:
    void release(time_point, duration latency, run_outcome)
    {
        --m_inFlight;
        setLimit(latency < 500ms ? m_limit + 1 / m_limit : m_limit * 0.9);
    }
};

/// Scales the limit by the ratio of a baseline to the mean latency of a window.
class gradient_limit : public simple_limit
{
public:
    void release(time_point, duration latency, run_outcome)
    {
        --m_inFlight;
        m_sum += static_cast<double>(latency.count());
        if (++m_samples < std::max(20.0, m_limit))
            return;
        const double mean = m_sum / m_samples;
        m_baseline = m_baseline == 0 ? mean : nextBaseline(mean);
        const double gradient = std::clamp(1.5 * m_baseline / mean, 0.5, 1.0);
        setLimit(m_limit * gradient + std::sqrt(m_limit));
        m_sum = 0;
        m_samples = 0;
    }

    virtual ~gradient_limit() = default;

protected:
    virtual double nextBaseline(double mean) const = 0;

    double m_baseline = 0;

private:
    double m_sum = 0;
    int m_samples = 0;
};

class gradient_to_average final : public gradient_limit
{
    double nextBaseline(double mean) const override
    {
        return m_baseline + 0.02 * (mean - m_baseline);
    }
};

class gradient_to_minimum final : public gradient_limit
{
    double nextBaseline(double mean) const override { return std::min(m_baseline, mean); }
};

template <typename limit_type>
class saturated_server
{
public:
    void runFor(duration time, duration service)
    {
        m_server.setServiceTime(service);
        fill();
        m_loop.runUntil(m_loop.now() + time);
    }

    /// Reports the throughput as a share of the capacity, and the limit, after 20 s of adjustment.
    void measure(benchmark::State &state, const std::string &name, duration service)
    {
        runFor(20s, service);
        const std::uint64_t before = m_completed;
        runFor(10s, service);
        const double capacity = slots * (10s / service);
        state.counters[name + "Share"] = static_cast<double>(m_completed - before) / capacity;
        state.counters[name + "Limit"] = m_limit.limit();
    }

private:
    static constexpr std::uint32_t slots = 50;

    void fill()
    {
        while (m_limit.tryAcquire()) {
            m_server.submit([this](duration latency) {
                ++m_completed;
                m_limit.release(m_loop.now(), latency, run_outcome::success);
                fill();
            });
        }
    }

    fakes::event_loop m_loop;
    seeded_random m_random{20261204};
    fakes::virtual_server m_server{m_loop, m_random, slots, 20ms};
    limit_type m_limit;
    std::uint64_t m_completed = 0;
};

template <typename limit_type>
void BM_saturated(benchmark::State &state)
{
    for (auto _ : state) {
        saturated_server<limit_type> server;
        server.measure(state, "1fast", 20ms);
        server.measure(state, "2slow", 100ms);
        server.measure(state, "3fastAgain", 20ms);
    }
}
BENCHMARK(BM_saturated<concurrency_limit>)->Iterations(1);
BENCHMARK(BM_saturated<gradient_to_average>)->Iterations(1);
BENCHMARK(BM_saturated<gradient_to_minimum>)->Iterations(1);
BENCHMARK(BM_saturated<aimd_limit>)->Iterations(1);

} // namespace
