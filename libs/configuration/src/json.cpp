#include "json.h"

namespace ibislock::configuration
{

namespace
{

using nlohmann::json;

tl::unexpected<Error> invalidField(const char *name, const char *expected)
{
    return failure(ErrorCode::InvalidArgument, std::string("field \"") + name + "\" must be " + expected);
}

Result<std::vector<std::string>> stringListField(const json &value, const char *name)
{
    std::vector<std::string> items;
    const auto it = value.find(name);
    if (it == value.end()) {
        return items;
    }
    if (!it->is_array()) {
        return invalidField(name, "a list of texts");
    }
    for (const json &item : *it) {
        if (!item.is_string() || item.get_ref<const std::string &>().empty()) {
            return invalidField(name, "a list of texts that are not empty");
        }
        items.push_back(item.get<std::string>());
    }
    return items;
}

} // namespace

Result<json> parseJson(std::string_view text)
{
    const json::parser_callback_t limitDepth = [](int depth, json::parse_event_t, json &) -> bool {
        return depth <= JsonDepthMax;
    };
    json value = json::parse(text, limitDepth, false);
    if (value.is_discarded()) {
        return failure(ErrorCode::InvalidArgument, "the text is not a JSON document");
    }
    return value;
}

Result<std::string> stringField(const json &value, const char *name)
{
    const auto it = value.find(name);
    if (it == value.end() || !it->is_string() || it->get_ref<const std::string &>().empty()) {
        return invalidField(name, "a text that is not empty");
    }
    return it->get<std::string>();
}

Result<std::uint64_t> unsignedField(const json &value, const char *name)
{
    const auto it = value.find(name);
    if (it == value.end() || !it->is_number_unsigned()) {
        return invalidField(name, "a whole number of at least 0");
    }
    return it->get<std::uint64_t>();
}

Result<Digest> digestField(const json &value, const char *name)
{
    const auto it = value.find(name);
    if (it == value.end()) {
        return Digest{};
    }
    if (!it->is_string()) {
        return invalidField(name, "a digest of 64 hexadecimal digits");
    }
    const auto digest = digestFromHex(it->get_ref<const std::string &>());
    if (!digest) {
        return invalidField(name, "a digest of 64 hexadecimal digits");
    }
    return *digest;
}

json toJson(const ScopeChange &change)
{
    json value{
        {"workspace", change.scope.workspace},    {"role", change.scope.role},
        {"model", change.assignment.model},       {"version", change.assignment.version},
        {"adapters", change.assignment.adapters}, {"vms", change.assignment.vms},
    };
    if (!change.assignment.manifest.isNone()) {
        value["manifest"] = toHex(change.assignment.manifest);
    }
    return value;
}

Result<ScopeChange> changeFrom(const json &value)
{
    if (!value.is_object()) {
        return invalidField("scopes", "a list of objects");
    }
    ScopeChange change;
    const auto workspace = stringField(value, "workspace");
    const auto role = stringField(value, "role");
    const auto model = stringField(value, "model");
    const auto version = stringField(value, "version");
    const auto manifest = digestField(value, "manifest");
    auto adapters = stringListField(value, "adapters");
    auto vms = stringListField(value, "vms");
    for (const auto *text : {&workspace, &role, &model, &version}) {
        if (!*text) {
            return tl::unexpected(text->error());
        }
    }
    if (!manifest) {
        return tl::unexpected(manifest.error());
    }
    for (const auto *list : {&adapters, &vms}) {
        if (!*list) {
            return tl::unexpected(list->error());
        }
    }
    change.scope = {.workspace = *workspace, .role = *role};
    change.assignment = {.model = *model,
                         .version = *version,
                         .manifest = *manifest,
                         .adapters = std::move(*adapters),
                         .vms = std::move(*vms)};
    return change;
}

json toJson(const Ticket &ticket)
{
    json scopes = json::array();
    for (const ScopeChange &change : ticket.changes) {
        scopes.push_back(toJson(change));
    }
    return {{"number", ticket.number}, {"scopes", std::move(scopes)}};
}

Result<Ticket> ticketFrom(const json &value)
{
    if (!value.is_object()) {
        return failure(ErrorCode::InvalidArgument, "a ticket must be an object");
    }
    const auto number = unsignedField(value, "number");
    if (!number) {
        return tl::unexpected(number.error());
    }
    const auto scopes = value.find("scopes");
    if (scopes == value.end() || !scopes->is_array() || scopes->empty()) {
        return invalidField("scopes", "a list with at least one scope");
    }
    Ticket ticket{.number = *number};
    for (const json &item : *scopes) {
        auto change = changeFrom(item);
        if (!change) {
            return tl::unexpected(change.error());
        }
        for (const ScopeChange &earlier : ticket.changes) {
            if (earlier.scope == change->scope) {
                return failure(ErrorCode::InvalidArgument,
                               "scope " + change->scope.workspace + "/" + change->scope.role + " is named twice");
            }
        }
        ticket.changes.push_back(std::move(*change));
    }
    return ticket;
}

} // namespace ibislock::configuration
