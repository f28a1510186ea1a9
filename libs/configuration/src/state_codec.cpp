#include "ibislock/configuration/state.h"

#include "json.h"

namespace ibislock::configuration
{

namespace
{

using nlohmann::json;

json toJson(const ChangeSummary &change)
{
    return {{"workspace", change.scope.workspace},
            {"role", change.scope.role},
            {"model", change.model},
            {"version", change.version},
            {"vms", change.vmCount}};
}

json toJson(const AuditEntry &entry)
{
    json value{{"offset", entry.offset},    {"number", entry.number},         {"content", toHex(entry.content)},
               {"filed_by", entry.filedBy}, {"filed_at_ms", entry.filedAtMs}, {"accepted", entry.accepted},
               {"changes", json::array()}};
    if (!entry.reason.empty()) {
        value["reason"] = entry.reason;
    }
    for (const ChangeSummary &change : entry.changes) {
        value["changes"].push_back(toJson(change));
    }
    for (const InEffect &it : entry.inEffect) {
        value["in_force"].push_back({{"domain", it.domain}, {"at_ms", it.atMs}});
    }
    return value;
}

json toJson(const ScopeKey &scope, const ScopeState &state)
{
    json value{{"ticket", state.ticket},
               {"current", configuration::toJson(ScopeChange{scope, state.current})},
               {"previous_ticket", state.previousTicket}};
    if (state.previous) {
        value["previous"] = configuration::toJson(ScopeChange{scope, *state.previous});
    }
    return value;
}

/// Returns a list field: an empty list if the field is missing, or null if it is not a list.
const json *listField(const json &value, const char *name)
{
    static const json none = json::array();
    const auto it = value.find(name);
    if (it == value.end()) {
        return &none;
    }
    return it->is_array() ? &*it : nullptr;
}

Result<ChangeSummary> summaryFrom(const json &value)
{
    const auto workspace = stringField(value, "workspace");
    const auto role = stringField(value, "role");
    const auto model = stringField(value, "model");
    const auto version = stringField(value, "version");
    const auto vms = unsignedField(value, "vms");
    if (!workspace || !role || !model || !version || !vms) {
        return failure(ErrorCode::InvalidArgument, "a change in an audit entry is malformed");
    }
    return ChangeSummary{
        .scope = {.workspace = *workspace, .role = *role}, .model = *model, .version = *version, .vmCount = *vms};
}

Result<InEffect> inEffectFrom(const json &value)
{
    const auto domain = stringField(value, "domain");
    const auto at = unsignedField(value, "at_ms");
    if (!domain || !at) {
        return failure(ErrorCode::InvalidArgument, "a time in effect in an audit entry is malformed");
    }
    return InEffect{.domain = *domain, .atMs = *at};
}

Result<AuditEntry> auditFrom(const json &value)
{
    const auto offset = unsignedField(value, "offset");
    const auto number = unsignedField(value, "number");
    const auto content = digestField(value, "content");
    const auto filedBy = stringField(value, "filed_by");
    const json *changes = listField(value, "changes");
    const json *inEffect = listField(value, "in_force");
    if (!offset || !number || !content || !filedBy || changes == nullptr || inEffect == nullptr
        || !value.contains("accepted") || !value["accepted"].is_boolean()) {
        return failure(ErrorCode::InvalidArgument, "an audit entry is malformed");
    }
    AuditEntry entry{.offset = *offset,
                     .number = *number,
                     .content = *content,
                     .filedBy = *filedBy,
                     .filedAtMs = unsignedField(value, "filed_at_ms").value_or(0),
                     .accepted = value["accepted"].get<bool>(),
                     .reason = stringField(value, "reason").value_or("")};
    for (const json &item : *changes) {
        auto change = summaryFrom(item);
        if (!change) {
            return tl::unexpected(change.error());
        }
        entry.changes.push_back(std::move(*change));
    }
    for (const json &item : *inEffect) {
        auto it = inEffectFrom(item);
        if (!it) {
            return tl::unexpected(it.error());
        }
        entry.inEffect.push_back(std::move(*it));
    }
    return entry;
}

Result<std::pair<ScopeKey, ScopeState>> scopeFrom(const json &value)
{
    const auto ticket = unsignedField(value, "ticket");
    const auto previousTicket = unsignedField(value, "previous_ticket");
    if (!ticket || !previousTicket || !value.contains("current")) {
        return failure(ErrorCode::InvalidArgument, "a scope is malformed");
    }
    auto current = changeFrom(value["current"]);
    if (!current) {
        return tl::unexpected(current.error());
    }
    ScopeState scope{.ticket = *ticket, .current = std::move(current->assignment), .previousTicket = *previousTicket};
    if (value.contains("previous")) {
        auto previous = changeFrom(value["previous"]);
        if (!previous) {
            return tl::unexpected(previous.error());
        }
        scope.previous = std::move(previous->assignment);
    }
    return std::pair{current->scope, std::move(scope)};
}

Result<void> readContents(State &state, const json &value)
{
    const json *contents = listField(value, "contents");
    if (contents == nullptr || contents->size() > ContentDigestsMax || contents->size() > state.lastTicket) {
        return failure(ErrorCode::InvalidArgument, "the list of contents is malformed");
    }
    for (const json &item : *contents) {
        const auto digest = item.is_string() ? digestFromHex(item.get_ref<const std::string &>())
                                             : Result<Digest>(failure(ErrorCode::InvalidArgument, ""));
        if (!digest) {
            return failure(ErrorCode::InvalidArgument, "the list of contents is malformed");
        }
        state.contents.push_back(*digest);
    }
    return {};
}

Result<void> readClaims(State &state, const json &value)
{
    const json *claims = listField(value, "claims");
    if (claims == nullptr || claims->size() > ClaimsMax) {
        return failure(ErrorCode::InvalidArgument, "the list of claims is malformed");
    }
    for (const json &item : *claims) {
        const auto vm = stringField(item, "vm");
        const auto incarnation = unsignedField(item, "incarnation");
        const auto fence = unsignedField(item, "fence");
        if (!vm || !incarnation || !fence) {
            return failure(ErrorCode::InvalidArgument, "a claim is malformed");
        }
        state.claims[*vm] = {.incarnation = *incarnation, .fencingToken = *fence};
    }
    return {};
}

Result<void> readScopes(State &state, const json &value)
{
    const json *scopes = listField(value, "scopes");
    if (scopes == nullptr) {
        return failure(ErrorCode::InvalidArgument, "the list of scopes is malformed");
    }
    for (const json &item : *scopes) {
        auto scope = scopeFrom(item);
        if (!scope) {
            return tl::unexpected(scope.error());
        }
        state.scopes.insert(std::move(*scope));
    }
    return {};
}

Result<void> readAudit(State &state, const json &value)
{
    const json *audit = listField(value, "audit");
    if (audit == nullptr || audit->size() > AuditAcceptedMax + AuditRefusedMax) {
        return failure(ErrorCode::InvalidArgument, "the audit trail is malformed");
    }
    for (const json &item : *audit) {
        auto entry = auditFrom(item);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        state.audit.push_back(std::move(*entry));
    }
    return {};
}

} // namespace

Digest stateDigest(const State &state)
{
    return sha256(encodeState(state));
}

std::string encodeState(const State &state)
{
    json contents = json::array();
    for (const Digest &content : state.contents) {
        contents.push_back(toHex(content));
    }
    json scopes = json::array();
    for (const auto &[key, scope] : state.scopes) {
        scopes.push_back(toJson(key, scope));
    }
    json claims = json::array();
    for (const auto &[vm, claim] : state.claims) {
        claims.push_back({{"vm", vm}, {"incarnation", claim.incarnation}, {"fence", claim.fencingToken}});
    }
    json audit = json::array();
    for (const AuditEntry &entry : state.audit) {
        audit.push_back(toJson(entry));
    }
    const json value{{"schema", RecordSchema},          {"next", state.next},
                     {"last_ticket", state.lastTicket}, {"last_content", toHex(state.lastContent)},
                     {"contents", std::move(contents)}, {"scopes", std::move(scopes)},
                     {"claims", std::move(claims)},     {"audit", std::move(audit)}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<State> decodeState(std::string_view data)
{
    const auto value = parseJson(data);
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!value->is_object()) {
        return failure(ErrorCode::InvalidArgument, "a state must be a JSON object");
    }
    const auto schema = unsignedField(*value, "schema");
    const auto next = unsignedField(*value, "next");
    const auto lastTicket = unsignedField(*value, "last_ticket");
    const auto lastContent = digestField(*value, "last_content");
    if (!schema || !next || !lastTicket || !lastContent) {
        return failure(ErrorCode::InvalidArgument, "the state's header is malformed");
    }
    if (*schema > RecordSchema) {
        return failure(ErrorCode::Unsupported, "the state has the unsupported schema " + std::to_string(*schema));
    }
    State state{.next = *next, .lastTicket = *lastTicket, .lastContent = *lastContent};
    for (const auto read : {readContents, readScopes, readClaims, readAudit}) {
        const auto done = read(state, *value);
        if (!done) {
            return tl::unexpected(done.error());
        }
    }
    return state;
}

} // namespace ibislock::configuration
