// A timer on the event loop whose handler never runs once it was cancelled or started anew.
//
//     Timer timer(loop);
//     timer.start(Millis{100}, [this] { giveUp(); });
//     timer.cancel();   // giveUp() will not be called, even if the time was up already

#pragma once

#include "ibislock/base/clock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace ibislock::net
{

/// Calls a handler once after some time. Asio's own timers can't take back a handler whose time was up when they are
/// cancelled: it is queued, and runs as if nothing had happened. So do handlers of a timer that is gone.
class Timer
{
public:
    /// @param loop outlives the timer.
    explicit Timer(asio::io_context &loop);

    /// Cancels.
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls a handler later, in place of one that has not run yet.
    /// @param time from now on; nothing or less for the next turn of the loop.
    /// @param handler may start or destroy the timer.
    void start(Millis time, std::function<void()> handler);

    /// Drops the handler if it has not run yet.
    void cancel();

private:
    asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t>
        m_round; ///< Counts starts and cancellations; outlives the timer with queued handlers.
};

} // namespace ibislock::net
