// A load generator: callers that send completions to entry VMs and check every answer.
//
//     Load load({.entries = {"http://127.0.0.1:8080"}, .credential = "...", .callers = 8});
//     load.start();
//     ...
//     LoadResult result = load.finish();

#pragma once

#include "ibislock/base/clock.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ibislock::lab
{

/// Who calls what.
struct LoadOptions
{
    std::vector<std::string> entries; ///< URLs of the callers' interfaces.
    std::string credential;
    std::string role = "forecast";
    unsigned callers = 8;
    std::uint64_t tokens = 16;
    Millis pause{5}; ///< Between two calls of one caller.
    std::uint64_t seed = 1;
};

/// What became of the calls.
struct LoadResult
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< Told as failed after start.
    std::uint64_t unknown = 0; ///< Told as unknown, or the entry VM went away.
    std::uint64_t unreachable = 0; ///< No entry VM took the call, so that it was never sent.
    std::uint64_t wrong = 0; ///< Another caller's answer, mixed weights, or a part told as the whole.
    std::vector<double> latenciesMs; ///< Of the answered calls.
    std::vector<std::string> refusedPrompts; ///< Told as refused and not run; no engine may have run them.
};

/// Gives a quantile of some values; zero when there are none.
double quantile(std::vector<double> values, double q);

/// Callers in a closed loop, half of them streaming.
class Load
{
public:
    explicit Load(LoadOptions options);
    ~Load();

    void start();

    /// Ends the load and waits for the calls in progress.
    LoadResult finish();

    /// Gives the counts so far.
    LoadResult snapshot() const;

private:
    void call(unsigned caller);

    LoadOptions m_options;
    mutable std::mutex m_mutex;
    LoadResult m_result;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace ibislock::lab
