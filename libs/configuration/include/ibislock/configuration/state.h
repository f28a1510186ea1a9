// The current configuration: the result of a deterministic fold over the records of the log.
//
//     State state;
//     FoldOutcome outcome = fold(state, offset, data);
//
// All readers that have folded the same offsets hold the same state, which two VMs compare by `stateDigest`. Only the
// order of the log decides about tickets: the first well-formed record whose number is the next one is accepted, and
// every later record with that number and another content is refused.

#pragma once

#include "ibislock/configuration/record.h"

#include <deque>
#include <map>
#include <optional>

namespace ibislock::configuration
{

/// The maximum number of audit entries in the state. Refused tickets have a limit of their own, so that they don't
/// evict accepted ones when several operators race for a number.
inline constexpr std::size_t AuditAcceptedMax = 512;
inline constexpr std::size_t AuditRefusedMax = 128;

/// The number of accepted tickets whose content digest is kept, so that filing a ticket again is idempotent.
inline constexpr std::size_t ContentDigestsMax = 2048;

/// The maximum number of slot claims in the state; the oldest are discarded first.
inline constexpr std::size_t ClaimsMax = 4096;

/// The effect of folding one record.
enum class FoldOutcome {
    Accepted, ///< A ticket took effect.
    Refused, ///< The number of a ticket was taken by another ticket, or is out of order.
    Duplicate, ///< A ticket or report that was folded before, or a claim that does not replace the current one.
    Claimed, ///< A slot claim took effect.
    Recorded, ///< A domain's report of what is in effect was added to the audit trail.
    Adopted, ///< A snapshot replaced an older state.
    Ignored, ///< A snapshot of a state that the reader has already folded.
    Skipped, ///< The record is malformed, has a newer schema or was folded before.
    Gap, ///< Records before this one are missing; the state is unchanged.
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

/// The state of one scope. The previous assignment is kept, because VMs serve it until the rollout reaches them.
struct ScopeState
{
    std::uint64_t ticket = 0;
    Assignment current;
    std::uint64_t previousTicket = 0;
    std::optional<Assignment> previous;

    bool operator==(const ScopeState &) const = default;
};

/// The current claim of a VM's slot.
struct Claim
{
    std::uint64_t incarnation = 0;
    Offset fencingToken = 0;

    bool operator==(const Claim &) const = default;
};

/// A summary of a ticket's change to one scope.
struct ChangeSummary
{
    ScopeKey scope;
    std::string model;
    std::string version;
    std::uint64_t vmCount = 0; ///< The number of VMs in the ticket.

    bool operator==(const ChangeSummary &) const = default;
};

/// When a ticket was in effect in a failure domain.
struct InEffect
{
    std::string domain;
    std::uint64_t atMs = 0; ///< Wall clock; for display only.

    bool operator==(const InEffect &) const = default;
};

/// An entry of the audit trail: a ticket that was accepted or refused.
struct AuditEntry
{
    Offset offset = 0;
    std::uint64_t number = 0;
    Digest content;
    std::string filedBy;
    std::uint64_t filedAtMs = 0;
    bool accepted = false;
    std::string reason; ///< Why the ticket was refused; empty if it was accepted.
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
    std::deque<Digest> contents; ///< Content digests of the newest accepted tickets; the last is that of `lastTicket`.
    std::map<ScopeKey, ScopeState> scopes;
    std::map<std::string, Claim> claims;
    std::vector<AuditEntry> audit;

    bool operator==(const State &) const = default;
};

/// Applies one record of the log to the state.
/// @param state the state to advance.
/// @param offset the record's offset.
/// @param data the record as read from the log.
/// @return what the record did.
FoldOutcome fold(State &state, Offset offset, std::string_view data);

/// Computes a digest that identifies a state.
Digest stateDigest(const State &state);

/// Encodes a state as JSON, for snapshots and for the exchange with other VMs.
std::string encodeState(const State &state);

/// Decodes a state from JSON.
/// @return the state, InvalidArgument if it is malformed, or Unsupported if it has a newer schema.
Result<State> decodeState(std::string_view data);

/// Replaces a state by another one that has folded more records; does nothing if that one has not.
/// @return whether the state was replaced.
bool adoptIfNewer(State &state, const State &other);

/// Finds the audit entry of an accepted ticket.
const AuditEntry *findAccepted(const State &state, std::uint64_t number);

/// Finds the content digest of an accepted ticket.
/// @return the digest, or nothing if no ticket of that number was accepted or its digest is no longer kept.
std::optional<Digest> acceptedContent(const State &state, std::uint64_t number);

/// The status of a ticket that an operator has filed or is about to file.
enum class TicketStatus {
    Accepted, ///< The number is taken by a ticket with the same content.
    Taken, ///< The number is taken by a ticket with another content.
    TakenContentUnknown, ///< The number is taken by a ticket whose digest is no longer kept.
    Next, ///< The number is the next free one.
    TooHigh, ///< A lower number is still free.
};

/// Returns the status of a ticket in a state.
TicketStatus ticketStatusOf(const State &state, std::uint64_t number, const Digest &content);

/// Returns a message that says why a ticket is refused; empty if it was or can be accepted.
std::string refusalReason(const State &state, std::uint64_t number, const Digest &content);

/// Finds the assignment that applies to a workspace's role.
/// @return the state of the scope, otherwise that of `AnyWorkspace` for the role, or null.
const ScopeState *findScope(const State &state, std::string_view workspace, std::string_view role);

/// The assignment of a VM: the scope that it serves, and the ticket that assigned it.
struct VmAssignment
{
    ScopeKey scope;
    std::uint64_t ticket = 0;
    Assignment assignment;
};

/// Finds the assignment of a VM.
/// @return the assignment, or nothing if no scope names the VM.
std::optional<VmAssignment> assignmentOf(const State &state, std::string_view vm);

} // namespace ibislock::configuration
