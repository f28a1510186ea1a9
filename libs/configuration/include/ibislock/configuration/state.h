// The configuration in force: a deterministic fold over the log's records.
//
//     State state;
//     FoldOutcome outcome = fold(state, offset, data);
//
// Every reader that has folded the same offsets holds the same state, and `stateDigest` lets two VMs compare. Only the
// order of the log decides: for one ticket number the first well-formed record in turn is accepted, every later one is
// refused.

#pragma once

#include "ibislock/configuration/record.h"

#include <deque>
#include <map>
#include <optional>

namespace ibislock::configuration
{

/// How many audit entries the state keeps. Refused tickets are counted apart, so that racing operators do not push
/// accepted ones out.
inline constexpr std::size_t AuditAcceptedMax = 512;
inline constexpr std::size_t AuditRefusedMax = 128;

/// For how many accepted tickets the state keeps the content digest, so that filing stays idempotent.
inline constexpr std::size_t ContentDigestsMax = 2048;

/// How many slot claims the state keeps; the oldest are dropped first.
inline constexpr std::size_t ClaimsMax = 4096;

/// What folding one record did.
enum class FoldOutcome {
    Accepted, ///< A ticket took effect.
    Refused, ///< A ticket lost its number to another, or came out of order.
    Duplicate, ///< A ticket that was already accepted, with the same content.
    Claimed, ///< A slot claim took effect.
    Recorded, ///< A domain's report of what it has in force was added to the audit trail.
    Adopted, ///< A snapshot replaced an older state.
    Ignored, ///< A snapshot that the reader did not need.
    Skipped, ///< The record is malformed, of a newer schema or not new.
    Gap, ///< Records before this one are missing; the state did not change.
};

/// External names of the fold outcomes.
inline constexpr NameTable<FoldOutcome, 9> FoldOutcomeNames{{
    {FoldOutcome::Accepted, "accepted"},
    {FoldOutcome::Refused, "refused"},
    {FoldOutcome::Duplicate, "repeated"},
    {FoldOutcome::Claimed, "claimed"},
    {FoldOutcome::Recorded, "noted"},
    {FoldOutcome::Adopted, "adopted"},
    {FoldOutcome::Ignored, "passed"},
    {FoldOutcome::Skipped, "skipped"},
    {FoldOutcome::Gap, "gap"},
}};

/// The state of one scope. The previous assignment stays known, since VMs serve it until their turn in the rollout.
struct ScopeState
{
    std::uint64_t ticket = 0;
    Assignment current;
    std::uint64_t previousTicket = 0;
    std::optional<Assignment> previous;

    bool operator==(const ScopeState &) const = default;
};

/// The newest claim of a VM's slot.
struct Claim
{
    std::uint64_t incarnation = 0;
    Offset fencingToken = 0;

    bool operator==(const Claim &) const = default;
};

/// What a ticket did to one scope, in short.
struct ChangeSummary
{
    ScopeKey scope;
    std::string model;
    std::string version;
    std::uint64_t vmCount = 0; ///< How many VMs the ticket named.

    bool operator==(const ChangeSummary &) const = default;
};

/// When a failure domain had a ticket in force.
struct InEffect
{
    std::string domain;
    std::uint64_t atMs = 0; ///< Wall clock, for people only.

    bool operator==(const InEffect &) const = default;
};

/// One line of the audit trail.
struct AuditEntry
{
    Offset offset = 0;
    std::uint64_t number = 0;
    Digest content;
    std::string filedBy;
    std::uint64_t filedAtMs = 0;
    bool accepted = false;
    std::string reason; ///< Why the ticket was refused; empty when accepted.
    std::vector<ChangeSummary> changes;
    std::vector<InEffect> inEffect; ///< By domain, in the order of the log.

    bool operator==(const AuditEntry &) const = default;
};

/// The folded configuration.
struct State
{
    Offset next = 0; ///< The first offset that has not been folded.
    std::uint64_t lastTicket = 0;
    Digest lastContent;
    std::deque<Digest> contents; ///< Of the newest accepted tickets; the last one is that of `lastTicket`.
    std::map<ScopeKey, ScopeState> scopes;
    std::map<std::string, Claim> claims;
    std::vector<AuditEntry> audit;

    bool operator==(const State &) const = default;
};

/// Folds one record into the state.
/// @param state the state to advance.
/// @param offset the record's offset.
/// @param data the record as read from the log.
/// @return what the record did.
FoldOutcome fold(State &state, Offset offset, std::string_view data);

/// Identifies a state.
Digest stateDigest(const State &state);

/// Writes a state, for snapshots and for neighbours.
std::string encodeState(const State &state);

/// Reads a state.
/// @return the state, or InvalidArgument.
Result<State> decodeState(std::string_view data);

/// Replaces a state by one that is further on; an older one changes nothing.
/// @return whether the state was replaced.
bool adoptIfNewer(State &state, const State &other);

/// Finds the audit entry of an accepted ticket.
const AuditEntry *findAccepted(const State &state, std::uint64_t number);

/// Finds the content digest of an accepted ticket.
/// @return the digest, or nothing when the number is not accepted or too long ago.
std::optional<Digest> acceptedContent(const State &state, std::uint64_t number);

/// What a reader can say about one ticket that an operator filed or means to file.
enum class TicketStatus {
    Accepted, ///< The number is taken by this very content.
    Taken, ///< The number is taken by another content.
    TakenContentUnknown, ///< The number is taken, too long ago to know by which content.
    Next, ///< The number is the next one.
    TooHigh, ///< A lower number is still free.
};

/// Tells how a ticket stands in a state.
TicketStatus ticketStatusOf(const State &state, std::uint64_t number, const Digest &content);

/// Says in a sentence why a ticket that is not accepted can't be; empty when it can.
std::string refusalReason(const State &state, std::uint64_t number, const Digest &content);

/// Finds the assignment that applies to a workspace's role.
/// @return the scope's state, that of `AnyWorkspace`, or null.
const ScopeState *findScope(const State &state, std::string_view workspace, std::string_view role);

/// What a VM is to serve.
struct VmAssignment
{
    ScopeKey scope;
    std::uint64_t ticket = 0;
    Assignment assignment;
};

/// Finds what a VM is to serve.
std::optional<VmAssignment> assignmentOf(const State &state, std::string_view vm);

} // namespace ibislock::configuration
