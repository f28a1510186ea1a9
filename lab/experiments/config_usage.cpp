#include "experiments/config_usage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace ibislock::lab
{

namespace
{

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentMib()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

} // namespace

Usage usageNow(Deployment &deployment)
{
    Usage usage{.at = steadyMillis(),
                .cpuSeconds = cpuSeconds(),
                .residentMib = residentMib(),
                .logReads = deployment.log().reads()};
    const auto add = [&usage](const auto &vm) {
        usage.gossipBytes += vm.daemon ? vm.daemon->counters().value(Counter::GossipBytes) : 0;
    };
    for (const EntryVm &vm : deployment.entries()) {
        add(vm);
    }
    usage.entryGossipBytes = usage.gossipBytes;
    usage.entries = deployment.entries().size();
    for (const TargetVm &vm : deployment.targets()) {
        add(vm);
    }
    return usage;
}

DaemonUsage usageBetween(const Usage &begin, const Usage &end, unsigned daemons)
{
    const double seconds = std::chrono::duration<double>(end.at - begin.at).count();
    const auto perDaemon = [&](double total) {
        return seconds > 0 && daemons > 0 ? total / seconds / daemons : 0;
    };
    // A restarted daemon counts from zero again; the difference is then too small, never negative.
    const std::uint64_t bytes = end.gossipBytes > begin.gossipBytes ? end.gossipBytes - begin.gossipBytes : 0;
    const std::uint64_t entryBytes =
        end.entryGossipBytes > begin.entryGossipBytes ? end.entryGossipBytes - begin.entryGossipBytes : 0;
    return {.cpuPercent = 100 * perDaemon(end.cpuSeconds - begin.cpuSeconds),
            .residentMib = daemons > 0 ? end.residentMib / daemons : 0,
            .bytesPerSecond = perDaemon(static_cast<double>(bytes)),
            .entryBytesPerSecond = seconds > 0 && end.entries > 0
                ? static_cast<double>(entryBytes) / seconds / static_cast<double>(end.entries)
                : 0,
            .logReadsPerSecond = seconds > 0 ? static_cast<double>(end.logReads - begin.logReads) / seconds : 0};
}

} // namespace ibislock::lab
