#include "ibislock/rpc/event_loop.h"

#include <future>

namespace ibislock::rpc
{

EventLoop::EventLoop()
{
    std::promise<void> started;
    m_thread = std::thread([this, &started] {
        auto io = kj::setupAsyncIo();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        m_io = &io;
        m_stop = kj::mv(stop.fulfiller);
        m_executor = kj::getCurrentThreadExecutor().addRef();
        started.set_value();
        stop.promise.wait(io.waitScope);
    });
    started.get_future().wait();
}

EventLoop::~EventLoop() noexcept
{
    m_stop->fulfill();
    m_thread.join();
}

} // namespace ibislock::rpc
