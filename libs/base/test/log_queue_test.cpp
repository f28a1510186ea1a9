#include "ibislock/base/log_queue.h"

#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

namespace ibislock
{

namespace
{

/// A pipe from which a test reads explicitly.
struct Pipe
{
    std::array<int, 2> ends{};

    Pipe()
    {
        EXPECT_EQ(pipe(ends.data()), 0);
    }

    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readSome() const
    {
        std::string out(1 << 20, '\0');
        const ssize_t n = read(ends[0], out.data(), out.size());
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }
};

TEST(LogQueueTest, WritesLinesInOrder)
{
    const Pipe pipe;
    LogQueue queue(pipe.ends[1]);
    queue.push("a", "one", Millis{0});
    queue.push("b", "two", Millis{0});
    queue.flush();
    EXPECT_EQ(pipe.readSome(), "one\ntwo\n");
}

TEST(LogQueueTest, APipeThatIsNotReadNeverBlocksTheWriter)
{
    const Pipe pipe;
    LogQueue queue(pipe.ends[1]);
    const std::string line(1000, 'x');
    for (int n = 0; n < 5000; ++n) {
        queue.push("kind", line, Millis{n * 100});
        queue.flush();
    }
    EXPECT_GT(queue.dropped(), 0U);
}

TEST(LogQueueTest, LinesBeyondTheRateLimitOfAKindAreCounted)
{
    const Pipe pipe;
    LogQueue queue(pipe.ends[1]);
    for (int n = 0; n < LogLinesPerKindPerSecond + 5; ++n) {
        queue.push("kind", "line", Millis{0});
    }
    queue.push("kind", "next", Millis{1000});
    queue.flush();
    EXPECT_EQ(queue.dropped(), 5U);
    EXPECT_NE(pipe.readSome().find("kind=\"kind\" count=5\nnext\n"), std::string::npos);
}

} // namespace

} // namespace ibislock
