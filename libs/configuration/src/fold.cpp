#include "ibislock/configuration/state.h"

#include <algorithm>

namespace ibislock::configuration
{

namespace
{

/// Discards the oldest accepted or refused entries beyond a limit.
void trimAudit(std::vector<AuditEntry> &audit, bool accepted, std::size_t limit)
{
    const auto isOfKind = [accepted](const AuditEntry &entry) {
        return entry.accepted == accepted;
    };
    auto count = static_cast<std::size_t>(std::count_if(audit.begin(), audit.end(), isOfKind));
    while (count > limit) {
        audit.erase(std::find_if(audit.begin(), audit.end(), isOfKind));
        --count;
    }
}

void appendAudit(State &state, AuditEntry entry)
{
    const bool accepted = entry.accepted;
    state.audit.push_back(std::move(entry));
    trimAudit(state.audit, accepted, accepted ? AuditAcceptedMax : AuditRefusedMax);
}

void applyTicket(State &state, const Ticket &ticket)
{
    for (const ScopeChange &change : ticket.changes) {
        ScopeState &scope = state.scopes[change.scope];
        if (scope.ticket != 0) {
            scope.previous = std::move(scope.current);
            scope.previousTicket = scope.ticket;
        }
        scope.ticket = ticket.number;
        scope.current = change.assignment;
    }
}

std::vector<ChangeSummary> summariesOf(const Ticket &ticket)
{
    std::vector<ChangeSummary> summaries;
    for (const ScopeChange &change : ticket.changes) {
        summaries.push_back({.scope = change.scope,
                             .model = change.assignment.model,
                             .version = change.assignment.version,
                             .vmCount = change.assignment.vms.size()});
    }
    return summaries;
}

/// Tells whether the same record was refused before; the log may contain a record more than once.
bool wasRefusedBefore(const State &state, const TicketRecord &record, const Digest &content)
{
    return std::any_of(state.audit.begin(), state.audit.end(), [&](const AuditEntry &entry) {
        return !entry.accepted && entry.number == record.ticket.number && entry.content == content
            && entry.filedBy == record.filedBy && entry.filedAtMs == record.filedAtMs;
    });
}

FoldOutcome foldTicket(State &state, Offset offset, const TicketRecord &record)
{
    const Digest content = contentDigest(record.ticket);
    const TicketStatus standing = ticketStatusOf(state, record.ticket.number, content);
    if (standing == TicketStatus::Accepted || wasRefusedBefore(state, record, content)) {
        return FoldOutcome::Duplicate;
    }
    AuditEntry entry{.offset = offset,
                     .number = record.ticket.number,
                     .content = content,
                     .filedBy = record.filedBy,
                     .filedAtMs = record.filedAtMs,
                     .accepted = standing == TicketStatus::Next,
                     .reason = refusalReason(state, record.ticket.number, content),
                     .changes = summariesOf(record.ticket),
                     .inEffect = {}};
    const bool accepted = entry.accepted;
    appendAudit(state, std::move(entry));
    if (!accepted) {
        return FoldOutcome::Refused;
    }
    state.lastTicket = record.ticket.number;
    state.lastContent = content;
    state.contents.push_back(content);
    if (state.contents.size() > ContentDigestsMax) {
        state.contents.pop_front();
    }
    applyTicket(state, record.ticket);
    return FoldOutcome::Accepted;
}

FoldOutcome foldClaim(State &state, Offset offset, const ClaimRecord &record)
{
    const auto known = state.claims.find(record.vm);
    const auto currentToken = known == state.claims.end() ? std::nullopt : std::optional(known->second.fencingToken);
    if (record.replaces != currentToken) {
        return FoldOutcome::Duplicate;
    }
    state.claims[record.vm] = {.incarnation = record.incarnation, .fencingToken = offset};
    if (state.claims.size() > ClaimsMax) {
        state.claims.erase(std::min_element(state.claims.begin(), state.claims.end(), [](const auto &a, const auto &b) {
            return a.second.fencingToken < b.second.fencingToken;
        }));
    }
    return FoldOutcome::Claimed;
}

FoldOutcome foldInEffect(State &state, const InEffectRecord &record)
{
    bool recorded = false;
    for (AuditEntry &entry : state.audit) {
        const bool known = std::any_of(entry.inEffect.begin(), entry.inEffect.end(),
                                       [&](const InEffect &it) { return it.domain == record.domain; });
        if (entry.accepted && entry.number <= record.number && !known) {
            entry.inEffect.push_back({.domain = record.domain, .atMs = record.atMs});
            recorded = true;
        }
    }
    return recorded ? FoldOutcome::Recorded : FoldOutcome::Duplicate;
}

/// Replaces the state by a snapshot that comes after a gap in the log.
/// @return Adopted, or Gap if the snapshot is malformed, inconsistent with its record, or not newer than the state.
FoldOutcome adoptAcrossGap(State &state, Offset offset, const SnapshotRecord &record)
{
    const auto snapshot = decodeState(record.state);
    if (!snapshot || snapshot->next != record.next || snapshot->next > offset || !adoptIfNewer(state, *snapshot)) {
        return FoldOutcome::Gap;
    }
    return FoldOutcome::Adopted;
}

} // namespace

FoldOutcome fold(State &state, Offset offset, std::string_view data)
{
    if (offset < state.next) {
        return FoldOutcome::Skipped;
    }
    const auto record = decodeRecord(data);
    if (offset > state.next) {
        const auto *snapshot = record ? std::get_if<SnapshotRecord>(&*record) : nullptr;
        return snapshot == nullptr ? FoldOutcome::Gap : adoptAcrossGap(state, offset, *snapshot);
    }
    state.next = offset + 1;
    if (!record) {
        return FoldOutcome::Skipped;
    }
    if (const auto *ticket = std::get_if<TicketRecord>(&*record)) {
        return foldTicket(state, offset, *ticket);
    }
    if (const auto *claim = std::get_if<ClaimRecord>(&*record)) {
        return foldClaim(state, offset, *claim);
    }
    if (const auto *inEffectRecord = std::get_if<InEffectRecord>(&*record)) {
        return foldInEffect(state, *inEffectRecord);
    }
    return FoldOutcome::Ignored;
}

} // namespace ibislock::configuration
