// A one-shot timer on the event loop whose handler never runs after the timer was cancelled, restarted or destroyed.
//
//     Timer timer(loop);
//     timer.start(Millis{100}, [this] { onTimeout(); });
//     timer.cancel();   // onTimeout() won't be called, even if the timer had already expired

#pragma once

#include "ibislock/base/clock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace ibislock::net
{

/// Calls a handler once after a delay. Asio's own timers can't revoke the handler of a timer that has already expired
/// when it is cancelled or destroyed: the handler is queued and runs without an error.
class Timer
{
public:
    /// @param loop outlives the timer.
    explicit Timer(asio::io_context &loop);

    /// Cancels the timer.
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Schedules a handler, which replaces one that has not run yet.
    /// @param time delay from now; 0 or less for the next iteration of the loop.
    /// @param handler may start or destroy the timer.
    void start(Millis time, std::function<void()> handler);

    /// Cancels the handler if it has not run yet.
    void cancel();

private:
    asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t>
        m_generation; ///< Incremented by each start and cancellation; queued handlers keep it alive.
};

} // namespace ibislock::net
