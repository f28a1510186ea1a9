#include "ibislock/membership/view.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <xxhash.h>

namespace ibislock::membership
{

namespace
{

bool isFresh(const Member &member, const ViewOptions &options, Millis now)
{
    const Millis lifetime = member.isRemote ? options.remoteLifetime : options.reportLifetime;
    return member.hasReport && now - member.reportedAt <= lifetime;
}

/// Returns the sort key of the reports of one VM, oldest first. Incarnations with the same start time are ordered by
/// their number.
auto recencyOf(const Report &report)
{
    return std::tuple(report.started, report.incarnation, report.revision, report.sequence);
}

/// Returns the fields of a report that other domains must learn of; load, offsets and sequence are not included.
auto disseminatedFieldsOf(const Report &report)
{
    return std::tie(report.domain, report.address, report.kind, report.incarnation, report.revision, report.leaving,
                    report.phase, report.ticket, report.serving);
}

std::uint32_t loadClassOf(const Report &report)
{
    return static_cast<std::uint32_t>(std::bit_width(report.running + report.queued));
}

/// By how much the confirmation of a domain must be newer before it is applied to each of its VMs.
constexpr Millis DomainRefreshInterval{250};

enum class ChangeKind { None, Local, Urgent };

void recordChange(View &view, Member &member, ChangeKind kind)
{
    if (kind == ChangeKind::None) {
        return;
    }
    member.changeSequence = ++view.changeSequence;
    if (kind == ChangeKind::Urgent) {
        member.remoteChangeSequence = view.changeSequence;
        view.urgentChangeSequence = view.changeSequence;
    }
}

/// Replaces a member's report by a newer one.
/// @return how the change must be disseminated.
ChangeKind replaceReport(const View &view, Member &member, const Report &report, const ViewOptions &options, Millis now)
{
    const bool isNew = !member.hasReport || disseminatedFieldsOf(member.report) != disseminatedFieldsOf(report);
    const bool wasSuspected = !member.suspectedBy.empty();
    const bool coveredTicketChanged = member.report.coveredTicket != report.coveredTicket;
    member.report = report;
    member.hasReport = true;
    member.isRemote = report.domain != view.domain;
    member.suspectedBy.clear();
    const std::uint32_t loadClass = loadClassOf(report);
    const bool reportLoad = loadClass != member.loadClass && now - member.loadReportedAt >= options.loadInterval;
    if (isNew || wasSuspected || coveredTicketChanged || reportLoad) {
        member.loadClass = loadClass;
        member.loadReportedAt = now;
    }
    if (isNew || wasSuspected) {
        return ChangeKind::Urgent;
    }
    return coveredTicketChanged || reportLoad ? ChangeKind::Local : ChangeKind::None;
}

void recordContact(Member &member, std::uint64_t offset, Millis now)
{
    member.heardAt = now;
    member.hasHeard = true;
    member.heardOffset = offset;
    member.reportedAt = std::max(member.reportedAt, now);
}

} // namespace

void applyVmList(View &view, const std::vector<ListedVm> &listed, const ViewOptions &options, Millis now)
{
    std::set<std::string> names;
    for (const ListedVm &vm : listed) {
        names.insert(vm.vm);
        Member &member = view.members[vm.vm];
        member.listed = vm;
        member.isListed = true;
        if (!member.hasReport) {
            member.isRemote = vm.domain != view.domain;
        }
    }
    const std::size_t erased = std::erase_if(view.members, [&](const auto &entry) {
        return !names.contains(entry.first) && !isFresh(entry.second, options, now);
    });
    view.changeSequence += erased > 0 ? 1 : 0;
    for (auto &[name, member] : view.members) {
        member.isListed = names.contains(name);
    }
    view.listedAt = now;
}

bool applyReport(View &view, const Report &report, const ViewOptions &options, Millis now)
{
    Member &member = view.members[report.vm];
    if (member.hasReport && recencyOf(report) <= recencyOf(member.report)) {
        return false;
    }
    recordChange(view, member, replaceReport(view, member, report, options, now));
    recordContact(member, report.logOffset, now);
    return true;
}

bool applyHeartbeat(View &view, const Heartbeat &heartbeat, const ViewOptions &options, Millis now)
{
    const auto it = view.members.find(heartbeat.vm);
    if (it == view.members.end() || !it->second.hasReport || it->second.report.incarnation != heartbeat.incarnation
        || it->second.report.revision != heartbeat.revision) {
        return false;
    }
    Member &member = it->second;
    if (heartbeat.sequence > member.report.sequence) {
        Report report = member.report;
        report.sequence = heartbeat.sequence;
        report.logOffset = heartbeat.logOffset;
        report.running = heartbeat.running;
        report.queued = heartbeat.queued;
        report.coveredTicket = heartbeat.coveredTicket;
        recordChange(view, member, replaceReport(view, member, report, options, now));
    }
    recordContact(member, heartbeat.logOffset, now);
    member.heardTicket = heartbeat.lastTicket;
    return true;
}

MembershipUpdate mergedUpdate(const MembershipUpdate &a, const MembershipUpdate &b)
{
    if (recencyOf(a.report) != recencyOf(b.report)) {
        return recencyOf(a.report) > recencyOf(b.report) ? a : b;
    }
    MembershipUpdate both = a;
    both.suspectedBy.insert(b.suspectedBy.begin(), b.suspectedBy.end());
    return both;
}

void applyUpdate(View &view, const MembershipUpdate &update, const ViewOptions &options, Millis now)
{
    Member &member = view.members[update.report.vm];
    if (!member.hasReport || recencyOf(update.report) > recencyOf(member.report)) {
        const auto suspectedBefore = member.suspectedBy;
        ChangeKind kind = replaceReport(view, member, update.report, options, now);
        member.suspectedBy = update.suspectedBy;
        if (suspectedBefore != update.suspectedBy) {
            kind = ChangeKind::Urgent;
        }
        recordChange(view, member, kind);
        return;
    }
    const MembershipUpdate known{.report = member.report, .suspectedBy = member.suspectedBy};
    const MembershipUpdate both = mergedUpdate(known, update);
    if (both != known) {
        member.suspectedBy = both.suspectedBy;
        recordChange(view, member, ChangeKind::Urgent);
    } else if (recencyOf(update.report) < recencyOf(known.report) && !update.suspectedBy.empty()) {
        // The suspicion is older than the known report, so that report must reach the delegates that suspect the VM.
        recordChange(view, member, ChangeKind::Urgent);
    }
}

void refreshDomain(View &view, std::string_view domain, Millis asOf)
{
    auto it = view.domainsConfirmedAt.find(domain);
    if (it == view.domainsConfirmedAt.end()) {
        it = view.domainsConfirmedAt.emplace(domain, Millis::min() / 2).first;
    }
    if (asOf < it->second + DomainRefreshInterval) {
        return;
    }
    it->second = asOf;
    for (auto &[name, member] : view.members) {
        if (member.hasReport && member.report.domain == domain && !isUnreachable(member)) {
            member.reportedAt = std::max(member.reportedAt, asOf);
        }
    }
}

void markSuspected(View &view, std::string_view vm, const std::set<std::string> &delegates, Millis now)
{
    const auto it = view.members.find(vm);
    if (it == view.members.end()) {
        return;
    }
    Member &member = it->second;
    member.suspectedAt = now;
    if (!member.hasReport) {
        return;
    }
    const auto before = member.suspectedBy.size();
    member.suspectedBy.insert(delegates.begin(), delegates.end());
    if (member.suspectedBy.size() != before) {
        recordChange(view, member, ChangeKind::Urgent);
    }
}

std::vector<MembershipUpdate> updatesAfter(const View &view, std::uint64_t after, bool isRemote, std::size_t limit,
                                           std::uint64_t &upTo)
{
    upTo = view.changeSequence;
    if (after >= view.changeSequence) {
        return {};
    }
    std::vector<std::pair<std::uint64_t, const Member *>> found;
    for (const auto &[name, member] : view.members) {
        const std::uint64_t changed = isRemote ? member.remoteChangeSequence : member.changeSequence;
        if (member.hasReport && changed > after) {
            found.emplace_back(changed, &member);
        }
    }
    std::sort(found.begin(), found.end());
    if (found.size() > limit) {
        found.resize(limit);
        upTo = found.back().first;
    }
    std::vector<MembershipUpdate> updates;
    updates.reserve(found.size());
    for (const auto &[changed, member] : found) {
        updates.push_back({.report = member->report, .suspectedBy = member->suspectedBy});
    }
    return updates;
}

std::uint64_t fingerprintOf(const View &view)
{
    std::uint64_t fingerprint = 0;
    for (const auto &[name, member] : view.members) {
        if (!member.hasReport) {
            continue;
        }
        const Report &report = member.report;
        std::string text = name;
        text += '\0' + report.address + '\0' + report.phase + '\0';
        text += std::to_string(report.incarnation) + '/' + std::to_string(report.revision) + '/'
            + std::to_string(report.ticket) + (report.leaving ? "l" : "");
        text += bytesOf(report.serving);
        for (const std::string &delegate : member.suspectedBy) {
            text += '\0' + delegate;
        }
        fingerprint ^= XXH3_64bits(text.data(), text.size());
    }
    return fingerprint;
}

const Member *find(const View &view, std::string_view vm)
{
    const auto it = view.members.find(vm);
    return it == view.members.end() ? nullptr : &it->second;
}

const std::string &addressOf(const Member &member)
{
    return member.hasReport ? member.report.address : member.listed.address;
}

bool isUnreachable(const Member &member)
{
    return member.suspectedBy.size() >= SuspicionQuorum;
}

bool isUsable(const Member &member, const ViewOptions &options, Millis now)
{
    const bool listedAsLeaving = member.isListed && member.listed.leaving;
    return isFresh(member, options, now) && !isUnreachable(member) && !member.report.leaving && !listedAsLeaving;
}

bool isExpected(const Member &member)
{
    return member.isListed && !member.listed.leaving && !member.hasReport;
}

} // namespace ibislock::membership
