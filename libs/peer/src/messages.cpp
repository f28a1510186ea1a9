#include "ibislock/peer/messages.h"

#include "codec.h"
#include "peer.capnp.h"
#include "watermark_fields.h"

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

serving::Suspect suspectFrom(std::uint64_t id, bool isRequest)
{
    return {id, isRequest ? serving::SuspectKind::Request : serving::SuspectKind::Part};
}

bool isRequest(const serving::Suspect &suspect)
{
    return suspect.kind == serving::SuspectKind::Request;
}

serving::QuarantineReport decodeQuarantine(const wire::Quarantine::Reader &message)
{
    serving::QuarantineReport out;
    for (const auto suspicion : message.getSuspicions()) {
        out.suspicions.push_back({.engine = suspicion.getEngine(),
                                  .part = suspectFrom(suspicion.getPart(), suspicion.getIsRequest()),
                                  .age = Millis{suspicion.getAgeMs()},
                                  .responding = suspicion.getResponding(),
                                  .depth = suspicion.getDepth()});
    }
    for (const auto answer : message.getAnswers()) {
        out.answers.push_back(
            {.part = suspectFrom(answer.getPart(), answer.getIsRequest()), .age = Millis{answer.getAgeMs()}});
    }
    for (const auto part : message.getParts()) {
        out.parts.push_back({.part = suspectFrom(part.getPart(), part.getIsRequest()),
                             .origin = part.getOrigin(),
                             .age = Millis{part.getAgeMs()},
                             .requestAge = Millis{part.getRequestAgeMs()}});
    }
    return out;
}

Result<PieceMessage> decodePiece(std::string_view bytes)
{
    PieceMessage out;
    const auto words = aligned(bytes);
    capnp::FlatArrayMessageReader reader(words);
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

} // namespace

std::string encode(const SubscribeMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto subscribe = builder.initRoot<wire::Datagram>().initSubscribe();
    writeWatermark(subscribe, message.operatorsWatermark);
    subscribe.setWantsLoads(message.wantsLoads);
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
    writeWatermark(load, message.operatorsWatermark);
    return flatten(builder);
}

std::string encode(const QuarantineMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto quarantine = builder.initRoot<wire::Datagram>().initQuarantine();
    const serving::QuarantineReport &report = message.report;
    auto suspicions = quarantine.initSuspicions(static_cast<unsigned>(report.suspicions.size()));
    for (unsigned n = 0; n < suspicions.size(); ++n) {
        suspicions[n].setEngine(report.suspicions[n].engine);
        suspicions[n].setPart(report.suspicions[n].part.id);
        suspicions[n].setIsRequest(isRequest(report.suspicions[n].part));
        suspicions[n].setAgeMs(wireMillis(report.suspicions[n].age));
        suspicions[n].setResponding(report.suspicions[n].responding);
        suspicions[n].setDepth(static_cast<std::uint8_t>(report.suspicions[n].depth));
    }
    auto answers = quarantine.initAnswers(static_cast<unsigned>(report.answers.size()));
    for (unsigned n = 0; n < answers.size(); ++n) {
        answers[n].setPart(report.answers[n].part.id);
        answers[n].setIsRequest(isRequest(report.answers[n].part));
        answers[n].setAgeMs(wireMillis(report.answers[n].age));
    }
    auto parts = quarantine.initParts(static_cast<unsigned>(report.parts.size()));
    for (unsigned n = 0; n < parts.size(); ++n) {
        parts[n].setPart(report.parts[n].part.id);
        parts[n].setIsRequest(isRequest(report.parts[n].part));
        parts[n].setOrigin(report.parts[n].origin);
        parts[n].setAgeMs(wireMillis(report.parts[n].age));
        parts[n].setRequestAgeMs(wireMillis(report.parts[n].requestAge));
    }
    return flatten(builder);
}

Result<Datagram> decodeDatagram(std::string_view bytes)
{
    try {
        const auto words = aligned(bytes);
        capnp::FlatArrayMessageReader reader(words);
        const auto message = reader.getRoot<wire::Datagram>();
        if (message.isSubscribe()) {
            return SubscribeMessage{.operatorsWatermark = readWatermark(message.getSubscribe()),
                                    .wantsLoads = message.getSubscribe().getWantsLoads()};
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
                           .operatorsWatermark = readWatermark(load)};
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
