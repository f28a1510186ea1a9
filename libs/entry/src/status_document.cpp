#include "status_document.h"

#include <algorithm>
#include <set>

namespace ibislock::entry
{

namespace
{

using configuration::ScopeKey;
using configuration::ScopeState;
using membership::Member;
using nlohmann::json;

/// How long the view of the log counts as fresh after the log last answered.
constexpr Millis LogFreshness{5000};

Millis ageOf(const Member &member, const StatusInput &input)
{
    return std::max(input.now - member.reportedAt, Millis(0));
}

bool isFresh(const Member &member, const StatusInput &input)
{
    return member.hasReport && ageOf(member, input) <= input.viewOptions.reportLifetime;
}

/// Adds the age of what was known at a time: how old, and when on the wall clock.
void addAge(json &value, Millis age, bool stale, const StatusInput &input)
{
    value["age_ms"] = age.count();
    value["as_of_ms"] = (input.wallNow - age).count();
    value["stale"] = stale;
}

/// Adds the age of what was never heard of.
void addNoAge(json &value)
{
    value["age_ms"] = nullptr;
    value["as_of_ms"] = nullptr;
    value["stale"] = true;
}

std::string hexOrEmpty(const Digest &digest)
{
    return digest.isNone() ? "" : toHex(digest);
}

json vmDocument(const Member &member, const StatusInput &input)
{
    const membership::Report &report = member.report;
    json value{{"domain", member.hasReport ? report.domain : member.listed.domain},
               {"kind", nameOf(membership::VmKindNames, member.hasReport ? report.kind : member.listed.kind)},
               {"usable", membership::isUsable(member, input.viewOptions, input.now)},
               {"listed", member.isListed}};
    if (!member.hasReport) {
        addNoAge(value);
        return value;
    }
    value["address"] = report.address;
    value["phase"] = report.phase;
    value["leaving"] = report.leaving;
    value["ticket"] = report.ticket;
    value["serving"] = hexOrEmpty(report.serving);
    value["running"] = report.running;
    value["queued"] = report.queued;
    value["log_offset"] = report.logOffset;
    addAge(value, ageOf(member, input), !isFresh(member, input), input);
    return value;
}

/// What the VMs of a scope say of its version.
struct Rollout
{
    std::size_t serving = 0;
    std::size_t silent = 0; ///< VMs without a fresh report.
    std::map<std::string, std::size_t> phases;
    std::optional<Millis> oldest;
};

bool serves(const Member &member, const ScopeState &scope)
{
    return member.report.phase == "serving"
        && (scope.current.manifest.isNone() ? member.report.ticket == scope.ticket
                                            : member.report.serving == scope.current.manifest);
}

Rollout rolloutOf(const ScopeState &scope, const StatusInput &input)
{
    Rollout rollout;
    for (const std::string &vm : scope.current.vms) {
        const Member *member = membership::find(input.view, vm);
        if (member == nullptr || !isFresh(*member, input)) {
            ++rollout.silent;
            continue;
        }
        ++rollout.phases[member->report.phase];
        rollout.serving += serves(*member, scope) ? 1 : 0;
        rollout.oldest = std::max(rollout.oldest.value_or(Millis(0)), ageOf(*member, input));
    }
    return rollout;
}

json rolloutDocument(const ScopeState &scope, const StatusInput &input)
{
    const Rollout rollout = rolloutOf(scope, input);
    const std::size_t wanted = scope.current.vms.size();
    json value{{"replicas", wanted},
               {"serving", rollout.serving},
               {"silent", rollout.silent},
               {"phases", rollout.phases},
               {"done", rollout.serving == wanted}};
    if (rollout.oldest) {
        addAge(value, *rollout.oldest, rollout.silent > 0, input);
    } else {
        addNoAge(value);
    }
    const configuration::AuditEntry *entry = configuration::findAccepted(input.state, scope.ticket);
    value["filed_at_ms"] = entry == nullptr ? json(nullptr) : json(entry->filedAtMs);
    return value;
}

json scopeDocument(const ScopeKey &key, const ScopeState &scope, const StatusInput &input)
{
    return {{"workspace", key.workspace},
            {"role", key.role},
            {"ticket", scope.ticket},
            {"model", scope.current.model},
            {"version", scope.current.version},
            {"manifest", hexOrEmpty(scope.current.manifest)},
            {"adapters", scope.current.adapters},
            {"vms", scope.current.vms},
            {"rollout", rolloutDocument(scope, input)}};
}

/// What is known of one failure domain.
struct DomainSum
{
    std::size_t vms = 0;
    std::size_t usable = 0;
    std::size_t serving = 0;
    std::optional<Millis> newest;
    std::optional<Millis> oldest;
};

json domainsDocument(const StatusInput &input)
{
    std::map<std::string, DomainSum> sums;
    for (const auto &[vm, member] : input.view.members) {
        DomainSum &sum = sums[member.hasReport ? member.report.domain : member.listed.domain];
        ++sum.vms;
        sum.usable += membership::isUsable(member, input.viewOptions, input.now) ? 1 : 0;
        if (member.hasReport) {
            const Millis age = ageOf(member, input);
            sum.serving += isFresh(member, input) && member.report.phase == "serving" ? 1 : 0;
            sum.newest = std::min(sum.newest.value_or(age), age);
            sum.oldest = std::max(sum.oldest.value_or(age), age);
        }
    }
    json domains = json::object();
    for (const auto &[name, sum] : sums) {
        json value{{"vms", sum.vms}, {"usable", sum.usable}, {"serving", sum.serving}};
        if (sum.oldest) {
            addAge(value, *sum.oldest, *sum.newest > input.viewOptions.reportLifetime, input);
        } else {
            addNoAge(value);
        }
        domains[name] = std::move(value);
    }
    return domains;
}

/// What is served of each version.
json versionsDocument(const StatusInput &input)
{
    std::map<Digest, std::size_t> replicas;
    std::map<Digest, Millis> oldest;
    for (const auto &[vm, member] : input.view.members) {
        if (isFresh(member, input) && member.report.phase == "serving") {
            const Digest &manifest = member.report.serving;
            ++replicas[manifest];
            oldest[manifest] = std::max(oldest[manifest], ageOf(member, input));
        }
    }
    json versions = json::array();
    for (const auto &[manifest, n] : replicas) {
        json value{{"manifest", hexOrEmpty(manifest)}, {"replicas", n}};
        addAge(value, oldest[manifest], false, input);
        versions.push_back(std::move(value));
    }
    return versions;
}

} // namespace

nlohmann::json statusDocument(const StatusInput &input)
{
    json scopes = json::array();
    for (const auto &[key, scope] : input.state.scopes) {
        scopes.push_back(scopeDocument(key, scope, input));
    }
    json vms = json::object();
    for (const auto &[vm, member] : input.view.members) {
        vms[vm] = vmDocument(member, input);
    }
    json document{{"vm", input.vm},
                  {"domain", input.domain},
                  {"log_offset", input.state.next},
                  {"log_reachable", input.logReachable},
                  {"last_ticket", input.state.lastTicket},
                  {"state_digest", toHex(configuration::stateDigest(input.state))},
                  {"scopes", std::move(scopes)},
                  {"versions", versionsDocument(input)},
                  {"domains", domainsDocument(input)},
                  {"vms", std::move(vms)}};
    if (input.logReadAt == Millis(0)) {
        addNoAge(document);
    } else {
        const Millis age = std::max(input.now - input.logReadAt, Millis(0));
        addAge(document, age, age > LogFreshness, input);
    }
    return document;
}

} // namespace ibislock::entry
