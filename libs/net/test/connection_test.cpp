#include "ibislock/net/connection.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

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

} // namespace

} // namespace ibislock::net
