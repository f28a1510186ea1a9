#include "daemon_status.h"

#include "exit_codes.h"

#include <algorithm>
#include <charconv>
#include <httplib.h>
#include <iostream>
#include <sstream>

namespace ibislock::app
{

namespace
{

/// How long a daemon may take to answer.
constexpr int AnswerSeconds = 2;

std::string numberIn(const Metrics &metrics, std::string_view name)
{
    const auto it = metrics.find(name);
    return it == metrics.end() ? "unknown" : std::to_string(static_cast<long long>(it->second));
}

/// The label of the only value of a metric that is 1.
std::string labelIn(const Metrics &metrics, const std::string &name)
{
    for (const auto &[key, value] : metrics) {
        const std::size_t from = key.find('"');
        if (key.starts_with(name + "{") && value == 1 && from != std::string::npos) {
            return key.substr(from + 1, key.rfind('"') - from - 1);
        }
    }
    return "unknown";
}

/// The sum of a metric's values whose keys hold a text.
std::string sumIn(const Metrics &metrics, const std::string &name, std::string_view part)
{
    double sum = 0;
    bool known = false;
    for (const auto &[key, value] : metrics) {
        const bool counts = key.starts_with(name + "{") && key.find(part) != std::string::npos;
        sum += counts ? value : 0;
        known = known || counts;
    }
    return known ? std::to_string(static_cast<long long>(sum)) : "unknown";
}

std::string describeEntry(const Metrics &metrics)
{
    const auto away = metrics.find("ibislock_store_away");
    return "entry   state " + numberIn(metrics, "ibislock_state_version") + ", targets "
        + numberIn(metrics, "ibislock_targets") + ", answered " + sumIn(metrics, "ibislock_requests_total", "answered")
        + ", refused " + sumIn(metrics, "ibislock_requests_total", "refused") + ", waiting "
        + numberIn(metrics, "ibislock_waiting")
        + (away != metrics.end() && away->second > 0 ? ", the store is away" : "");
}

std::string describeTarget(const Metrics &metrics)
{
    return "target  weights " + numberIn(metrics, "ibislock_weights_version") + " of "
        + numberIn(metrics, "ibislock_weights_wanted_version") + ", " + labelIn(metrics, "ibislock_weights_phase")
        + ", pieces " + numberIn(metrics, "ibislock_weights_staged_pieces") + "/"
        + numberIn(metrics, "ibislock_weights_pieces") + ", running " + numberIn(metrics, "ibislock_engine_running")
        + ", queued " + numberIn(metrics, "ibislock_engine_queued");
}

} // namespace

Metrics metricsFrom(std::string_view text)
{
    Metrics out;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t space = line.rfind(' ');
        if (line.starts_with("#") || space == std::string_view::npos) {
            continue;
        }
        double value = 0;
        const std::string_view number = line.substr(space + 1);
        const auto [rest, ec] = std::from_chars(number.data(), number.data() + number.size(), value);
        if (ec == std::errc{} && rest == number.data() + number.size()) {
            out.emplace(line.substr(0, space), value);
        }
    }
    return out;
}

std::string describeDaemons(const std::vector<DaemonAnswer> &daemons)
{
    std::string out;
    for (const DaemonAnswer &daemon : daemons) {
        out += daemon.address + "  ";
        if (!daemon.metrics) {
            out += "does not answer";
        } else if (daemon.metrics->contains("ibislock_weights_wanted_version")) {
            out += describeTarget(*daemon.metrics);
        } else {
            out += describeEntry(*daemon.metrics);
        }
        out += "\n";
    }
    return out;
}

int showDaemons(const std::string &addresses)
{
    std::vector<DaemonAnswer> daemons;
    std::istringstream list(addresses);
    for (std::string address; std::getline(list, address, ',');) {
        httplib::Client client("http://" + address);
        client.set_connection_timeout(AnswerSeconds);
        client.set_read_timeout(AnswerSeconds);
        const auto answer = client.Get("/metrics");
        const bool good = answer && answer->status == 200;
        daemons.push_back(
            {.address = address, .metrics = good ? std::optional(metricsFrom(answer->body)) : std::nullopt});
    }
    std::cout << describeDaemons(daemons);
    const bool all = std::all_of(daemons.begin(), daemons.end(), [](const auto &daemon) { return daemon.metrics; });
    return all ? Success : Unreachable;
}

} // namespace ibislock::app
