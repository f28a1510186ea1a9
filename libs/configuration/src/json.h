// Conversions between JSON values and the configuration structs, shared by the encoders and decoders of this library.

#pragma once

#include "ibislock/configuration/ticket.h"

#include <nlohmann/json.hpp>

namespace ibislock::configuration
{

/// The maximum nesting depth that is parsed; records are nested less deeply.
inline constexpr int JsonDepthMax = 16;

/// Parses JSON without exceptions and with a limited nesting depth.
/// @return the value, or InvalidArgument.
Result<nlohmann::json> parseJson(std::string_view text);

/// Converts a ticket to a JSON value.
nlohmann::json toJson(const Ticket &ticket);

/// Converts a JSON value to a ticket.
/// @return the ticket, or InvalidArgument with the field that is invalid.
Result<Ticket> ticketFrom(const nlohmann::json &json);

/// Converts the new state of a scope to a JSON value.
nlohmann::json toJson(const ScopeChange &change);

/// Converts a JSON value to the new state of a scope.
/// @return the state, or InvalidArgument with the field that is invalid.
Result<ScopeChange> changeFrom(const nlohmann::json &json);

/// Reads a string field.
/// @return the string, or InvalidArgument if it is missing, empty or no string.
Result<std::string> stringField(const nlohmann::json &json, const char *name);

/// Reads a field with a non-negative integer.
/// @return the number, or InvalidArgument if it is missing or no such integer.
Result<std::uint64_t> unsignedField(const nlohmann::json &json, const char *name);

/// Reads a digest field; a missing field results in the digest "none".
/// @return the digest, or InvalidArgument.
Result<Digest> digestField(const nlohmann::json &json, const char *name);

} // namespace ibislock::configuration
