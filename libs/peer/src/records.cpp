#include "ibislock/peer/records.h"

#include "codec.h"
#include "peer.capnp.h"

namespace ibislock::peer
{

TopicRecord readRecord(wire::Record::Reader from, std::int64_t era)
{
    TopicRecord out{.key = from.getKey().cStr(), .value = {}, .position = {.era = era, .offset = from.getOffset()}};
    if (!from.getDropped()) {
        const auto value = from.getValue().asChars();
        out.value.emplace(value.begin(), value.size());
    }
    return out;
}

void writeRecords(capnp::List<wire::Record>::Builder to, const std::vector<TopicRecord> &records)
{
    for (unsigned n = 0; n < to.size(); ++n) {
        const TopicRecord &record = records[n];
        to[n].setKey(record.key);
        to[n].setOffset(record.position.offset);
        to[n].setDropped(!record.value);
        if (record.value) {
            to[n].setValue(kj::StringPtr(record.value->c_str(), record.value->size()).asBytes());
        }
    }
}

namespace
{

RecordsUpdate read(wire::RecordsUpdate::Reader from)
{
    RecordsUpdate out{
        .sequence = from.getSequence(), .end = {.era = from.getEra(), .offset = from.getEnd()}, .records = {}};
    for (const auto record : from.getRecords()) {
        out.records.push_back(readRecord(record, from.getEra()));
    }
    if (from.getHasKeys()) {
        out.keys.emplace();
        for (const auto key : from.getKeys()) {
            out.keys->emplace_back(key.cStr());
        }
    }
    return out;
}

} // namespace

std::string encode(const RecordsRequest &message)
{
    capnp::MallocMessageBuilder builder;
    auto request = builder.initRoot<wire::RecordsMessage>().initAsk();
    request.setSequence(message.sequence);
    request.setFrom(message.from.offset);
    request.setFromEra(message.from.era);
    request.setEnd(message.awaitedEnd.offset);
    request.setEndEra(message.awaitedEnd.era);
    request.setWaitMs(wireMillis(message.wait));
    return frame(flatten(builder));
}

std::string encode(const RecordsUpdate &message)
{
    capnp::MallocMessageBuilder builder;
    auto update = builder.initRoot<wire::RecordsMessage>().initUpdate();
    update.setSequence(message.sequence);
    update.setEnd(message.end.offset);
    update.setEra(message.end.era);
    writeRecords(update.initRecords(static_cast<unsigned>(message.records.size())), message.records);
    if (message.keys) {
        update.setHasKeys(true);
        auto keys = update.initKeys(static_cast<unsigned>(message.keys->size()));
        for (unsigned n = 0; n < keys.size(); ++n) {
            keys.set(n, (*message.keys)[n]);
        }
    }
    return frame(flatten(builder));
}

Result<RecordsMessage> decodeRecords(std::string_view body)
{
    try {
        const auto words = aligned(body);
        capnp::FlatArrayMessageReader reader(words, readerOptions(words));
        const auto message = reader.getRoot<wire::RecordsMessage>();
        if (message.isAsk()) {
            const auto request = message.getAsk();
            return RecordsRequest{.sequence = request.getSequence(),
                                  .from = {.era = request.getFromEra(), .offset = request.getFrom()},
                                  .awaitedEnd = {.era = request.getEndEra(), .offset = request.getEnd()},
                                  .wait = Millis{request.getWaitMs()}};
        }
        if (!message.isUpdate()) {
            return failure(ErrorCode::Corrupt, "records message of unknown type");
        }
        return read(message.getUpdate());
    } catch (const kj::Exception &exception) {
        return failure(ErrorCode::Corrupt, exception.getDescription().cStr());
    }
}

} // namespace ibislock::peer
