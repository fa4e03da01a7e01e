#include "tamarackridge/overload"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

using namespace tamarackridge;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);

queue_entry entryOf(std::uint64_t id, std::uint8_t rank, duration chainAge,
                    duration remaining = 10s)
{
    return {id, rank, start - chainAge, start + remaining};
}

/// \returns the id that was refused or evicted by an enqueue, if any.
std::optional<std::uint64_t> refusedOrEvictedBy(const admission_result &result, std::uint64_t id)
{
    if (result.kind == admission::admitted)
        return std::nullopt;
    return result.kind == admission::admitted_evicting ? result.evicted : id;
}

/// Reference model of the queue: a sorted set of rank, start of the chain and id.
using sorted_queue = std::set<std::tuple<int, time_point, std::uint64_t>>;

std::optional<std::uint64_t> extractId(sorted_queue &queue, sorted_queue::iterator entry)
{
    if (queue.empty())
        return std::nullopt;
    return std::get<2>(queue.extract(entry).value());
}

} // namespace

// Guards against a newer or lower-ranked request that displaces an older or higher-ranked one, and
// against entries that are lost or run twice.
RC_GTEST_PROP(AdmissionQueue, BehavesLikeASortedBoundedList, ())
{
    constexpr std::size_t capacity = 8;
    admission_queue_options options;
    options.capacity = capacity;
    admission_queue queue(options);
    sorted_queue model;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 1; step <= steps; ++step) {
        const std::uint64_t id = static_cast<std::uint64_t>(step);
        switch (*rc::gen::weightedElement<int>({{4, 0}, {2, 1}, {1, 2}})) {
        case 0: {
            const queue_entry entry = entryOf(id, *rc::gen::inRange<std::uint8_t>(0, 4),
                                              *rc::gen::inRange(0, 5) * 1ms);
            model.emplace(-entry.rank, entry.chainStart, id);
            std::optional<std::uint64_t> refused;
            if (model.size() > capacity)
                refused = extractId(model, std::prev(model.end()));
            RC_ASSERT(refusedOrEvictedBy(queue.enqueue(entry, start), id) == refused);
            break;
        }
        case 1:
            RC_ASSERT(queue.popReady(start) == extractId(model, model.begin()));
            break;
        default: {
            const std::uint64_t removedId = *rc::gen::inRange<std::uint64_t>(1, id + 1);
            const std::size_t removed = std::erase_if(model, [removedId](const auto &entry) {
                return std::get<2>(entry) == removedId;
            });
            RC_ASSERT(queue.remove(removedId) == (removed == 1));
        }
        }
        RC_ASSERT(queue.size() == model.size());
    }
}

// Guards against running a request whose deadline will pass before it ends, and against dropping
// one that still has enough time.
TEST(AdmissionQueue, DropsEntriesWithLessRemainingTimeThanARunTakes)
{
    admission_queue queue;
    queue.observeServiceTime(50ms, start);
    EXPECT_TRUE(queue.enqueue(entryOf(1, 0, 0ms, 40ms), start).deadlineUnreachable);
    EXPECT_EQ(queue.enqueue(entryOf(2, 9, 0ms, 60ms), start).kind, admission::admitted);
    EXPECT_EQ(queue.enqueue(entryOf(3, 0, 0ms, 90ms), start).kind, admission::admitted);
    EXPECT_FALSE(queue.remove(1));
    EXPECT_EQ(queue.popReady(start + 20ms), 3U);
    std::vector<std::uint64_t> dropped;
    queue.takeExpired(start + 20ms, dropped);
    EXPECT_EQ(dropped, std::vector<std::uint64_t>{2});
}

// Guards against a slow phase after which every request is refused for its deadline forever: no run
// would ever correct the estimate.
TEST(AdmissionQueue, ServiceTimeEstimateDecaysWithoutRuns)
{
    admission_queue queue;
    queue.observeServiceTime(5s, start);
    EXPECT_TRUE(queue.enqueue({1, 0, start, start + 1s}, start).deadlineUnreachable);
    const time_point later = start + 4s;
    EXPECT_EQ(queue.enqueue({2, 0, later, later + 1s}, later).kind, admission::admitted);
}

// Guards against shedding a higher rank before a lower one, shedding the highest rank, and shedding
// so much that the server is idle.
RC_GTEST_PROP(ShedControl, ShedsFromLowToHighAndKeepsTheServerBusy, ())
{
    const std::vector<std::uint32_t> perInterval =
            *rc::gen::container<std::vector<std::uint32_t>>(4, rc::gen::inRange(0U, 50U));
    const std::uint32_t capacity = *rc::gen::inRange(1U, 60U);
    RC_PRE(std::any_of(perInterval.begin(), perInterval.end(), [](auto n) { return n > 0; }));
    shed_control shed;
    time_point now = start;
    shed.observeDelay(0ms, 0ms, now);
    for (int interval = 0; interval < 20; ++interval) {
        for (std::size_t rank = 0; rank < perInterval.size(); ++rank) {
            for (std::uint32_t i = 0; i < perInterval[rank]; ++i)
                shed.onArrival(static_cast<std::uint8_t>(rank));
        }
        for (std::uint32_t i = 0; i < capacity; ++i)
            shed.onRun();
        now += 100ms;
        const std::uint8_t before = shed.threshold();
        shed.observeDelay(1s, 0ms, now);
        std::uint32_t admitted = 0;
        for (std::size_t rank = shed.threshold(); rank < perInterval.size(); ++rank)
            admitted += perInterval[rank];
        RC_ASSERT(shed.threshold() >= before);
        RC_ASSERT(shed.threshold() == 0 || admitted >= capacity);
    }
    const std::uint8_t highest = shed.threshold();
    for (int interval = 0; interval < highest; ++interval)
        shed.observeDelay(0ms, 0ms, now += 100ms);
    shed.observeDelay(0ms, 0ms, now += 100ms);
    RC_ASSERT(shed.threshold() == 0);
}

// Guards against treating a burst that the queue can absorb as overload.
TEST(ShedControl, BurstThatDrainsWithinAnIntervalShedsNothing)
{
    shed_control shed;
    for (int i = 0; i < 50; ++i) {
        shed.onArrival(1);
        shed.observeDelay(i % 5 == 0 ? 0ms : 80ms, 0ms, start + i * 20ms);
    }
    EXPECT_EQ(shed.threshold(), 0);
}
