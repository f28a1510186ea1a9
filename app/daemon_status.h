// The state of the daemons on the users' platform, read from their metrics.
//
//     std::cout << describeDaemons({{"10.0.0.1:9464", metricsFrom(text)}});

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibislock::app
{

/// Values by name, with labels as they are written.
using Metrics = std::map<std::string, double, std::less<>>;

/// Reads the text exposition format; lines that hold no number are skipped.
Metrics metricsFrom(std::string_view text);

/// A daemon and what it says; nothing if it does not answer.
struct DaemonAnswer
{
    std::string address;
    std::optional<Metrics> metrics;
};

/// Writes a line for each daemon.
std::string describeDaemons(const std::vector<DaemonAnswer> &daemons);

/// Asks daemons for their metrics and prints a line for each.
/// @param addresses IP:PORT, separated by commas.
/// @return the exit code: Unreachable if one did not answer.
int showDaemons(const std::string &addresses);

} // namespace ibislock::app
