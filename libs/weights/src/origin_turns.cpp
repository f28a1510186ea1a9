#include "ibislock/weights/origin_turns.h"

#include "domain_owners.h"

#include <algorithm>
#include <utility>

namespace ibislock::weights
{

namespace
{

/// VMs of another domain that must be unreachable before the whole domain counts as unreachable.
constexpr std::size_t CheckedInOtherDomain = 3;

/// VMs of each domain that are asked whether they hold a piece before it is requested from the origin.
constexpr std::size_t JuniorsInDomain = 2;

/// Interval between two requests to the origin, in percent of the time that its link takes for a piece. Below 100, so
/// that the link is never idle.
constexpr int PacePercent = 95;

/// Time of the origin's link that may be requested in advance; covers the way of a piece to the VMs of other domains.
constexpr Millis RequestedAhead{600};

/// Least number of pieces that may be requested in advance.
constexpr int LeastAhead = 4;

/// Pieces that are requested at once when the origin begins to serve. With fewer, its link is idle until the first
/// piece has reached other VMs.
constexpr int HeadStart = 4;

/// Without a new piece for this long, the origin counts as silent; pieces reach other domains in 100 to 200 ms.
constexpr Millis SilenceTime{300};

/// The same time in transfers of a piece, for slow links.
constexpr int SilencePieces = 6;

/// How long after a piece has come from the origin other VMs may learn of it.
constexpr Millis EvidenceTime{200};

/// Delays between attempts while the origin is silent. With three domains, the longest ones leave twelve attempts a
/// second in all.
constexpr Millis FirstRetry{250};
constexpr Millis LongestRetry{350};

/// The delay of a VM for which the origin doesn't respond although it serves others.
constexpr Millis CutOffRetry{5000};

/// Failures between successes of others after which a VM counts as cut off. One may be left from an outage.
constexpr int LeastFailuresAlone = 3;

/// Number of doublings after which the longest delay is reached.
constexpr int MaxDoublings = 1;

/// One in so many pieces must be held by VMs for a superseded version to be finished. With fewer, the rest would take
/// the origin as long as the newer version.
constexpr int LeastHeldParts = 4;

int missingBefore(const OriginTurns &turns, int piece)
{
    return static_cast<int>(std::count(turns.missing.begin(), turns.missing.begin() + piece, true));
}

Millis silenceTime(const OriginTurns &turns)
{
    return std::max(SilenceTime, turns.pieceTime * SilencePieces);
}

Millis lastSign(const OriginTurns &turns, const OriginAvailability &availability)
{
    return std::max(availability.servedAt, turns.startedAt);
}

void anchor(OriginTurns &turns, Millis now)
{
    turns.anchoredAt = now;
    int before = 0;
    for (std::size_t n = 0; n < turns.missing.size(); ++n) {
        turns.order[n] = before;
        before += turns.missing[n] ? 1 : 0;
        turns.dueSince[n] = Millis{0};
    }
}

/// Decides about a piece while the origin is silent. Each domain probes with the pieces that its VMs request first, so
/// that no two domains request the same one. After some time it takes the next piece, as the VM that probes may be the
/// one that can't reach the origin.
OriginTurn decideProbe(const OriginTurns &turns, const OriginAvailability &availability, int piece,
                       const OriginRank &rank, Millis now)
{
    int firstMissing = -1;
    int own = 0; // Missing pieces that the own domain comes first for.
    int ownBefore = 0;
    for (int n = 0; n < static_cast<int>(turns.missing.size()); ++n) {
        if (!turns.missing[static_cast<std::size_t>(n)]) {
            continue;
        }
        firstMissing = firstMissing < 0 ? n : firstMissing;
        const bool isOwn = firstDomain(n, rank.domains) == rank.domain;
        own += isOwn ? 1 : 0;
        ownBefore += isOwn && n < piece ? 1 : 0;
    }
    const Millis waited = now - lastSign(turns, availability);
    const auto step = static_cast<int>(waited / DutyTime);
    if (own == 0) {
        const bool onDuty = rank.overall > 0 && isOnDuty(rank.overall, rank.vms, waited);
        return piece != firstMissing ? OriginTurn::Wait : onDuty ? OriginTurn::Now : OriginTurn::IfSeniorsOut;
    }
    if (firstDomain(piece, rank.domains) != rank.domain || ownBefore != step % own) {
        return OriginTurn::Wait;
    }
    // Once all pieces were tried, the next VM of the domain tries them.
    const int place = step / own % rank.domainVms;
    if (place > 0) {
        return place == rank.inDomain ? OriginTurn::Now : OriginTurn::Wait;
    }
    return OriginTurn::IfDomainSeniorsOut;
}

} // namespace

OriginRank originRank(int piece, std::string_view self, std::string_view domain,
                      const std::vector<DistributionMember> &members)
{
    const Domains domains = domainsOf(self, domain, members);
    const std::vector<std::string> order = domainOrder(domains, piece);
    const auto own = ownersIn(domains, std::string(domain), piece);
    const auto place = std::find(own.begin(), own.end(), self) - own.begin();
    OriginRank out{.inDomain = static_cast<int>(place),
                   .domainVms = static_cast<int>(own.size()),
                   .domain = static_cast<int>(std::distance(domains.begin(), domains.find(std::string(domain)))),
                   .domains = static_cast<int>(domains.size()),
                   .domainSeniors = {own.begin(), own.begin() + place},
                   .otherSeniors = {},
                   .juniors = {}};
    out.vms = 0;
    bool before = true;
    for (std::size_t n = static_cast<std::size_t>(place) + 1; n < own.size() && out.juniors.size() < JuniorsInDomain;
         ++n) {
        out.juniors.push_back(own[n]);
    }
    for (const std::string &name : order) {
        const auto vms = ownersIn(domains, name, piece);
        out.vms += static_cast<int>(vms.size());
        if (name == domain) {
            before = false;
            out.overall += static_cast<int>(place);
            continue;
        }
        // The order takes the first VM of each domain, then the second ones.
        out.overall += static_cast<int>(std::min(vms.size(), static_cast<std::size_t>(place) + (before ? 1 : 0)));
        const std::size_t checked = std::min(vms.size(), before ? CheckedInOtherDomain : JuniorsInDomain);
        auto &to = before ? out.otherSeniors : out.juniors;
        to.insert(to.end(), vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(checked));
    }
    return out;
}

OriginTurns makeOriginTurns(int pieces, Millis pieceTime, Millis now)
{
    const auto n = static_cast<std::size_t>(std::max(pieces, 0));
    OriginTurns out{.pieceTime = pieceTime,
                    .startedAt = now,
                    .anchoredAt = now,
                    .order = std::vector<int>(n),
                    .missing = std::vector<bool>(n, true),
                    .dueSince = std::vector<Millis>(n)};
    anchor(out, now);
    return out;
}

void restartTurns(OriginTurns &turns, Millis now)
{
    turns.startedAt = now;
    anchor(turns, now);
}

void recordHeld(OriginTurns &turns, int piece)
{
    turns.missing[static_cast<std::size_t>(piece)] = false;
}

void recordAvailable(OriginTurns &turns, OriginAvailability &availability, int piece, Millis now)
{
    if (!turns.missing[static_cast<std::size_t>(piece)]) {
        return;
    }
    const bool silent = isOriginSilent(turns, availability, now);
    turns.missing[static_cast<std::size_t>(piece)] = false;
    if (availability.failedAt > Millis{0} && now < availability.failedAt + EvidenceTime) {
        return; // It came from the origin before the failure.
    }
    availability.servedAt = now;
    availability.failedAt = Millis{0};
    availability.failures = 0;
    availability.servedOthers = true;
    if (!isCutOff(availability)) {
        availability.nextAttemptAt = now;
    }
    if (silent) {
        anchor(turns, now);
    }
}

void recordMissing(OriginTurns &turns, int piece)
{
    turns.missing[static_cast<std::size_t>(piece)] = true;
}

void recordOriginFailure(OriginAvailability &availability, Random &random, Millis now)
{
    ++availability.failures;
    availability.failedAt = now;
    availability.failuresAlone += std::exchange(availability.servedOthers, false) ? 1 : 0;
    availability.nextAttemptAt = now
        + (isCutOff(availability) ? jittered(random, CutOffRetry) : originRetryDelay(availability.failures, random));
}

void recordServed(OriginTurns &turns, OriginAvailability &availability, int piece, Millis now)
{
    availability.failuresAlone = 0;
    recordAvailable(turns, availability, piece, now);
}

bool isCutOff(const OriginAvailability &availability)
{
    return availability.failuresAlone >= LeastFailuresAlone;
}

Millis originRetryDelay(int failures, Random &random)
{
    const int doublings = std::clamp(failures - 1, 0, MaxDoublings);
    return jittered(random, std::min(LongestRetry, FirstRetry * (1 << doublings)));
}

bool isOriginSilent(const OriginTurns &turns, const OriginAvailability &availability, Millis now)
{
    return availability.failedAt > Millis{0} || now > lastSign(turns, availability) + silenceTime(turns);
}

int missingPieces(const OriginTurns &turns)
{
    return static_cast<int>(std::count(turns.missing.begin(), turns.missing.end(), true));
}

bool isWorthFinishing(const OriginTurns &turns, Millis left)
{
    const auto pieces = static_cast<int>(turns.missing.size());
    const int missing = missingPieces(turns);
    return pieces > 0 && (pieces - missing) * LeastHeldParts >= pieces && turns.pieceTime * missing < left;
}

bool isRequestStale(const OriginTurns &turns, Millis sentAt, Millis now)
{
    return turns.anchoredAt > sentAt && now > turns.anchoredAt + RequestedAhead;
}

OriginTurn decideOriginTurn(OriginTurns &turns, const OriginAvailability &availability, int piece,
                            const OriginRank &rank, Millis now)
{
    const auto index = static_cast<std::size_t>(piece);
    if (!turns.missing[index] || now < availability.nextAttemptAt) {
        return OriginTurn::Wait;
    }
    if (isOriginSilent(turns, availability, now)) {
        return decideProbe(turns, availability, piece, rank, now);
    }
    const int ahead = turns.pieceTime > Millis{0}
        ? std::max(LeastAhead, static_cast<int>(RequestedAhead / turns.pieceTime))
        : static_cast<int>(turns.missing.size());
    const Millis turnAt = turns.anchoredAt + turns.pieceTime * (turns.order[index] - HeadStart) * PacePercent / 100;
    if (now < turnAt || missingBefore(turns, piece) >= ahead) {
        return OriginTurn::Wait;
    }
    Millis &since = turns.dueSince[index];
    since = since == Millis{0} ? now : since;
    return isOnDuty(rank.overall, rank.vms, now - since) ? OriginTurn::Now : OriginTurn::IfSeniorsOut;
}

bool isOnDuty(int place, int vms, Millis waited, Millis interval)
{
    return waited / interval % std::max(vms, 1) == place;
}

} // namespace ibislock::weights
