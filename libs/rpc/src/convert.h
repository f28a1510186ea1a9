// Conversions between the wire structs and the structs of the decision libraries.

#pragma once

#include "ibislock/membership/report.h"
#include "ibislock/requests/request.h"
#include "ibislock/rpc/server.h"

#include "membership.capnp.h"
#include "requests.capnp.h"

#include <string>
#include <string_view>

namespace ibislock::rpc
{

/// Views a byte string as Cap'n Proto data.
capnp::Data::Reader dataOf(std::string_view bytes);

/// Copies Cap'n Proto data.
std::string stringOf(capnp::Data::Reader data);

/// Copies a digest; data of another length gives no digest.
Digest digestOf(capnp::Data::Reader data);

/// What one call costs beside its message: frames of the RPC protocol and headers of TCP and IP, both ways.
inline constexpr std::uint64_t CallOverheadBytes = 430;

/// Gives the bytes that one direction of a call takes, with half of the overhead.
template <typename Reader>
std::uint64_t bytesOnWire(const Reader &reader)
{
    return reader.totalSize().wordCount * sizeof(capnp::word) + CallOverheadBytes / 2;
}

void write(wire::Exchange::Builder wire, const Exchange &exchange);
Exchange read(wire::Exchange::Reader wire);

void write(wire::StateExchange::StateResults::Builder wire, const StateDelta &delta);
StateDelta read(wire::StateExchange::StateResults::Reader wire);

void write(wire::Report::Builder wire, const membership::Report &report);
membership::Report read(wire::Report::Reader wire);

void write(wire::Request::Builder wire, const requests::Request &request);
requests::Request read(wire::Request::Reader wire);

void write(wire::AnswerPart::Builder wire, const requests::ResponsePart &part);
requests::ResponsePart read(wire::AnswerPart::Reader wire);

void write(wire::AnswerEnd::Builder wire, const requests::ResponseEnd &end);
requests::ResponseEnd read(wire::AnswerEnd::Reader wire);

} // namespace ibislock::rpc
