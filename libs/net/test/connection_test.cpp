#include "ibislock/net/connection.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <array>

namespace ibislock::net
{

namespace
{

/// Limits the number of file descriptors of the process during its lifetime.
class FewDescriptors
{
public:
    explicit FewDescriptors(rlim_t limit)
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit few{.rlim_cur = limit, .rlim_max = m_before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &few);
    }

    ~FewDescriptors()
    {
        setrlimit(RLIMIT_NOFILE, &m_before);
    }

    FewDescriptors(const FewDescriptors &) = delete;
    FewDescriptors &operator=(const FewDescriptors &) = delete;

private:
    rlimit m_before{};
};

// Without a free descriptor, accept fails and the socket stays readable: an immediate retry would spin the loop.
TEST(ListenerTest, WithoutFreeDescriptorsAcceptIsRetriedWithoutSpinning)
{
    asio::io_context loop;
    std::vector<std::shared_ptr<Connection>> accepted;
    Listener listener(loop, [&](const std::shared_ptr<Connection> &connection) { accepted.push_back(connection); });
    ASSERT_FALSE(listener.open("127.0.0.1", 0));
    asio::ip::tcp::socket caller(loop);
    asio::error_code ec;
    caller.connect({asio::ip::make_address_v4("127.0.0.1"), listener.port()}, ec);
    ASSERT_FALSE(ec);
    std::size_t handlers = 0;
    {
        const FewDescriptors none(3); // All of them are in use.
        handlers = loop.run_for(std::chrono::milliseconds(300));
    }
    EXPECT_TRUE(accepted.empty());
    EXPECT_LT(handlers, 50U);
    loop.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(accepted.size(), 1U);
}

/// A connection to a peer on loopback, whose side is a plain socket.
class GracefulCloseTest : public testing::Test
{
protected:
    GracefulCloseTest()
        : m_listener(m_loop, [this](const std::shared_ptr<Connection> &accepted) {
            m_connection = accepted;
            accepted->start({.data = [this](std::string_view) { ++m_events; },
                             .closed = [this](CloseReason) { ++m_events; },
                             .drained =
                                 [this] {
                                     ++m_events;
                                 }});
        })
    {
        m_listener.open("127.0.0.1", 0);
        m_peer.connect({asio::ip::make_address_v4("127.0.0.1"), m_listener.port()});
        m_peer.non_blocking(true);
        runUntil([this] { return m_connection != nullptr; });
    }

    /// Closes the connection gracefully, which then only keeps itself alive.
    void closeGracefully(const DiscardLimits &limits)
    {
        m_closing = m_connection;
        std::exchange(m_connection, nullptr)->closeGracefully(m_loop, limits);
    }

    /// @return whether a condition became true within 5 s.
    bool runUntil(const std::function<bool()> &condition)
    {
        const Millis end = steadyMillis() + Millis{5000};
        while (!condition() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    /// Sends bytes from the peer.
    /// @return whether the connection took all of them.
    bool send(std::size_t bytes)
    {
        const std::string part(10000, 'p');
        asio::error_code ec;
        for (std::size_t sent = 0; sent < bytes && (!ec || ec == asio::error::would_block);) {
            sent += m_peer.write_some(asio::buffer(part.data(), std::min(part.size(), bytes - sent)), ec);
            m_loop.poll();
        }
        return !ec || ec == asio::error::would_block;
    }

    /// Receives at the peer until the connection ends.
    /// @return the number of bytes, and how it ended.
    std::pair<std::size_t, asio::error_code> receive()
    {
        std::size_t received = 0;
        asio::error_code ec;
        runUntil([&] {
            std::array<char, 65536> buffer{};
            received += m_peer.read_some(asio::buffer(buffer), ec);
            return ec && ec != asio::error::would_block;
        });
        return {received, ec};
    }

    asio::io_context m_loop;
    std::shared_ptr<Connection> m_connection;
    std::weak_ptr<Connection> m_closing;
    int m_events = 0;
    Listener m_listener;
    asio::ip::tcp::socket m_peer{m_loop};
};

// A close with unread bytes reset the connection.
TEST_F(GracefulCloseTest, APeerThatIsStillSendingReceivesWhatWasWrittenAndAnOrderlyEnd)
{
    m_connection->write("answer");
    closeGracefully({});
    EXPECT_TRUE(send(2000000));
    EXPECT_EQ(receive(), std::pair(std::size_t{6}, asio::error_code(asio::error::eof)));
    EXPECT_FALSE(m_closing.expired()) << "the peer has not closed its side";
    m_peer.close();
    EXPECT_TRUE(runUntil([this] { return m_closing.expired(); }));
    EXPECT_EQ(m_events, 0);
}

TEST_F(GracefulCloseTest, APeerThatStaysIsClosedAfterTheTime)
{
    closeGracefully({.time = Millis{100}});
    EXPECT_TRUE(runUntil([this] { return m_closing.expired(); }));
    EXPECT_EQ(m_events, 0);
}

TEST_F(GracefulCloseTest, APeerThatSendsWithoutEndIsClosedAfterTheBytes)
{
    closeGracefully({.time = Millis{60000}, .bytes = 100000});
    EXPECT_FALSE(send(50000000));
    EXPECT_TRUE(runUntil([this] { return m_closing.expired(); }));
    EXPECT_EQ(m_events, 0);
}

// A peer that closes its sending side behind its request still waits for the response.
TEST_F(GracefulCloseTest, APeerThatHasClosedItsSideReceivesAllQueuedBytes)
{
    const std::size_t bytes = 8000000;
    m_connection->write(std::string(bytes, 'w'));
    ASSERT_GT(m_connection->queuedBytes(), 0U);
    closeGracefully({.time = Millis{60000}});
    m_peer.shutdown(asio::ip::tcp::socket::shutdown_send);
    m_loop.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(receive(), std::pair(bytes, asio::error_code(asio::error::eof)));
    EXPECT_TRUE(runUntil([this] { return m_closing.expired(); }));
}

// The pending handlers own the connection, its timer and each other.
TEST_F(GracefulCloseTest, TheLoopMayEndBeforeTheConnection)
{
    m_connection->write(std::string(8000000, 'w'));
    closeGracefully({.time = Millis{60000}});
    m_loop.poll();
    EXPECT_FALSE(m_closing.expired()) << "what is destroyed with the loop";
}

} // namespace

} // namespace ibislock::net
