#include "status_view.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace ibislock::app
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t BarCells = 30;
constexpr double MillisPerSecond = 1000;

std::string ageOf(const json &part)
{
    if (!part.contains("age_ms") || part["age_ms"].is_null()) {
        return "never heard of";
    }
    std::ostringstream out;
    out << "as of " << part["age_ms"].get<std::int64_t>() << " ms ago" << (part.value("stale", true) ? ", STALE" : "");
    return out.str();
}

void describeScope(std::ostream &out, const json &scope, RolloutEstimates &estimates, milliseconds now)
{
    const json rollout = scope.value("rollout", json::object());
    const auto wanted = rollout.value("replicas", std::size_t{0});
    const auto serving = rollout.value("serving", std::size_t{0});
    const std::string name = scope.value("workspace", "") + "/" + scope.value("role", "");
    out << "  " << name << "  " << scope.value("model", "") << " " << scope.value("version", "") << "  ticket "
        << scope.value("ticket", 0) << "\n    " << progressBar(serving, wanted) << " " << serving << "/" << wanted
        << " serving";
    const json phases = rollout.value("phases", json::object());
    for (const auto &[phase, n] : phases.items()) {
        out << "  " << phase << " " << n;
    }
    if (rollout.value("silent", 0) > 0) {
        out << "  silent " << rollout.value("silent", 0);
    }
    const auto left = estimates.timeLeft(name + "#" + std::to_string(scope.value("ticket", 0)), serving, wanted, now);
    if (serving < wanted && left) {
        out << "  about " << std::fixed << std::setprecision(1) << static_cast<double>(left->count()) / MillisPerSecond
            << " s left";
    }
    out << "  " << ageOf(rollout) << "\n";
}

void describeVm(std::ostream &out, const std::string &vm, const json &member)
{
    out << "  " << std::left << std::setw(12) << vm << std::setw(18) << member.value("domain", "") << std::setw(8)
        << member.value("kind", "") << std::setw(12) << member.value("phase", "") << "ticket "
        << member.value("ticket", 0) << "  " << (member.value("usable", false) ? "usable" : "not usable") << "  "
        << ageOf(member) << "\n";
}

} // namespace

std::optional<milliseconds> RolloutEstimates::timeLeft(const std::string &rollout, std::size_t serving,
                                                       std::size_t wanted, milliseconds now)
{
    const Start start = m_starts.try_emplace(rollout, Start{.serving = serving, .at = now}).first->second;
    if (serving <= start.serving || wanted < serving) {
        return std::nullopt;
    }
    const double perReplica =
        static_cast<double>((now - start.at).count()) / static_cast<double>(serving - start.serving);
    return milliseconds(static_cast<std::int64_t>(perReplica * static_cast<double>(wanted - serving)));
}

std::string progressBar(std::size_t part, std::size_t whole)
{
    const std::size_t filled = whole == 0 ? BarCells : std::min(part, whole) * BarCells / whole;
    return "[" + std::string(filled, '#') + std::string(BarCells - filled, '.') + "]";
}

std::string describeStatus(const json &status, RolloutEstimates &estimates, milliseconds now)
{
    std::ostringstream out;
    out << "entry " << status.value("vm", "") << "  ticket " << status.value("last_ticket", 0) << "  offset "
        << status.value("log_offset", 0) << "  log "
        << (status.value("log_reachable", false) ? "reachable" : "not reachable") << "  " << ageOf(status) << "\n";
    out << "rollouts\n";
    for (const json &scope : status.value("scopes", json::array())) {
        describeScope(out, scope, estimates, now);
    }
    out << "failure domains\n";
    const json domains = status.value("domains", json::object());
    for (const auto &[name, domain] : domains.items()) {
        out << "  " << std::left << std::setw(18) << name << domain.value("usable", 0) << "/" << domain.value("vms", 0)
            << " usable  " << domain.value("serving", 0) << " serving  " << ageOf(domain) << "\n";
    }
    out << "VMs\n";
    const json vms = status.value("vms", json::object());
    for (const auto &[vm, member] : vms.items()) {
        describeVm(out, vm, member);
    }
    return out.str();
}

} // namespace ibislock::app
