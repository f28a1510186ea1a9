#include "ibislock/peer/listings.h"

#include "codec.h"
#include "peer.capnp.h"
#include "watermark_fields.h"

#include <algorithm>

namespace ibislock::peer
{

namespace
{

/// The value on the wire that stands for no outage.
constexpr std::int64_t NoOutage = -1;

void write(wire::Listing::Builder to, const ListingChange &change)
{
    to.setId(change.id);
    to.setOffset(change.position.offset);
    to.setRemoved(!change.entry);
    if (!change.entry) {
        return;
    }
    const serving::TargetEntry &entry = *change.entry;
    to.setLeaving(entry.draining);
    to.setSlots(static_cast<std::uint16_t>(std::clamp(entry.slots, 0, 0xffff)));
    to.setStartedAt(entry.startedAt);
    to.setWriteNumber(change.writeNumber);
    to.setService(entry.service);
    to.setAddress(entry.address);
    to.setDomain(entry.domain);
    to.setColdLeftMs(wireMillis(entry.coldLeft));
    to.setHasEngine(entry.hasEngine);
    auto models = to.initModels(static_cast<unsigned>(entry.models.size()));
    for (unsigned n = 0; n < models.size(); ++n) {
        models[n].setName(entry.models[n].name);
        models[n].setVersion(entry.models[n].version);
    }
}

ListingChange read(wire::Listing::Reader from, std::int64_t era)
{
    ListingChange out{.id = from.getId().cStr(), .entry = {}, .position = {.era = era, .offset = from.getOffset()}};
    out.writeNumber = from.getWriteNumber();
    if (from.getRemoved()) {
        return out;
    }
    serving::TargetEntry entry{.id = out.id,
                               .service = from.getService().cStr(),
                               .address = from.getAddress().cStr(),
                               .domain = from.getDomain().cStr(),
                               .slots = from.getSlots(),
                               .draining = from.getLeaving(),
                               .startedAt = from.getStartedAt(),
                               .coldLeft = Millis{from.getColdLeftMs()},
                               .models = {},
                               .hasEngine = from.getHasEngine()};
    for (const auto model : from.getModels()) {
        entry.models.push_back({.name = model.getName().cStr(), .version = model.getVersion()});
    }
    out.entry = std::move(entry);
    return out;
}

ListingsUpdate read(wire::ListingsUpdate::Reader from)
{
    ListingsUpdate out{.sequence = from.getSequence(),
                       .end = {.era = from.getEra(), .offset = from.getEnd()},
                       .isSnapshot = from.getWhole(),
                       .heldFor = Millis{from.getHeldMs()},
                       .age = Millis{from.getAgeMs()},
                       .sinceStoreRecovery = {},
                       .listings = {},
                       .operatorsWatermark = readWatermark(from),
                       .entryVms = {},
                       .lostRecords = {}};
    if (from.getStoreBackMs() != NoOutage) {
        out.sinceStoreRecovery = Millis{from.getStoreBackMs()};
    }
    for (const auto listing : from.getListings()) {
        out.listings.push_back(read(listing, from.getEra()));
    }
    for (const auto vm : from.getEntryVms()) {
        out.entryVms.emplace_back(vm.cStr());
    }
    for (const auto record : from.getLostRecords()) {
        out.lostRecords.push_back(readRecord(record, from.getOperatorsEra()));
    }
    return out;
}

} // namespace

std::string encode(const ListingsRequest &message)
{
    capnp::MallocMessageBuilder builder;
    auto request = builder.initRoot<wire::ListingsMessage>().initAsk();
    request.setSequence(message.sequence);
    request.setFrom(message.from.offset);
    request.setEra(message.from.era);
    request.setWaitMs(wireMillis(message.wait));
    request.setEntryVm(message.entryVm);
    request.setWantsLostRecords(message.wantsLostRecords);
    return frame(flatten(builder));
}

std::string encode(const ListingsUpdate &message)
{
    capnp::MallocMessageBuilder builder;
    auto update = builder.initRoot<wire::ListingsMessage>().initUpdate();
    update.setSequence(message.sequence);
    update.setEnd(message.end.offset);
    update.setEra(message.end.era);
    update.setWhole(message.isSnapshot);
    update.setHeldMs(wireMillis(message.heldFor));
    update.setAgeMs(wireMillis(message.age));
    update.setStoreBackMs(message.sinceStoreRecovery ? message.sinceStoreRecovery->count() : NoOutage);
    writeWatermark(update, message.operatorsWatermark);
    auto listings = update.initListings(static_cast<unsigned>(message.listings.size()));
    for (unsigned n = 0; n < listings.size(); ++n) {
        write(listings[n], message.listings[n]);
    }
    auto entryVms = update.initEntryVms(static_cast<unsigned>(message.entryVms.size()));
    for (unsigned n = 0; n < entryVms.size(); ++n) {
        entryVms.set(n, message.entryVms[n]);
    }
    writeRecords(update.initLostRecords(static_cast<unsigned>(message.lostRecords.size())), message.lostRecords);
    return frame(flatten(builder));
}

Result<ListingsMessage> decodeListings(std::string_view body)
{
    try {
        const auto words = aligned(body);
        capnp::FlatArrayMessageReader reader(words, readerOptions(words));
        const auto message = reader.getRoot<wire::ListingsMessage>();
        if (message.isAsk()) {
            const auto request = message.getAsk();
            return ListingsRequest{.sequence = request.getSequence(),
                                   .from = {.era = request.getEra(), .offset = request.getFrom()},
                                   .wait = Millis{request.getWaitMs()},
                                   .entryVm = request.getEntryVm().cStr(),
                                   .wantsLostRecords = request.getWantsLostRecords()};
        }
        if (!message.isUpdate()) {
            return failure(ErrorCode::Corrupt, "listings message of unknown type");
        }
        return read(message.getUpdate());
    } catch (const kj::Exception &exception) {
        return failure(ErrorCode::Corrupt, exception.getDescription().cStr());
    }
}

} // namespace ibislock::peer
