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
    response_waiter m_waiter{m_wake};
    caller_table m_table;
};

// Guards against a caller that waits forever, or receives the response to another call.
TEST_F(node_caller_table, wakes_the_caller_of_the_completed_call)
{
    m_table.insert(1, m_waiter);
    std::thread other([this] {
        m_table.complete(2, {500, {}, nullptr});
        m_table.complete(1, {200, {}, nullptr});
        m_table.complete(
                1,
                {500,
                 {},
                 nullptr}); // Ignored: the call is complete, so the waiter may have been destroyed.
    });
    EXPECT_TRUE(m_waiter.wait(m_sockets[0]));
    other.join();
    EXPECT_EQ(m_waiter.response().status, 200);
    EXPECT_FALSE(m_wake.consume());
}

// Guards against a request that keeps running after its caller has closed the connection.
TEST_F(node_caller_table, detects_a_caller_that_closes)
{
    m_table.insert(1, m_waiter);
    std::thread caller([this] { closeCaller(); });
    EXPECT_FALSE(m_waiter.wait(m_sockets[0]));
    caller.join();
}

// Guards against pipelined bytes being mistaken for a closed connection, and against losing a
// response that is available when the caller closes its connection.
TEST_F(node_caller_table, a_response_has_precedence_over_other_events)
{
    m_table.insert(1, m_waiter);
    static_cast<void>(write(m_sockets[1], "GET", 3));
    closeCaller();
    m_table.complete(1, {200, {}, nullptr});
    EXPECT_TRUE(m_waiter.wait(m_sockets[0]));
}

} // namespace
} // namespace tamarackridge
