#include "ibislock/net/timer.h"

namespace ibislock::net
{

Timer::Timer(asio::io_context &loop)
    : m_timer(loop)
    , m_generation(std::make_shared<std::uint64_t>(0))
{
}

Timer::~Timer()
{
    cancel();
}

void Timer::start(Millis time, std::function<void()> handler)
{
    m_timer.expires_after(time);
    m_timer.async_wait(
        [current = m_generation, round = ++*m_generation, handler = std::move(handler)](const asio::error_code &ec) {
            if (!ec && round == *current) {
                handler();
            }
        });
}

void Timer::cancel()
{
    ++*m_generation;
    m_timer.cancel();
}

} // namespace ibislock::net
