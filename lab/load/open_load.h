// An open-loop load: calls are sent at times drawn beforehand, whether or not earlier ones have ended.
//
//     OpenLoad load(balancer, {.workspaces = {...}, .seed = 7});
//     std::vector<CallRecord> records = load.run({.rps = 200, .duration = Millis(5000)});
//
// Prompts share long prefixes, some of them far more often than others.

#pragma once

#include "load/caller.h"

#include "ibislock/base/random.h"

#include <atomic>

namespace ibislock::lab
{

/// One workspace's part in the load.
struct WorkspaceLoad
{
    std::string credential;
    double share = 1; ///< Of the calls.
};

/// What the load is made of.
struct OpenLoadOptions
{
    std::vector<WorkspaceLoad> workspaces;
    std::uint64_t tokens = 16;
    unsigned prefixes = 40; ///< Different shared prefixes.
    std::size_t prefixBytes = 4096;
    std::size_t ownBytes = 256; ///< The part of a prompt that is its own.
    double streams = 0.5; ///< Share of the completions that stream.
    double services = 0; ///< Share of the calls that go to plain services.
    double lowPriority = 0.2; ///< Share of the calls at low priority.
    bool impatient = false; ///< Callers repeat refused calls at once, up to a limit.
    unsigned callers = 400; ///< Calls in progress at the same time, at most.
    std::uint64_t seed = 1;
};

/// One phase of a load.
struct LoadPhase
{
    double rps = 100; ///< Zero for a closed loop: each caller sends when its last call has ended.
    Millis duration{5000};
    unsigned callers = 0; ///< Zero for those of the options.
};

/// The load.
class OpenLoad
{
public:
    OpenLoad(const Balancer &balancer, OpenLoadOptions options);

    /// Runs one phase and waits for its calls.
    std::vector<CallRecord> run(const LoadPhase &phase);

private:
    struct Planned
    {
        std::size_t workspace = 0;
        double atMs = 0;
        Call call;
    };

    Planned plan(double atMs);
    std::vector<Planned> planAll(const LoadPhase &phase, double beginMs);
    void work(std::size_t caller, const LoadPhase &phase, const std::vector<Planned> &plan, double endMs,
              std::vector<CallRecord> &records);
    CallRecord carryOut(Caller &caller, const Planned &planned) const;

    const Balancer &m_balancer;
    OpenLoadOptions m_options;
    std::mutex m_mutex;
    Random m_random;
    std::uint64_t m_planned = 0;
    std::atomic<std::size_t> m_next = 0;
};

} // namespace ibislock::lab
