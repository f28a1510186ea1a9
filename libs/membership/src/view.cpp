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

/// Orders reports of one VM; of incarnations that began at the same time the greater number goes first.
auto ageOf(const Report &report)
{
    return std::tuple(report.started, report.incarnation, report.revision, report.sequence);
}

/// What other domains have to know of a VM; load, offsets and sequence are left out.
auto essenceOf(const Report &report)
{
    return std::tie(report.domain, report.address, report.kind, report.incarnation, report.revision, report.leaving,
                    report.phase, report.ticket, report.serving);
}

std::uint32_t loadClassOf(const Report &report)
{
    return static_cast<std::uint32_t>(std::bit_width(report.running + report.queued));
}

/// How much newer the word on a domain must be to be noted for each of its VMs.
constexpr Millis DomainStep{250};

enum class ChangeKind { None, Local, Urgent };

void noteChange(View &view, Member &member, ChangeKind kind)
{
    if (kind == ChangeKind::None) {
        return;
    }
    member.changed = ++view.changes;
    if (kind == ChangeKind::Urgent) {
        member.changedWidely = view.changes;
        view.urgentChanges = view.changes;
    }
}

/// Puts a newer report in place.
ChangeKind replaceReport(const View &view, Member &member, const Report &report, const ViewOptions &options, Millis now)
{
    const bool isNew = !member.hasReport || essenceOf(member.report) != essenceOf(report);
    const bool wasDoubted = !member.silentFor.empty();
    const bool coversMore = member.report.coveredTicket != report.coveredTicket;
    member.report = report;
    member.hasReport = true;
    member.isRemote = report.domain != view.domain;
    member.silentFor.clear();
    const std::uint32_t loadClass = loadClassOf(report);
    const bool tellLoad = loadClass != member.loadClass && now - member.loadToldAt >= options.loadInterval;
    if (isNew || wasDoubted || coversMore || tellLoad) {
        member.loadClass = loadClass;
        member.loadToldAt = now;
    }
    if (isNew || wasDoubted) {
        return ChangeKind::Urgent;
    }
    return coversMore || tellLoad ? ChangeKind::Local : ChangeKind::None;
}

void noteHeard(Member &member, std::uint64_t offset, Millis now)
{
    member.heardAt = now;
    member.hasHeard = true;
    member.heardOffset = offset;
    member.reportedAt = std::max(member.reportedAt, now);
}

} // namespace

void applyList(View &view, const std::vector<ListedVm> &listed, const ViewOptions &options, Millis now)
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
    view.changes += erased > 0 ? 1 : 0;
    for (auto &[name, member] : view.members) {
        member.isListed = names.contains(name);
    }
    view.listedAt = now;
}

bool applyReport(View &view, const Report &report, const ViewOptions &options, Millis now)
{
    Member &member = view.members[report.vm];
    if (member.hasReport && ageOf(report) <= ageOf(member.report)) {
        return false;
    }
    noteChange(view, member, replaceReport(view, member, report, options, now));
    noteHeard(member, report.logOffset, now);
    return true;
}

bool applyBeat(View &view, const Beat &beat, const ViewOptions &options, Millis now)
{
    const auto it = view.members.find(beat.vm);
    if (it == view.members.end() || !it->second.hasReport || it->second.report.incarnation != beat.incarnation
        || it->second.report.revision != beat.revision) {
        return false;
    }
    Member &member = it->second;
    if (beat.sequence > member.report.sequence) {
        Report report = member.report;
        report.sequence = beat.sequence;
        report.logOffset = beat.logOffset;
        report.running = beat.running;
        report.queued = beat.queued;
        report.coveredTicket = beat.coveredTicket;
        noteChange(view, member, replaceReport(view, member, report, options, now));
    }
    noteHeard(member, beat.logOffset, now);
    member.heardTicket = beat.lastTicket;
    return true;
}

News merged(const News &a, const News &b)
{
    if (ageOf(a.report) != ageOf(b.report)) {
        return ageOf(a.report) > ageOf(b.report) ? a : b;
    }
    News both = a;
    both.silentFor.insert(b.silentFor.begin(), b.silentFor.end());
    return both;
}

void applyNews(View &view, const News &news, const ViewOptions &options, Millis now)
{
    Member &member = view.members[news.report.vm];
    if (!member.hasReport || ageOf(news.report) > ageOf(member.report)) {
        const auto doubted = member.silentFor;
        ChangeKind kind = replaceReport(view, member, news.report, options, now);
        member.silentFor = news.silentFor;
        if (doubted != news.silentFor) {
            kind = ChangeKind::Urgent;
        }
        noteChange(view, member, kind);
        return;
    }
    const News known{.report = member.report, .silentFor = member.silentFor};
    const News both = merged(known, news);
    if (both != known) {
        member.silentFor = both.silentFor;
        noteChange(view, member, ChangeKind::Urgent);
    } else if (ageOf(news.report) < ageOf(known.report) && !news.silentFor.empty()) {
        // The doubt is older than what is known here: the newer report has to reach those that doubt.
        noteChange(view, member, ChangeKind::Urgent);
    }
}

void applyDomain(View &view, std::string_view domain, Millis asOf)
{
    auto it = view.domainsAsOf.find(domain);
    if (it == view.domainsAsOf.end()) {
        it = view.domainsAsOf.emplace(domain, Millis::min() / 2).first;
    }
    if (asOf < it->second + DomainStep) {
        return;
    }
    it->second = asOf;
    for (auto &[name, member] : view.members) {
        if (member.hasReport && member.report.domain == domain && !isSilent(member)) {
            member.reportedAt = std::max(member.reportedAt, asOf);
        }
    }
}

void markSilent(View &view, std::string_view vm, const std::set<std::string> &delegates, Millis now)
{
    const auto it = view.members.find(vm);
    if (it == view.members.end()) {
        return;
    }
    Member &member = it->second;
    member.markedAt = now;
    if (!member.hasReport) {
        return;
    }
    const auto before = member.silentFor.size();
    member.silentFor.insert(delegates.begin(), delegates.end());
    if (member.silentFor.size() != before) {
        noteChange(view, member, ChangeKind::Urgent);
    }
}

std::vector<News> newsAfter(const View &view, std::uint64_t after, bool isRemote, std::size_t most, std::uint64_t &upTo)
{
    upTo = view.changes;
    if (after >= view.changes) {
        return {};
    }
    std::vector<std::pair<std::uint64_t, const Member *>> found;
    for (const auto &[name, member] : view.members) {
        const std::uint64_t changed = isRemote ? member.changedWidely : member.changed;
        if (member.hasReport && changed > after) {
            found.emplace_back(changed, &member);
        }
    }
    std::sort(found.begin(), found.end());
    if (found.size() > most) {
        found.resize(most);
        upTo = found.back().first;
    }
    std::vector<News> news;
    news.reserve(found.size());
    for (const auto &[changed, member] : found) {
        news.push_back({.report = member->report, .silentFor = member->silentFor});
    }
    return news;
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
        for (const std::string &delegate : member.silentFor) {
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

bool isSilent(const Member &member)
{
    return member.silentFor.size() >= SilentDelegatesMin;
}

bool isUsable(const Member &member, const ViewOptions &options, Millis now)
{
    const bool listedAsLeaving = member.isListed && member.listed.leaving;
    return isFresh(member, options, now) && !isSilent(member) && !member.report.leaving && !listedAsLeaving;
}

bool isExpected(const Member &member)
{
    return member.isListed && !member.listed.leaving && !member.hasReport;
}

} // namespace ibislock::membership
