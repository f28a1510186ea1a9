#include "ibislock/peer/messages.h"

#include "codec.h"
#include "peer.capnp.h"
#include "watermark_fields.h"

#include <algorithm>
#include <limits>

namespace ibislock::peer
{

namespace
{

/// The value on the wire that stands for no planned load.
constexpr std::uint16_t NoLoadPlanned = 65535;

capnp::Data::Reader dataOf(std::string_view bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::string_view viewOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

Result<std::vector<Digest>> digestsFrom(std::string_view bytes)
{
    std::vector<Digest> out;
    if (bytes.size() % DigestBytes != 0) {
        return failure(ErrorCode::Corrupt, "the digests of a manifest are truncated");
    }
    for (std::size_t at = 0; at < bytes.size(); at += DigestBytes) {
        out.push_back(*digestFromBytes(bytes.substr(at, DigestBytes)));
    }
    return out;
}

using serving::SuspectKind;

void decodeSuspicions(const capnp::List<wire::Suspicion>::Reader &list, SuspectKind kind,
                      serving::QuarantineReport &out)
{
    for (const auto suspicion : list) {
        out.suspicions.push_back({.engine = suspicion.getEngine(),
                                  .part = {suspicion.getPart(), kind},
                                  .age = Millis{suspicion.getAgeMs()},
                                  .responding = suspicion.getResponding(),
                                  .depth = suspicion.getDepth()});
    }
}

void decodeAnswers(const capnp::List<wire::AnsweredPart>::Reader &list, SuspectKind kind,
                   serving::QuarantineReport &out)
{
    for (const auto answer : list) {
        out.answers.push_back({.part = {answer.getPart(), kind}, .age = Millis{answer.getAgeMs()}});
    }
}

void decodeParts(const capnp::List<wire::QuarantinedPart>::Reader &list, SuspectKind kind,
                 serving::QuarantineReport &out)
{
    for (const auto part : list) {
        out.parts.push_back({.part = {part.getPart(), kind},
                             .origin = part.getOrigin(),
                             .age = Millis{part.getAgeMs()},
                             .requestAge = Millis{part.getRequestAgeMs()}});
    }
}

serving::QuarantineReport decodeQuarantine(const wire::Quarantine::Reader &message)
{
    serving::QuarantineReport out;
    decodeSuspicions(message.getSuspicions(), SuspectKind::Part, out);
    decodeSuspicions(message.getRequestSuspicions(), SuspectKind::Request, out);
    decodeAnswers(message.getAnswers(), SuspectKind::Part, out);
    decodeAnswers(message.getRequestAnswers(), SuspectKind::Request, out);
    decodeParts(message.getParts(), SuspectKind::Part, out);
    decodeParts(message.getRequests(), SuspectKind::Request, out);
    return out;
}

/// Returns how many entries of a report are of a kind.
template <typename Entry>
unsigned countOf(const std::vector<Entry> &entries, SuspectKind kind)
{
    return static_cast<unsigned>(
        std::count_if(entries.begin(), entries.end(), [&](const Entry &entry) { return entry.part.kind == kind; }));
}

void encodeSuspicions(const serving::QuarantineReport &report, SuspectKind kind,
                      capnp::List<wire::Suspicion>::Builder list)
{
    unsigned n = 0;
    for (const auto &suspicion : report.suspicions) {
        if (suspicion.part.kind != kind) {
            continue;
        }
        auto to = list[n++];
        to.setEngine(suspicion.engine);
        to.setPart(suspicion.part.id);
        to.setAgeMs(wireMillis(suspicion.age));
        to.setResponding(suspicion.responding);
        to.setDepth(static_cast<std::uint8_t>(suspicion.depth));
    }
}

void encodeAnswers(const serving::QuarantineReport &report, SuspectKind kind,
                   capnp::List<wire::AnsweredPart>::Builder list)
{
    unsigned n = 0;
    for (const auto &answer : report.answers) {
        if (answer.part.kind != kind) {
            continue;
        }
        auto to = list[n++];
        to.setPart(answer.part.id);
        to.setAgeMs(wireMillis(answer.age));
    }
}

void encodeParts(const serving::QuarantineReport &report, SuspectKind kind,
                 capnp::List<wire::QuarantinedPart>::Builder list)
{
    unsigned n = 0;
    for (const auto &part : report.parts) {
        if (part.part.kind != kind) {
            continue;
        }
        auto to = list[n++];
        to.setPart(part.part.id);
        to.setOrigin(part.origin);
        to.setAgeMs(wireMillis(part.age));
        to.setRequestAgeMs(wireMillis(part.requestAge));
    }
}

Result<PieceMessage> decodePiece(std::string_view bytes)
{
    PieceMessage out;
    const auto words = aligned(bytes);
    capnp::FlatArrayMessageReader reader(words, readerOptions(words));
    const auto message = reader.getRoot<wire::PieceMessage>();
    out.model = message.getModel().cStr();
    out.version = message.getVersion();
    out.index = message.getIndex();
    out.queueTime = Millis{message.getQueuedMs()};
    out.forDomain = message.getForDomain();
    switch (message.which()) {
    case wire::PieceMessage::ASK:
        out.content = PieceContent::Request;
        out.waitMs = message.getAsk();
        out.sender = message.getSender().cStr();
        out.held = viewOf(message.getHeld());
        return out;
    case wire::PieceMessage::BYTES:
        out.content = PieceContent::Bytes;
        out.bytes = viewOf(message.getBytes());
        return out;
    case wire::PieceMessage::MISSING:
        out.content = PieceContent::Missing;
        return out;
    case wire::PieceMessage::ELSEWHERE:
        out.content = PieceContent::Redirect;
        out.redirectVm = message.getElsewhere().cStr();
        return out;
    case wire::PieceMessage::READY:
        out.content = PieceContent::Ready;
        return out;
    case wire::PieceMessage::HOLDINGS:
        out.content = PieceContent::Holdings;
        out.held = viewOf(message.getHoldings());
        return out;
    case wire::PieceMessage::MANIFEST: {
        out.content = PieceContent::Manifest;
        out.chunkBytes = message.getManifest().getChunkBytes();
        auto digests = digestsFrom(viewOf(message.getManifest().getDigests()));
        if (!digests) {
            return tl::unexpected(digests.error());
        }
        out.digests = std::move(*digests);
        return out;
    }
    }
    return failure(ErrorCode::Corrupt, "piece message of unknown type");
}

template <typename Builder>
void writeStamps(Builder to, const SendStamps &stamps)
{
    to.setSentStamp(stamps.sent);
    to.setReturnedStamp(stamps.returned);
    to.setHeldMs(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(stamps.heldFor.count(), 0, std::numeric_limits<std::uint32_t>::max())));
}

template <typename Reader>
SendStamps readStamps(Reader from)
{
    return {.sent = from.getSentStamp(), .returned = from.getReturnedStamp(), .heldFor = Millis{from.getHeldMs()}};
}

} // namespace

std::string encode(const SubscribeMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto subscribe = builder.initRoot<wire::Datagram>().initSubscribe();
    writeWatermark(subscribe, message.operatorsWatermark);
    subscribe.setWantsLoads(message.wantsLoads);
    writeStamps(subscribe, message.stamps);
    return flatten(builder);
}

std::string encode(const LoadMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto load = builder.initRoot<wire::Datagram>().initLoad();
    load.setIncarnation(message.incarnation);
    load.setSequence(message.sequence);
    load.setRunning(static_cast<std::uint16_t>(message.running));
    load.setQueued(static_cast<std::uint16_t>(message.queued));
    load.setVersion(message.version);
    load.setLoading(message.loading);
    load.setEntryVms(static_cast<std::uint16_t>(message.entryVmCount));
    auto announcements = load.initNamings(static_cast<unsigned>(message.announcements.size()));
    for (unsigned n = 0; n < announcements.size(); ++n) {
        announcements[n].setModel(message.announcements[n].model);
        announcements[n].setVersion(message.announcements[n].version);
        announcements[n].setAgeMs(static_cast<std::uint32_t>(message.announcements[n].age.count()));
    }
    if (message.loadStartsIn) {
        load.setLoadsInMs(
            static_cast<std::uint16_t>(std::min<std::int64_t>(message.loadStartsIn->count(), NoLoadPlanned - 1)));
    }
    load.setLoadSubscribers(static_cast<std::uint16_t>(message.loadSubscriberCount));
    load.setEngineStartedAt(message.engineStartedAt);
    load.setEngineRunningMs(wireMillis(message.engineRunningFor));
    writeWatermark(load, message.operatorsWatermark);
    writeStamps(load, message.stamps);
    return flatten(builder);
}

std::string encode(const QuarantineMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto quarantine = builder.initRoot<wire::Datagram>().initQuarantine();
    const serving::QuarantineReport &report = message.report;
    // A list that isn't there takes no space.
    if (const unsigned n = countOf(report.suspicions, SuspectKind::Part)) {
        encodeSuspicions(report, SuspectKind::Part, quarantine.initSuspicions(n));
    }
    if (const unsigned n = countOf(report.suspicions, SuspectKind::Request)) {
        encodeSuspicions(report, SuspectKind::Request, quarantine.initRequestSuspicions(n));
    }
    if (const unsigned n = countOf(report.answers, SuspectKind::Part)) {
        encodeAnswers(report, SuspectKind::Part, quarantine.initAnswers(n));
    }
    if (const unsigned n = countOf(report.answers, SuspectKind::Request)) {
        encodeAnswers(report, SuspectKind::Request, quarantine.initRequestAnswers(n));
    }
    if (const unsigned n = countOf(report.parts, SuspectKind::Part)) {
        encodeParts(report, SuspectKind::Part, quarantine.initParts(n));
    }
    if (const unsigned n = countOf(report.parts, SuspectKind::Request)) {
        encodeParts(report, SuspectKind::Request, quarantine.initRequests(n));
    }
    return flatten(builder);
}

Result<Datagram> decodeDatagram(std::string_view bytes)
{
    try {
        const auto words = aligned(bytes);
        capnp::FlatArrayMessageReader reader(words, readerOptions(words));
        const auto message = reader.getRoot<wire::Datagram>();
        if (message.isSubscribe()) {
            return SubscribeMessage{.operatorsWatermark = readWatermark(message.getSubscribe()),
                                    .wantsLoads = message.getSubscribe().getWantsLoads(),
                                    .stamps = readStamps(message.getSubscribe())};
        }
        if (message.isQuarantine()) {
            return QuarantineMessage{.report = decodeQuarantine(message.getQuarantine())};
        }
        if (!message.isLoad()) {
            return failure(ErrorCode::Corrupt, "datagram of unknown type");
        }
        const auto load = message.getLoad();
        const std::uint16_t loadsInMs = load.getLoadsInMs();
        std::vector<Announcement> announcements;
        for (const auto announcement : load.getNamings()) {
            announcements.push_back({.model = announcement.getModel().cStr(),
                                     .version = announcement.getVersion(),
                                     .age = Millis{announcement.getAgeMs()}});
        }
        return LoadMessage{.incarnation = load.getIncarnation(),
                           .sequence = load.getSequence(),
                           .running = load.getRunning(),
                           .queued = load.getQueued(),
                           .version = load.getVersion(),
                           .loading = load.getLoading(),
                           .entryVmCount = load.getEntryVms(),
                           .announcements = std::move(announcements),
                           .loadStartsIn = loadsInMs == NoLoadPlanned ? std::nullopt : std::optional(Millis{loadsInMs}),
                           .loadSubscriberCount = load.getLoadSubscribers(),
                           .engineStartedAt = load.getEngineStartedAt(),
                           .engineRunningFor = Millis{load.getEngineRunningMs()},
                           .operatorsWatermark = readWatermark(load),
                           .stamps = readStamps(load)};
    } catch (const kj::Exception &exception) {
        return failure(ErrorCode::Corrupt, exception.getDescription().cStr());
    }
}

std::string encode(const PieceMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto piece = builder.initRoot<wire::PieceMessage>();
    piece.setModel(message.model);
    piece.setVersion(message.version);
    piece.setIndex(message.index);
    piece.setForDomain(message.forDomain);
    piece.setQueuedMs(static_cast<std::uint32_t>(message.queueTime.count()));
    switch (message.content) {
    case PieceContent::Request:
        piece.setAsk(message.waitMs);
        piece.setSender(message.sender);
        piece.setHeld(dataOf(message.held));
        break;
    case PieceContent::Bytes:
        piece.setBytes(dataOf(message.bytes));
        break;
    case PieceContent::Missing:
        piece.setMissing();
        break;
    case PieceContent::Redirect:
        piece.setElsewhere(message.redirectVm);
        break;
    case PieceContent::Ready:
        piece.setReady();
        break;
    case PieceContent::Holdings:
        piece.setHoldings(dataOf(message.held));
        break;
    case PieceContent::Manifest: {
        auto manifest = piece.initManifest();
        manifest.setChunkBytes(message.chunkBytes);
        std::string digests;
        for (const Digest &digest : message.digests) {
            digests += bytesOf(digest);
        }
        manifest.setDigests(dataOf(digests));
        break;
    }
    }
    return frame(flatten(builder));
}

PieceReader::PieceReader(std::size_t maxBytes)
    : m_frames(maxBytes)
{
}

void PieceReader::add(std::string_view bytes)
{
    m_frames.add(bytes);
}

Result<PieceMessage> PieceReader::next()
{
    const auto body = m_frames.next();
    if (!body) {
        return tl::unexpected(body.error());
    }
    try {
        return decodePiece(*body);
    } catch (const kj::Exception &exception) {
        return failure(ErrorCode::Corrupt, exception.getDescription().cStr());
    }
}

} // namespace ibislock::peer
