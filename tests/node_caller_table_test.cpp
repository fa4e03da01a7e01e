#include "node/caller_table.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

namespace tamarackridge {
namespace {

class node_caller_table : public testing::Test
{
protected:
    node_caller_table() { socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, m_sockets.data()); }
    ~node_caller_table() override
    {
        close(m_sockets[0]);
        if (m_sockets[1] >= 0)
            close(m_sockets[1]);
    }
    void closeCaller() { close(std::exchange(m_sockets[1], -1)); }

    std::array<int, 2> m_sockets{-1, -1};
    wake_event m_wake;
    caller_slot m_slot{m_wake};
    caller_table m_table;
};

// Guards against a caller that waits for ever, or takes the answer of another call.
TEST_F(node_caller_table, wakes_the_caller_of_the_answer)
{
    m_table.insert(1, m_slot);
    std::thread other([this] {
        m_table.complete(2, {500, {}, nullptr});
        m_table.complete(1, {200, {}, nullptr});
        m_table.complete(1, {500, {}, nullptr}); // Too late: the slot may be gone.
    });
    EXPECT_TRUE(m_slot.wait(m_sockets[0]));
    other.join();
    EXPECT_EQ(m_slot.response().status, 200);
    EXPECT_FALSE(m_wake.consume());
}

// Guards against a request that keeps running although its caller has gone.
TEST_F(node_caller_table, notices_a_caller_that_closes)
{
    m_table.insert(1, m_slot);
    std::thread caller([this] { closeCaller(); });
    EXPECT_FALSE(m_slot.wait(m_sockets[0]));
    caller.join();
}

// Guards against pipelined bytes being taken for a closed connection, and against losing an answer
// that is there when the caller closes.
TEST_F(node_caller_table, an_answer_wins_over_other_events)
{
    m_table.insert(1, m_slot);
    static_cast<void>(write(m_sockets[1], "GET", 3));
    closeCaller();
    m_table.complete(1, {200, {}, nullptr});
    EXPECT_TRUE(m_slot.wait(m_sockets[0]));
}

} // namespace
} // namespace tamarackridge
