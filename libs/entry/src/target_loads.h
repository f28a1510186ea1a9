// What this entry process knows of each target's load: what it has in progress there, and what it has learnt of late.
//
//     TargetLoads loads;
//     std::shared_ptr<TargetLoad> load = loads.of("target1");

#pragma once

#include "ibislock/base/clock.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ibislock::entry
{

/// One target, as seen from this entry process. All members may be used from any thread.
struct TargetLoad
{
    std::uint32_t id = 0; ///< Short name within this process.
    std::uint64_t affinity = 0; ///< Hash of the target's name; the same in every process.
    std::atomic<std::uint32_t> inProgress = 0; ///< Requests from here.
    std::atomic<std::uint32_t> reported = 0; ///< Requests that the last report leaves to others.
    std::atomic<std::uint64_t> sequence = 0; ///< Of the last report.
    std::atomic<std::int64_t> avoidUntilMs = 0; ///< It refused or broke of late.
};

/// Notes a report. The requests from here that it counts are taken off, since `inProgress` has them exactly.
void noteReport(TargetLoad &load, std::uint64_t sequence, std::uint32_t running);

/// Gives what a target has in progress: what others had by the last report, and what this process has now.
std::uint32_t loadOf(const TargetLoad &load);

/// The loads of all targets.
class TargetLoads
{
public:
    /// Gives the load of a target; it stays the same object.
    std::shared_ptr<TargetLoad> of(const std::string &vm);

private:
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<TargetLoad>> m_loads;
};

} // namespace ibislock::entry
