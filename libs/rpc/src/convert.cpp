#include "convert.h"

namespace ibislock::rpc
{

namespace
{

std::string textOf(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

/// An outcome that this version does not know is treated as unknown.
requests::Outcome outcomeOf(std::uint8_t value)
{
    const auto outcome = static_cast<requests::Outcome>(value);
    return nameOf(requests::OutcomeNames, outcome) == "unnamed" ? requests::Outcome::Unknown : outcome;
}

/// Reads a value of an enumeration; one that this version does not know becomes the fallback.
template <typename Enum, std::size_t N>
Enum valueIn(const NameTable<Enum, N> &table, std::uint8_t value, Enum fallback)
{
    const auto known = static_cast<Enum>(value);
    return nameOf(table, known) == "unnamed" ? fallback : known;
}

std::uint32_t wireMillis(Millis value)
{
    return static_cast<std::uint32_t>(std::max(value, Millis(0)).count());
}

} // namespace

capnp::Data::Reader dataOf(std::string_view bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::string stringOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

Digest digestOf(capnp::Data::Reader data)
{
    return digestFromBytes({reinterpret_cast<const char *>(data.begin()), data.size()}).value_or(Digest{});
}

void write(wire::Report::Builder wire, const membership::Report &report)
{
    wire.setVm(report.vm.c_str());
    wire.setDomain(report.domain.c_str());
    wire.setAddress(report.address.c_str());
    wire.setEntry(report.kind == membership::VmKind::Entry);
    wire.setIncarnation(report.incarnation);
    wire.setStarted(report.started);
    wire.setSequence(report.sequence);
    wire.setLeaving(report.leaving);
    wire.setLogOffset(report.logOffset);
    wire.setPhase(report.phase.c_str());
    wire.setTicket(report.ticket);
    wire.setServing(dataOf(bytesOf(report.serving)));
    wire.setRunning(report.running);
    wire.setQueued(report.queued);
    wire.setCoveredTicket(report.coveredTicket);
    wire.setRevision(report.revision);
}

membership::Report read(wire::Report::Reader wire)
{
    return {.vm = textOf(wire.getVm()),
            .domain = textOf(wire.getDomain()),
            .address = textOf(wire.getAddress()),
            .kind = wire.getEntry() ? membership::VmKind::Entry : membership::VmKind::Target,
            .incarnation = wire.getIncarnation(),
            .started = wire.getStarted(),
            .revision = wire.getRevision(),
            .sequence = wire.getSequence(),
            .leaving = wire.getLeaving(),
            .logOffset = wire.getLogOffset(),
            .phase = textOf(wire.getPhase()),
            .ticket = wire.getTicket(),
            .serving = digestOf(wire.getServing()),
            .running = wire.getRunning(),
            .queued = wire.getQueued(),
            .coveredTicket = wire.getCoveredTicket()};
}

void write(wire::Request::Builder wire, const requests::Request &request)
{
    wire.setId(dataOf(request.id));
    wire.setEntryVm(request.entryVm.c_str());
    wire.setEntryIncarnation(request.entryIncarnation);
    wire.setWorkspace(request.workspace.c_str());
    wire.setRole(request.role.c_str());
    wire.setManifest(dataOf(bytesOf(request.manifest)));
    wire.setMethod(request.method.c_str());
    wire.setPath(request.path.c_str());
    wire.setContentType(request.contentType.c_str());
    wire.setBody(dataOf(request.body));
    wire.setStream(request.stream);
    wire.setIdempotent(request.idempotent);
    wire.setTimeLeftMs(wireMillis(request.timeLeft));
    wire.setPriority(static_cast<std::uint8_t>(request.priority));
    wire.setCost(request.cost);
    wire.setKey(request.idempotencyKey.c_str());
    wire.setResumeFrom(request.resumeFrom);
}

requests::Request read(wire::Request::Reader wire)
{
    return {.id = stringOf(wire.getId()),
            .entryVm = textOf(wire.getEntryVm()),
            .entryIncarnation = wire.getEntryIncarnation(),
            .workspace = textOf(wire.getWorkspace()),
            .role = textOf(wire.getRole()),
            .manifest = digestOf(wire.getManifest()),
            .method = textOf(wire.getMethod()),
            .path = textOf(wire.getPath()),
            .contentType = textOf(wire.getContentType()),
            .body = stringOf(wire.getBody()),
            .stream = wire.getStream(),
            .idempotent = wire.getIdempotent(),
            .timeLeft = Millis(wire.getTimeLeftMs()),
            .priority = valueIn(requests::PriorityNames, wire.getPriority(), requests::Priority::Normal),
            .cost = std::max(wire.getCost(), 1U),
            .idempotencyKey = textOf(wire.getKey()),
            .resumeFrom = wire.getResumeFrom()};
}

void write(wire::AnswerPart::Builder wire, const requests::ResponsePart &part)
{
    wire.setId(dataOf(part.id));
    wire.setIndex(part.index);
    wire.setData(dataOf(part.data));
}

requests::ResponsePart read(wire::AnswerPart::Reader wire)
{
    return {.id = stringOf(wire.getId()), .index = wire.getIndex(), .data = stringOf(wire.getData())};
}

void write(wire::AnswerEnd::Builder wire, const requests::ResponseEnd &end)
{
    wire.setId(dataOf(end.id));
    wire.setEntryIncarnation(end.entryIncarnation);
    wire.setWorkspace(end.workspace.c_str());
    wire.setManifest(dataOf(bytesOf(end.manifest)));
    wire.setOutcome(static_cast<std::uint8_t>(end.outcome));
    wire.setMessage(end.message.c_str());
    wire.setStatus(end.status);
    wire.setContentType(end.contentType.c_str());
    wire.setParts(end.parts);
    wire.setBytes(end.bytes);
    wire.setRetryAfterMs(wireMillis(end.retryAfter));
    wire.setRefusal(static_cast<std::uint8_t>(end.refusal));
    wire.setHasCachedBytes(end.cachedBytes.has_value());
    wire.setCachedBytes(end.cachedBytes.value_or(0));
}

requests::ResponseEnd read(wire::AnswerEnd::Reader wire)
{
    return {.id = stringOf(wire.getId()),
            .entryIncarnation = wire.getEntryIncarnation(),
            .workspace = textOf(wire.getWorkspace()),
            .manifest = digestOf(wire.getManifest()),
            .outcome = outcomeOf(wire.getOutcome()),
            .message = textOf(wire.getMessage()),
            .status = wire.getStatus(),
            .contentType = textOf(wire.getContentType()),
            .parts = wire.getParts(),
            .bytes = wire.getBytes(),
            .retryAfter = Millis(wire.getRetryAfterMs()),
            .refusal = valueIn(requests::RefusalNames, wire.getRefusal(), requests::Refusal::None),
            .cachedBytes = wire.getHasCachedBytes() ? std::optional(wire.getCachedBytes()) : std::nullopt};
}

} // namespace ibislock::rpc
