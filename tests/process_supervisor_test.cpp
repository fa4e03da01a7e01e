#include "process/supervisor.h"

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>

namespace tamarackridge {
namespace {

using std::chrono::milliseconds;

// Runs a supervisor with a simulated clock; the children run in real threads.
class process_supervisor : public testing::Test
{
protected:
    process_supervisor()
        : m_supervisor({milliseconds(100), milliseconds(400), 3, milliseconds(60'000)})
    { }

    void add(std::function<void(child_context &)> run)
    {
        child_spec spec;
        spec.name = "child";
        spec.run = std::move(run);
        spec.stallTimeout = milliseconds(1000);
        m_supervisor.add(std::move(spec));
        m_supervisor.step(m_now);
    }
    // Calls step() without advancing the clock until the condition holds. Bounded only by the
    // timeout of the test.
    template <class Condition>
    void stepUntil(Condition condition)
    {
        while (!condition()) {
            m_supervisor.step(m_now);
            std::this_thread::yield();
        }
    }
    void advance(milliseconds duration)
    {
        m_now += duration;
        m_supervisor.step(m_now);
    }

    supervisor::clock::time_point m_now;
    supervisor m_supervisor;
    std::atomic<int> m_starts = 0;
};

// Guards against a failed thread that is not restarted, and against readiness while it is down.
TEST_F(process_supervisor, restarts_a_child_that_throws_after_a_backoff)
{
    add([this](child_context &context) {
        if (++m_starts == 1)
            throw std::runtime_error("broken");
        while (!context.stopRequested())
            context.waitFor(milliseconds(1000));
    });
    stepUntil([this] { return !m_supervisor.ready(); });
    advance(milliseconds(99));
    EXPECT_FALSE(m_supervisor.ready());
    advance(milliseconds(1));
    EXPECT_TRUE(m_supervisor.ready());
    EXPECT_EQ(m_supervisor.restarts(), 1U);
    stepUntil([this] { return m_starts == 2; });
    EXPECT_FALSE(m_supervisor.escalation().has_value());
}

// Guards against a hanging thread that never ends.
TEST_F(process_supervisor, replaces_a_child_that_makes_no_progress)
{
    // Shared with the stalled thread, which the supervisor detaches.
    auto returned = std::make_shared<std::atomic<int>>(0);
    add([this, returned](child_context &context) {
        const int start = ++m_starts;
        while (!context.stopRequested()) {
            if (start > 1)
                context.reportProgress();
            context.waitFor(milliseconds(1));
        }
        ++*returned;
    });
    advance(milliseconds(999));
    EXPECT_TRUE(m_supervisor.ready());
    advance(milliseconds(1));
    EXPECT_FALSE(m_supervisor.ready());
    advance(milliseconds(100));
    EXPECT_TRUE(m_supervisor.ready());
    // The supervisor requested a stop, and the stalled thread ended on its own.
    stepUntil([&] { return *returned == 1 && m_starts == 2; });
}

// Guards against endless restarts that hide a permanent failure.
TEST_F(process_supervisor, escalates_after_a_bounded_number_of_restarts)
{
    add([this](child_context &) {
        ++m_starts;
        throw std::runtime_error("broken");
    });
    for (const int backoff : {100, 200, 400}) {
        stepUntil([this] { return !m_supervisor.ready(); });
        advance(milliseconds(backoff - 1));
        EXPECT_FALSE(m_supervisor.ready()) << backoff;
        advance(milliseconds(1));
    }
    stepUntil([this] { return m_supervisor.escalation().has_value(); });
    EXPECT_EQ(*m_supervisor.escalation(), "child: broken");
    EXPECT_EQ(m_starts, 4);
    advance(milliseconds(10'000));
    EXPECT_EQ(m_starts, 4);
    EXPECT_FALSE(m_supervisor.ready());
}

// Guards against rare failures that add up to an escalation over days.
TEST_F(process_supervisor, restarts_outside_the_window_do_not_count)
{
    add([this](child_context &) {
        ++m_starts;
        throw std::runtime_error("broken");
    });
    for (int i = 0; i < 10; ++i) {
        stepUntil([this] { return !m_supervisor.ready(); });
        advance(milliseconds(60'001));
    }
    EXPECT_FALSE(m_supervisor.escalation().has_value());
}

// Guards against a stop that waits for a blocked child, and against a stop that counts as a
// failure.
TEST_F(process_supervisor, stop_ends_the_children_in_reverse_order)
{
    std::mutex mutex;
    std::vector<int> ended;
    for (const int number : {1, 2}) {
        add([&, number](child_context &context) {
            while (!context.stopRequested())
                context.waitFor(milliseconds(60'000));
            const std::lock_guard lock(mutex);
            ended.push_back(number);
        });
    }
    m_supervisor.stop();
    EXPECT_EQ(ended, (std::vector<int>{2, 1}));
    EXPECT_EQ(m_supervisor.restarts(), 0U);
}

} // namespace
} // namespace tamarackridge
