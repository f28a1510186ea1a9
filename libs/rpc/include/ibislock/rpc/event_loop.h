// The kj event loop that carries all RPC of a process, on a thread of its own.
//
//     EventLoop loop;
//     int value = loop.call([] { return 1; });     // runs on the loop, waits for the result
//
// Everything that belongs to kj is created, used and destroyed inside `call`. A function that returns a kj promise
// makes `call` wait until the promise resolves.

#pragma once

#include "ibislock/rpc/handoff.h"

#include <kj/async-io.h>
#include <thread>
#include <type_traits>
#include <utility>

namespace ibislock::rpc
{

/// Owns the loop and its thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop() noexcept;

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs a function on the loop and waits for its result. Must not be called from the loop's own thread.
    template <typename Function>
    auto call(Function &&function) const
    {
        if constexpr (Handoff::IsSeen) {
            return callSeen(std::forward<Function>(function));
        } else {
            return m_executor->executeSync(std::forward<Function>(function));
        }
    }

    /// Gives the loop's input and output; for use inside `call` only.
    kj::AsyncIoContext &io() const
    {
        return *m_io;
    }

private:
    /// Ends a hand-over when its scope ends.
    struct Release
    {
        Handoff &handoff;

        ~Release()
        {
            handoff.release();
        }
    };

    /// Takes over from another thread when its scope ends.
    struct Acquire
    {
        Handoff &handoff;

        ~Acquire()
        {
            handoff.acquire();
        }
    };

    template <typename T>
    struct IsPromise : std::false_type
    {
    };

    template <typename T>
    struct IsPromise<kj::Promise<T>> : std::true_type
    {
    };

    /// As `call`, with what kj orders told to the thread sanitiser.
    template <typename Function>
    auto callSeen(Function &&function) const
    {
        using Returned = std::invoke_result_t<Function>;
        Handoff there;
        Handoff back;
        there.release();
        const Acquire acquire{back};
        return m_executor->executeSync([&]() -> Returned {
            there.acquire();
            if constexpr (kj::isSameType<Returned, kj::Promise<void>>()) {
                return function().then([&back] { back.release(); });
            } else if constexpr (IsPromise<Returned>::value) {
                return function().then([&back](auto &&value) {
                    back.release();
                    return kj::mv(value);
                });
            } else {
                const Release release{back};
                return function();
            }
        });
    }

    kj::Own<const kj::Executor> m_executor;
    kj::AsyncIoContext *m_io = nullptr;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stop;
    std::thread m_thread;
};

} // namespace ibislock::rpc
