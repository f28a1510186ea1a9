// Tells the thread sanitiser what kj's executor orders: kj is not instrumented, so the sanitiser does not see that a
// call into the event loop starts after everything that its caller did, and returns after everything that the loop did
// for it. Without the sanitiser nothing of this is left.
//
//     Handoff handoff;
//     handoff.release();    // one thread, before it hands over
//     handoff.acquire();    // the other thread, before it goes on

#pragma once

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace ibislock::rpc
{

/// One handing over from a thread to another.
class Handoff
{
public:
#if defined(__SANITIZE_THREAD__)
    static constexpr bool IsSeen = true;

    void release()
    {
        __tsan_release(this);
    }

    void acquire()
    {
        __tsan_acquire(this);
    }
#else
    static constexpr bool IsSeen = false;

    void release() const
    {
    }

    void acquire() const
    {
    }
#endif
};

} // namespace ibislock::rpc
