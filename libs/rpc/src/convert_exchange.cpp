#include "convert.h"

namespace ibislock::rpc
{

namespace
{

std::string textOf(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

void write(wire::Beat::Builder wire, const membership::Heartbeat &beat)
{
    wire.setVm(beat.vm.c_str());
    wire.setDomain(beat.domain.c_str());
    wire.setEntry(beat.kind == membership::VmKind::Entry);
    wire.setIncarnation(beat.incarnation);
    wire.setRevision(beat.revision);
    wire.setSequence(beat.sequence);
    wire.setLogOffset(beat.logOffset);
    wire.setLastTicket(beat.lastTicket);
    wire.setCoveredTicket(beat.coveredTicket);
    wire.setRunning(beat.running);
    wire.setQueued(beat.queued);
    wire.setLogReachable(beat.logReachable);
}

membership::Heartbeat read(wire::Beat::Reader wire)
{
    return {.vm = textOf(wire.getVm()),
            .domain = textOf(wire.getDomain()),
            .kind = wire.getEntry() ? membership::VmKind::Entry : membership::VmKind::Target,
            .incarnation = wire.getIncarnation(),
            .revision = wire.getRevision(),
            .sequence = wire.getSequence(),
            .logOffset = wire.getLogOffset(),
            .lastTicket = wire.getLastTicket(),
            .coveredTicket = wire.getCoveredTicket(),
            .running = wire.getRunning(),
            .queued = wire.getQueued(),
            .logReachable = wire.getLogReachable()};
}

void write(wire::News::Builder wire, const membership::MembershipUpdate &news)
{
    rpc::write(wire.initReport(), news.report);
    if (news.suspectedBy.empty()) {
        return;
    }
    auto silentFor = wire.initSilentFor(static_cast<unsigned>(news.suspectedBy.size()));
    unsigned i = 0;
    for (const std::string &delegate : news.suspectedBy) {
        silentFor.set(i++, delegate.c_str());
    }
}

membership::MembershipUpdate read(wire::News::Reader wire)
{
    membership::MembershipUpdate news{.report = rpc::read(wire.getReport()), .suspectedBy = {}};
    for (const auto delegate : wire.getSilentFor()) {
        news.suspectedBy.insert(textOf(delegate));
    }
    return news;
}

} // namespace

void write(wire::Exchange::Builder wire, const Exchange &exchange)
{
    write(wire.initFrom(), exchange.from);
    wire.setPeerIncarnation(exchange.peerIncarnation);
    wire.setTaken(exchange.taken);
    wire.setFingerprint(exchange.fingerprint);
    wire.setUpTo(exchange.upTo);
    wire.setWantsReport(exchange.wantsReport);
    wire.setWantsNews(exchange.wantsNews);
    auto news = wire.initNews(static_cast<unsigned>(exchange.news.size()));
    for (unsigned i = 0; i < news.size(); ++i) {
        write(news[i], exchange.news[i]);
    }
    auto domains = wire.initDomains(static_cast<unsigned>(exchange.domains.size()));
    for (unsigned i = 0; i < domains.size(); ++i) {
        domains[i].setDomain(exchange.domains[i].domain.c_str());
        domains[i].setAgeMs(static_cast<std::uint32_t>(std::max(exchange.domains[i].age, Millis(0)).count()));
    }
}

Exchange read(wire::Exchange::Reader wire)
{
    Exchange exchange{.from = read(wire.getFrom()),
                      .peerIncarnation = wire.getPeerIncarnation(),
                      .taken = wire.getTaken(),
                      .fingerprint = wire.getFingerprint(),
                      .upTo = wire.getUpTo(),
                      .wantsReport = wire.getWantsReport(),
                      .wantsNews = wire.getWantsNews()};
    for (const auto news : wire.getNews()) {
        exchange.news.push_back(read(news));
    }
    for (const auto domain : wire.getDomains()) {
        exchange.domains.push_back({.domain = textOf(domain.getDomain()), .age = Millis(domain.getAgeMs())});
    }
    return exchange;
}

void write(wire::StateExchange::StateResults::Builder wire, const StateDelta &delta)
{
    wire.setState(dataOf(delta.state));
    wire.setFirst(delta.first);
    auto records = wire.initRecords(static_cast<unsigned>(delta.records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
        records.set(i, dataOf(delta.records[i]));
    }
}

StateDelta read(wire::StateExchange::StateResults::Reader wire)
{
    StateDelta delta{.first = wire.getFirst(), .records = {}, .state = stringOf(wire.getState())};
    for (const auto record : wire.getRecords()) {
        delta.records.push_back(stringOf(record));
    }
    return delta;
}

} // namespace ibislock::rpc
