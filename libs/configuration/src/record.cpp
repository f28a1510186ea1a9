#include "ibislock/configuration/record.h"

#include "json.h"

namespace ibislock::configuration
{

namespace
{

using nlohmann::json;

json toJson(const TicketRecord &record)
{
    return {{"kind", "ticket"},
            {"ticket", configuration::toJson(record.ticket)},
            {"filed_by", record.filedBy},
            {"filed_at_ms", record.filedAtMs}};
}

json toJson(const ClaimRecord &record)
{
    json value{{"kind", "claim"}, {"vm", record.vm}, {"incarnation", record.incarnation}};
    if (record.replaces) {
        value["replaces"] = *record.replaces;
    }
    return value;
}

json toJson(const SnapshotRecord &record)
{
    return {{"kind", "snapshot"}, {"state", record.state}, {"next", record.next}};
}

json toJson(const InEffectRecord &record)
{
    return {{"kind", "in_force"}, {"domain", record.domain}, {"number", record.number}, {"at_ms", record.atMs}};
}

Result<Record> ticketRecordFrom(const json &value)
{
    const auto it = value.find("ticket");
    if (it == value.end()) {
        return failure(ErrorCode::InvalidArgument, "a ticket record has no ticket");
    }
    auto ticket = ticketFrom(*it);
    const auto filedBy = stringField(value, "filed_by");
    const auto filedAt = unsignedField(value, "filed_at_ms");
    if (!ticket) {
        return tl::unexpected(ticket.error());
    }
    if (!filedBy) {
        return tl::unexpected(filedBy.error());
    }
    return TicketRecord{.ticket = std::move(*ticket), .filedBy = *filedBy, .filedAtMs = filedAt.value_or(0)};
}

Result<Record> claimRecordFrom(const json &value)
{
    const auto vm = stringField(value, "vm");
    const auto incarnation = unsignedField(value, "incarnation");
    if (!vm) {
        return tl::unexpected(vm.error());
    }
    if (!incarnation) {
        return tl::unexpected(incarnation.error());
    }
    ClaimRecord record{.vm = *vm, .incarnation = *incarnation};
    if (value.contains("replaces")) {
        const auto replaces = unsignedField(value, "replaces");
        if (!replaces) {
            return tl::unexpected(replaces.error());
        }
        record.replaces = *replaces;
    }
    return record;
}

Result<Record> snapshotRecordFrom(const json &value)
{
    auto state = stringField(value, "state");
    const auto next = unsignedField(value, "next");
    if (!state) {
        return tl::unexpected(state.error());
    }
    if (!next) {
        return tl::unexpected(next.error());
    }
    return SnapshotRecord{.state = std::move(*state), .next = *next};
}

Result<Record> inEffectRecordFrom(const json &value)
{
    const auto domain = stringField(value, "domain");
    const auto number = unsignedField(value, "number");
    if (!domain) {
        return tl::unexpected(domain.error());
    }
    if (!number) {
        return tl::unexpected(number.error());
    }
    return InEffectRecord{.domain = *domain, .number = *number, .atMs = unsignedField(value, "at_ms").value_or(0)};
}

} // namespace

std::string encodeRecord(const Record &record)
{
    json value = std::visit([](const auto &it) { return toJson(it); }, record);
    value["schema"] = RecordSchema;
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Record> decodeRecord(std::string_view data)
{
    const auto value = parseJson(data);
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!value->is_object()) {
        return failure(ErrorCode::InvalidArgument, "a record must be a JSON object");
    }
    const auto schema = unsignedField(*value, "schema");
    if (!schema) {
        return tl::unexpected(schema.error());
    }
    if (*schema > RecordSchema) {
        return failure(ErrorCode::Unsupported, "the record has the unsupported schema " + std::to_string(*schema));
    }
    const auto kind = stringField(*value, "kind");
    if (!kind) {
        return tl::unexpected(kind.error());
    }
    if (*kind == "ticket") {
        return ticketRecordFrom(*value);
    }
    if (*kind == "claim") {
        return claimRecordFrom(*value);
    }
    if (*kind == "snapshot") {
        return snapshotRecordFrom(*value);
    }
    if (*kind == "in_force") {
        return inEffectRecordFrom(*value);
    }
    return failure(ErrorCode::InvalidArgument, "unknown record kind " + *kind);
}

} // namespace ibislock::configuration
