#include "experiments/config_watch.h"

#include <algorithm>
#include <cmath>

namespace ibislock::lab
{

namespace
{

/// A fault that held a daemon up while a ticket was on its way.
const Disturbance *overlapping(const WatchedDaemon &daemon, Millis accepted, Millis seen)
{
    const Disturbance *last = nullptr;
    for (const Disturbance &it : daemon.disturbances) {
        if (it.begin <= seen && it.end >= accepted && (last == nullptr || it.end > last->end)) {
            last = &it;
        }
    }
    return last;
}

void closeDisturbance(const Watch &watch, WatchedDaemon &daemon, Millis now)
{
    if (daemon.disturbances.empty() || daemon.disturbances.back().end != Millis::max()) {
        return;
    }
    daemon.disturbances.back().end = now;
    daemon.releasedAt = now;
    daemon.behind = watch.acceptedAt.empty() ? 0 : watch.acceptedAt.rbegin()->first;
}

void noteCaughtUp(Watch &watch, WatchedDaemon &daemon, Millis now)
{
    if (daemon.behind == 0 || daemon.lastTicket < daemon.behind) {
        return;
    }
    daemon.behind = 0;
    watch.catchUpMaxMs = std::max(watch.catchUpMaxMs, static_cast<double>((now - daemon.releasedAt).count()));
}

} // namespace

void observe(Watch &watch, const std::string &daemon, const Sample &sample, Millis now)
{
    WatchedDaemon &watched = watch.daemons[daemon];
    if (sample.lastTicket < watched.lastTicket) {
        ++watch.reverted;
    }
    for (std::uint64_t number = 1; number <= sample.lastTicket; ++number) {
        watched.seen.emplace(number, now);
        watch.acceptedAt.emplace(number, now);
    }
    watched.lastTicket = sample.lastTicket;
    noteCaughtUp(watch, watched, now);
    if (sample.lastTicket != 0
        && watch.contents.emplace(sample.lastTicket, sample.lastContent).first->second != sample.lastContent) {
        ++watch.doubleAccepted;
    }
}

void noteUp(Watch &watch, const std::string &daemon, Millis now)
{
    WatchedDaemon &watched = watch.daemons[daemon];
    watched.lastTicket = 0;
    watched.isUp = true;
    closeDisturbance(watch, watched, now);
}

void noteDown(Watch &watch, const std::string &daemon, Millis now)
{
    watch.daemons[daemon].isUp = false;
    noteDisturbed(watch, daemon, now);
}

void noteDisturbed(Watch &watch, const std::string &daemon, Millis now)
{
    WatchedDaemon &watched = watch.daemons[daemon];
    if (watched.disturbances.empty() || watched.disturbances.back().end != Millis::max()) {
        watched.disturbances.push_back({.begin = now});
    }
}

void noteUndisturbed(Watch &watch, const std::string &daemon, Millis now)
{
    closeDisturbance(watch, watch.daemons[daemon], now);
}

bool isEverywhere(const Watch &watch, std::uint64_t ticket)
{
    return std::all_of(watch.daemons.begin(), watch.daemons.end(),
                       [ticket](const auto &entry) { return !entry.second.isUp || entry.second.lastTicket >= ticket; });
}

InForceTimes inForceTimes(const Watch &watch)
{
    InForceTimes times;
    for (const auto &[number, accepted] : watch.acceptedAt) {
        double slowest = 0;
        for (const auto &[name, daemon] : watch.daemons) {
            const auto seen = daemon.seen.find(number);
            if (seen == daemon.seen.end()) {
                times.missing += daemon.isUp ? 1 : 0;
                continue;
            }
            const Disturbance *fault = overlapping(daemon, accepted, seen->second);
            if (fault == nullptr) {
                slowest = std::max(slowest, static_cast<double>((seen->second - accepted).count()));
            }
        }
        times.undisturbedMs.push_back(slowest);
    }
    return times;
}

double shareOf(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace ibislock::lab
