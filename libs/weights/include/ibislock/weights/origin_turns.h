// Decides when a VM requests a missing piece from the origin. At any time one VM has the right to request a piece: the
// first VM in the piece's order that can be reached. Requests follow the order of the pieces at the rate of the
// origin's link, and only as many are outstanding as the link carries in a short time. Each VM derives this from what
// it sees itself: a piece that becomes available at another VM shows that the origin serves. If no piece becomes
// available for a while, the origin counts as silent. Then one VM in each domain probes it, each domain with another
// piece, and all other requests wait for the next piece that becomes available.
//
//     OriginTurns turns = makeOriginTurns(pieces, pieceTime, now);
//     recordAvailable(turns, availability, 3, now);          // another VM holds piece 3
//     if (decideOriginTurn(turns, availability, 4, rank, now) == OriginTurn::Now) { ... }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/random.h"
#include "ibislock/weights/piece_sources.h"

#include <string>
#include <string_view>
#include <vector>

namespace ibislock::weights
{

/// The place of a VM in the order in which VMs request a piece from the origin.
struct OriginRank
{
    int overall = 0; ///< Number of VMs before this one, over all domains.
    int vms = 1; ///< All VMs.
    int inDomain = 0; ///< Number of VMs of the same domain before this one.
    int domainVms = 1; ///< VMs of the domain.
    int domain = 0; ///< Index of the domain in the order of the domains' names.
    int domains = 1; ///< All domains.
    std::vector<std::string> domainSeniors; ///< The VMs of the same domain before this one, in order.
    std::vector<std::string> otherSeniors; ///< The first VMs of each domain that comes before the own one.
    std::vector<std::string> juniors; ///< VMs behind this one that may have received the piece already.
};

/// Returns the place of a VM in the order for a piece, or for the manifest (index -1).
OriginRank originRank(int piece, std::string_view self, std::string_view domain,
                      const std::vector<DistributionMember> &members);

/// What a VM knows of the origin; shared by its fetchers of different versions.
struct OriginAvailability
{
    Millis servedAt{0}; ///< When a piece last came from the origin, to this VM or, as far as it knows, to another one.
    Millis failedAt{0}; ///< When the origin last didn't respond to this VM; 0 for never.
    int failures = 0; ///< Attempts of this VM in a row to which the origin didn't respond.
    Millis nextAttemptAt{0}; ///< No attempt of this VM before.
    bool servedOthers = false; ///< Another VM got a piece from the origin since the last failed attempt of this one.
    int failuresAlone = 0; ///< Failed attempts since the last successful one of this VM between which others succeeded.
};

/// The turns of the pieces of one version, as one VM sees them.
struct OriginTurns
{
    Millis pieceTime{0}; ///< How long the origin's link takes for a piece; zero if unknown.
    Millis startedAt{0};
    Millis anchoredAt{0}; ///< The time that `order` counts from.
    std::vector<int> order; ///< By piece: the number of pieces that were missing before it at `anchoredAt`.
    std::vector<bool> missing; ///< By piece: whether no VM is known to hold it.
    std::vector<Millis> dueSince; ///< By piece: since when its VM should have requested it; 0 before.
};

/// Starts the turns of a version with all pieces missing.
OriginTurns makeOriginTurns(int pieces, Millis pieceTime, Millis now);

/// Begins the turns anew with the pieces that are missing now, and counts the silence of the origin from now on.
void restartTurns(OriginTurns &turns, Millis now);

/// Records that this VM holds a piece, or that another one held it already when the turns began. It says nothing about
/// the origin.
void recordHeld(OriginTurns &turns, int piece);

/// Records that a VM holds a piece that was missing before: the origin serves. After a silence, the turns begin anew.
void recordAvailable(OriginTurns &turns, OriginAvailability &availability, int piece, Millis now);

/// Records that a piece is missing after all, as the VM that held it didn't deliver it.
void recordMissing(OriginTurns &turns, int piece);

/// Records that this VM got a piece from the origin.
void recordServed(OriginTurns &turns, OriginAvailability &availability, int piece, Millis now);

/// Returns whether the origin serves other VMs, but not this one. Such a VM declines long polls for pieces that it
/// doesn't hold, so that the next VM in their order requests them.
bool isCutOff(const OriginAvailability &availability);

/// Records an attempt to which the origin didn't respond; the next one follows after an exponential delay with jitter.
void recordOriginFailure(OriginAvailability &availability, Random &random, Millis now);

/// Returns the delay after a number of failed attempts in a row.
Millis originRetryDelay(int failures, Random &random);

/// Returns whether the origin counts as silent: it didn't respond to this VM, or no piece has become available for a
/// while.
bool isOriginSilent(const OriginTurns &turns, const OriginAvailability &availability, Millis now);

/// Returns the number of pieces that no VM is known to hold.
int missingPieces(const OriginTurns &turns);

/// Returns whether a version that a newer one supersedes is finished first. Nearly all VMs see the same pieces as
/// missing, so that they decide alike and the origin doesn't send parts of both versions.
/// @param left time until no request may start on the superseded version any more.
bool isWorthFinishing(const OriginTurns &turns, Millis left);

/// Returns whether a request to the origin from before its recovery is given up: the origin has served others for
/// longer than the requests take that it got ahead of this one.
bool isRequestStale(const OriginTurns &turns, Millis sentAt, Millis now);

/// Whether a VM may request a piece from the origin.
enum class OriginTurn {
    Wait,
    IfDomainSeniorsOut, ///< If no VM of the domain before this one can be reached.
    IfSeniorsOut, ///< If no VM before this one can be reached.
    Now, ///< Regardless of the VMs before this one: they haven't delivered the piece in time.
};

/// Decides whether a VM may request a piece from the origin.
/// @param rank the VM's place in the order for this piece.
OriginTurn decideOriginTurn(OriginTurns &turns, const OriginAvailability &availability, int piece,
                            const OriginRank &rank, Millis now);

/// Time after which the next VM in the order replaces one that responds but doesn't deliver a piece. Longer than the
/// pieces requested in advance take.
inline constexpr Millis DutyTime{2000};

/// Returns whether a VM replaces the VMs before it, which can be reached but don't deliver.
/// @param place the VM's number in the order of all `vms`.
/// @param waited how long the first VM has not delivered.
/// @param interval how long a VM has the duty.
bool isOnDuty(int place, int vms, Millis waited, Millis interval = DutyTime);

} // namespace ibislock::weights
