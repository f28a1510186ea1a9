// Callers that leave: nothing is sent for them any more, and what was sent is cancelled at its target.

#include "front_fixture.h"

#include <array>
#include <asio/write.hpp>
#include <poll.h>

namespace ibislock::front
{

namespace
{

/// Longest wait for what must come.
constexpr Millis PatienceTime{3000};

/// A target that accepts connections in its own time, as one does whose VM is slow, and reads only when told.
class SlowTarget
{
public:
    explicit SlowTarget(asio::io_context &loop)
        : m_acceptor(loop)
        , m_socket(loop)
    {
        m_acceptor.open(asio::ip::tcp::v4());
        // Inherited by accepted connections, so that most of a request stays at its sender.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        m_acceptor.bind({asio::ip::make_address_v4("127.0.0.1"), 0});
        m_acceptor.listen();
    }

    std::string listing() const
    {
        return R"({"Service":"s","Address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port())
            + R"(","Zone":"a","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Sequence":1})";
    }

    /// Returns whether the system has accepted a connection that the target hasn't yet.
    bool hasConnection()
    {
        pollfd poll{.fd = m_acceptor.native_handle(), .events = POLLIN, .revents = 0};
        return ::poll(&poll, 1, 0) > 0;
    }

    void accept()
    {
        m_acceptor.accept(m_socket);
        m_socket.non_blocking(true);
    }

    /// Reads while the loop runs, until the connection ends.
    /// @return how many bytes came; nothing if the connection didn't end.
    std::optional<std::size_t> readToEnd(asio::io_context &loop)
    {
        std::size_t out = 0;
        const Millis end = steadyMillis() + PatienceTime;
        std::array<char, 4096> buffer{};
        while (steadyMillis() < end) {
            asio::error_code ec;
            out += m_socket.read_some(asio::buffer(buffer), ec);
            if (ec && ec != asio::error::would_block) {
                return out;
            }
            if (ec) {
                loop.run_for(Millis{5});
            }
        }
        return std::nullopt;
    }

private:
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_socket;
};

class FrontDepartureTest : public FrontTest
{
protected:
    /// Connects a caller and writes all bytes before the loop goes on.
    asio::ip::tcp::socket connectAndSend(const std::string &bytes)
    {
        asio::ip::tcp::socket out(m_loop);
        out.connect({asio::ip::make_address_v4("127.0.0.1"), m_daemon.callerPort()});
        asio::write(out, asio::buffer(bytes));
        return out;
    }

    std::string message(const std::string &path, std::size_t bodyBytes = 4)
    {
        return writeRequest(request(path), std::string(bodyBytes, 'b'));
    }

    template <typename Holds>
    bool runUntil(Holds holds)
    {
        const Millis end = steadyMillis() + PatienceTime;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
        return holds();
    }
};

// The end of a connection is read behind its request, and the request was sent in between.
TEST_F(FrontDepartureTest, ARequestWhoseCallerHasLeftIsNotSent)
{
    list(m_first);
    start();
    for (const char *path : {"/often/x", "/once/x", "/events/x"}) {
        connectAndSend(message(path)).close();
    }
    runFor(Millis{200});
    EXPECT_EQ(runs(), 0U);
}

// An event loop that was late read the end of the caller's connection only after it had sent the request again.
TEST_F(FrontDepartureTest, ARequestIsNotSentAgainAfterItsCallerHasLeft)
{
    m_first.behaviour = m_second.behaviour = TargetBehaviour::Silent;
    list(m_first);
    list(m_second);
    start();
    asio::ip::tcp::socket caller = connectAndSend(message("/often/x"));
    ASSERT_TRUE(runUntil([&] { return runs() == 1; }));
    // The check for silent targets is due and queued when the caller leaves.
    asio::post(m_loop, [&] {
        std::this_thread::sleep_for(Millis{400});
        asio::post(m_loop, [&] { asio::post(m_loop, [&] { caller.close(); }); });
    });
    runFor(Millis{600});
    EXPECT_EQ(runs(), 1U);
    EXPECT_EQ(m_first.open + m_second.open, 0);
}

// Reading from a caller is paused while it has sent too much ahead, and the end of its connection was never read.
TEST_F(FrontDepartureTest, ACallerThatHasSentAheadIsSeenToLeave)
{
    m_first.behaviour = TargetBehaviour::Silent;
    list(m_first);
    start();
    asio::ip::tcp::socket caller = connectAndSend(message("/events/x") + message("/events/x", 120'000));
    ASSERT_TRUE(runUntil([&] { return runs() == 1; }));
    runFor(Millis{100});
    EXPECT_EQ(m_first.open, 1);
    caller.close();
    runFor(Millis{100});
    EXPECT_EQ(m_first.open, 0);
    EXPECT_EQ(runs(), 1U);
}

// The connection to a target was established after the caller had left, and the request was written to it.
TEST_F(FrontDepartureTest, NothingIsWrittenToAConnectionThatIsEstablishedAfterTheCallerHasLeft)
{
    SlowTarget target(m_loop);
    m_store.append("i-9", target.listing());
    start();
    asio::ip::tcp::socket caller = connectAndSend(message("/once/x"));
    const Millis end = steadyMillis() + PatienceTime;
    while (!target.hasConnection() && steadyMillis() < end) {
        m_loop.run_one_for(std::chrono::milliseconds(5));
    }
    ASSERT_TRUE(target.hasConnection());
    caller.close();
    runFor(Millis{100});
    target.accept();
    EXPECT_EQ(target.readToEnd(m_loop), 0U);
}

// Bytes that the system had taken for a slow connection were still sent after the connection was closed.
TEST_F(FrontDepartureTest, WhatIsQueuedForASlowTargetIsDiscardedWhenTheCallerLeaves)
{
    SlowTarget target(m_loop);
    m_store.append("i-9", target.listing());
    start();
    constexpr std::size_t BodyBytes = 100'000;
    asio::ip::tcp::socket caller = connectAndSend(message("/once/x", BodyBytes));
    ASSERT_TRUE(runUntil([&] { return target.hasConnection(); }));
    target.accept();
    runFor(Millis{100});
    caller.close();
    runFor(Millis{100});
    const std::optional<std::size_t> bytes = target.readToEnd(m_loop);
    ASSERT_TRUE(bytes);
    EXPECT_LT(*bytes, BodyBytes);
}

// A caller that stays gets its answer, although it has sent its next request ahead.
TEST_F(FrontDepartureTest, ACallerThatHasSentAheadAndStaysIsAnswered)
{
    m_first.behaviour = TargetBehaviour::Late;
    list(m_first);
    start();
    asio::ip::tcp::socket caller = connectAndSend(message("/once/x") + message("/once/x", 200'000));
    EXPECT_TRUE(runUntil([&] { return runs() == 2; }));
    runFor(Millis{500});
    std::array<char, 65536> buffer{};
    caller.non_blocking(true);
    std::string read;
    asio::error_code ec;
    for (std::size_t n = caller.read_some(asio::buffer(buffer), ec); !ec;
         n = caller.read_some(asio::buffer(buffer), ec)) {
        read.append(buffer.data(), n);
    }
    EXPECT_NE(read.find("from i-1"), read.rfind("from i-1")) << "two answers";
}

} // namespace

} // namespace ibislock::front
