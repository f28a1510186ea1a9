// Conversions between JSON values and the configuration structs, shared by the codecs of this library.

#pragma once

#include "ibislock/configuration/ticket.h"

#include <nlohmann/json.hpp>

namespace ibislock::configuration
{

/// The deepest nesting that any record of ours has, with room to spare.
inline constexpr int JsonDepthMax = 16;

/// Parses JSON without exceptions and with bounded depth.
Result<nlohmann::json> parseJson(std::string_view text);

/// Writes a ticket as a JSON value.
nlohmann::json toJson(const Ticket &ticket);

/// Reads a ticket from a JSON value.
Result<Ticket> ticketFrom(const nlohmann::json &json);

/// Writes a scope's new state as a JSON value.
nlohmann::json toJson(const ScopeChange &change);

/// Reads a scope's new state from a JSON value.
Result<ScopeChange> changeFrom(const nlohmann::json &json);

/// Reads a text field.
Result<std::string> stringField(const nlohmann::json &json, const char *name);

/// Reads an unsigned field.
Result<std::uint64_t> unsignedField(const nlohmann::json &json, const char *name);

/// Reads a digest field; an absent field stands for no digest.
Result<Digest> digestField(const nlohmann::json &json, const char *name);

} // namespace ibislock::configuration
