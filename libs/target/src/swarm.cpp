#include "swarm.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::target
{

namespace
{

using weights::FetchFailure;

constexpr Millis RefreshInterval{500};
constexpr Millis TickInterval{20};
constexpr Millis HoldingsHold{1000};
constexpr Millis HoldingsPause{250}; ///< How long what a source holds is not asked for after it was told.
constexpr Millis WithdrawnInterval{50};
constexpr double ImportBurstChunks = 4;

weights::PlanOptions planOptions(const TargetOptions &options)
{
    weights::PlanOptions plan = options.plan;
    plan.vm = options.node.vm;
    plan.domain = options.node.domain;
    plan.domainsAreRegions = options.pair.bytesPerSecond > 0;
    return plan;
}

/// How long to wait for the next chunk; one that is larger than the burst waits for a full bucket.
Millis waitForChunk(const weights::TokenBucket &bucket, const weights::Manifest &manifest, Millis now)
{
    const double bytes = std::min(static_cast<double>(manifest.chunkBytes), bucket.options.burstBytes);
    return weights::timeUntilAvailable(bucket, static_cast<std::uint64_t>(bytes), now);
}

} // namespace

void Inbox::push(SwarmEvent event)
{
    const std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
    m_changed.notify_one();
}

std::deque<SwarmEvent> Inbox::take(Millis timeout)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [this] { return !m_events.empty(); });
    return std::exchange(m_events, {});
}

Swarm::Swarm(const FetchContext &context, Links &links, OriginReader &origin, Random &random,
             const configuration::VmAssignment &duty, const weights::Manifest &manifest, const ChunkSink &sink)
    : m_context(context)
    , m_links(links)
    , m_origin(origin)
    , m_random(random)
    , m_duty(duty)
    , m_manifest(manifest)
    , m_sink(sink)
{
    auto held = holdVersion(context.holdings, duty.assignment.manifest, manifest);
    dropOtherVersions(context.holdings, duty.assignment.manifest);
    for (std::size_t i = 0; i < held.size(); ++i) {
        if (held[i]) {
            const std::lock_guard lock(context.holdings.mutex);
            sink(i, weights::get(context.holdings.store, manifest.chunks[i]));
        }
    }
    m_transfer = weights::makeTransfer(planOptions(context.options), manifest.chunks, std::move(held), steadyMillis());
}

Result<void> Swarm::run(const Withdrawn &withdrawn)
{
    while (m_outcome && !weights::isComplete(m_transfer)) {
        const Millis now = steadyMillis();
        if (now - m_refreshedAt >= RefreshInterval) {
            m_refreshedAt = now;
            refresh();
        }
        if (now - m_checkedAt >= WithdrawnInterval) {
            m_checkedAt = now;
            if (withdrawn()) {
                return failure(ErrorCode::Cancelled, "the transfer was withdrawn");
            }
        }
        askQuietSources();
        if (!m_context.faults.isStalled) {
            issueDraws();
        }
        for (SwarmEvent &event : m_inbox->take(std::clamp(drawWait(), Millis(1), TickInterval))) {
            std::visit([this](auto &it) { handle(it); }, event);
        }
        for (const weights::ChunkRequest &draw : weights::expireRequests(m_transfer, steadyMillis())) {
            weights::refund(m_links.download, weights::chunkSize(m_manifest, draw.chunk));
            m_context.counters.add(Counter::ChunkTimeouts);
        }
    }
    return m_outcome;
}

void Swarm::refresh()
{
    const Millis now = steadyMillis();
    weights::setParticipants(m_transfer, participantsOf(m_context.node, m_duty), now);
    const auto neighbours = weights::chooseNeighbours(m_transfer);
    weights::setSources(m_transfer, neighbours);
    m_context.node.withView([&](const membership::View &view) {
        for (const std::string &vm : neighbours) {
            m_addresses[vm] = membership::addressOf(*membership::find(view, vm));
        }
    });
    std::erase_if(m_revisions, [&](const auto &it) { return !m_transfer.sources.contains(it.first); });
    for (const auto &[vm, source] : m_transfer.sources) {
        if (!source.hasReported && now >= source.availableAt && m_revisions.contains(vm)) {
            m_revisions[vm] = 0; // What it told while it was not trusted did not count.
        }
    }
    for (const std::string &vm : neighbours) {
        if (m_revisions.try_emplace(vm, 0).second) {
            askHoldings(vm, Millis(0));
        }
    }
    applyPairShare();
}

void Swarm::applyPairShare()
{
    if (!m_transfer.options.domainsAreRegions) {
        return;
    }
    const auto sharers = std::count_if(
        m_transfer.participants.begin(), m_transfer.participants.end(),
        [&](const weights::Participant &it) { return it.isLive && it.domain == m_transfer.options.domain; });
    const double rate = m_context.options.pair.bytesPerSecond * m_context.options.share
        / static_cast<double>(std::max<std::ptrdiff_t>(1, sharers));
    const auto chunkBytes = static_cast<double>(m_manifest.chunkBytes);
    m_transfer.options.importInterval = Millis(static_cast<Millis::rep>(chunkBytes / rate * 1000));
    for (const weights::Participant &it : m_transfer.participants) {
        // A chunk that comes late may be made up for later; nothing is lent at the start.
        const weights::RateOptions options{.bytesPerSecond = rate, .burstBytes = ImportBurstChunks * chunkBytes};
        const auto [bucket, added] =
            m_links.imports.try_emplace(it.domain, weights::makeBucket(options, steadyMillis()));
        bucket->second.tokens = added ? chunkBytes : bucket->second.tokens;
        weights::setRate(bucket->second, rate, steadyMillis());
    }
}

void Swarm::askHoldings(const std::string &source, Millis hold)
{
    m_context.counters.add(Counter::HoldingsCalls);
    m_context.client.haveAsync(m_addresses.at(source), m_duty.assignment.manifest, m_revisions.at(source), hold,
                               [inbox = m_inbox, source](Result<rpc::HaveReply> reply) {
                                   inbox->push(HoldingsEvent{.source = source, .reply = std::move(reply)});
                               });
}

Millis Swarm::drawWait() const
{
    return waitForChunk(m_links.download, m_manifest, steadyMillis());
}

void Swarm::issueDraws()
{
    while (drawWait() == Millis(0)) {
        const Millis now = steadyMillis();
        if (waitForChunk(m_links.origin, m_manifest, now) > Millis(0)
            || !m_context.faults.mayReach(m_context.options.store.url)) {
            m_transfer.originAvailableAt = std::max(m_transfer.originAvailableAt, now + TickInterval);
        }
        const auto draw = weights::nextRequest(m_transfer, now, m_random);
        if (!draw) {
            return;
        }
        issue(*draw);
    }
}

std::string Swarm::domainOf(const std::string &source) const
{
    const auto it = m_transfer.sources.find(source);
    return it == m_transfer.sources.end() ? std::string() : it->second.domain;
}

void Swarm::issue(const weights::ChunkRequest &draw)
{
    const Millis now = steadyMillis();
    const std::uint64_t bytes = weights::chunkSize(m_manifest, draw.chunk);
    weights::reserve(m_links.download, bytes, now);
    if (draw.source.empty()) {
        weights::reserve(m_links.origin, bytes, now);
        const auto &assignment = m_duty.assignment;
        m_origin.read({.model = assignment.model, .version = assignment.version, .chunk = draw.chunk},
                      [inbox = m_inbox, chunk = draw.chunk](Result<std::string> read) {
                          auto answer = std::move(read).map([](std::string &&content) {
                              return rpc::ChunkAnswer{.found = true, .bytes = std::move(content)};
                          });
                          inbox->push(ChunkEvent{.chunk = chunk, .source = {}, .answer = std::move(answer)});
                      });
        return;
    }
    const std::string domain = domainOf(draw.source);
    const auto bucket = m_links.imports.find(domain);
    if (m_transfer.options.domainsAreRegions && domain != m_transfer.options.domain
        && bucket != m_links.imports.end()) {
        weights::reserve(bucket->second, bytes, now);
        m_transfer.regionAvailableAt[domain] = now + waitForChunk(bucket->second, m_manifest, now);
    }
    m_context.counters.add(Counter::ChunkCalls);
    m_context.client.chunkAsync(
        m_addresses.at(draw.source), m_manifest.chunks[draw.chunk], m_duty.assignment.manifest,
        m_transfer.options.chunkTimeout, [inbox = m_inbox, draw](Result<rpc::ChunkAnswer> answer) {
            inbox->push(ChunkEvent{.chunk = draw.chunk, .source = draw.source, .answer = std::move(answer)});
        });
}

void Swarm::handle(HoldingsEvent &event)
{
    const auto revision = m_revisions.find(event.source);
    if (revision == m_revisions.end()) {
        return;
    }
    if (event.reply) {
        if (event.reply->revision < revision->second) {
            revision->second = 0; // The source has started anew.
        }
        noteHoldings(event.source, *event.reply);
    } else if (event.reply.error().code == ErrorCode::NotFound) {
        revision->second = 0;
        weights::applyHoldings(m_transfer, event.source, {}, steadyMillis());
    } else {
        // The next refresh asks again.
        m_revisions.erase(revision);
        return;
    }
    m_askAt[event.source] = steadyMillis() + HoldingsPause;
}

void Swarm::noteHoldings(const std::string &source, const rpc::HaveReply &held)
{
    const auto revision = m_revisions.find(source);
    if (held.revision == 0 || revision == m_revisions.end() || held.revision <= revision->second) {
        return;
    }
    revision->second = held.revision;
    weights::applyHoldings(m_transfer, source, held.bitmap, steadyMillis());
    const auto ask = m_askAt.find(source);
    if (ask != m_askAt.end()) {
        ask->second = steadyMillis() + HoldingsPause;
    }
}

void Swarm::askQuietSources()
{
    const Millis now = steadyMillis();
    for (auto it = m_askAt.begin(); it != m_askAt.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        if (m_revisions.contains(it->first)) {
            askHoldings(it->first, HoldingsHold);
        }
        it = m_askAt.erase(it);
    }
}

void Swarm::handle(ChunkEvent &event)
{
    if (!event.answer) {
        fail(event, FetchFailure::NoResponse, Millis(0));
        return;
    }
    rpc::ChunkAnswer &answer = *event.answer;
    noteHoldings(event.source, answer.held);
    if (answer.busy) {
        m_context.counters.add(Counter::ChunkRefusals);
        fail(event, FetchFailure::Busy, answer.wait);
        return;
    }
    if (!answer.found) {
        fail(event, FetchFailure::NotHeld, Millis(0));
        return;
    }
    const auto request = m_transfer.requests.find(event.chunk);
    if (request == m_transfer.requests.end() || request->second.source != event.source) {
        // It was given up before, and its tokens were given back then.
        weights::reserve(m_links.download, answer.bytes.size(), steadyMillis());
    }
    m_context.counters.add(event.source.empty() ? Counter::OriginBytes : Counter::PeerBytes, answer.bytes.size());
    const std::string domain = domainOf(event.source);
    if (!domain.empty() && domain != m_transfer.options.domain) {
        m_context.imports.add(domain, answer.bytes.size());
    }
    if (!weights::verifyChunk(m_manifest, event.chunk, answer.bytes)) {
        m_context.counters.add(Counter::CorruptChunks);
        weights::recordFailure(m_transfer, event.chunk, event.source, FetchFailure::Corrupt, Millis(0), steadyMillis());
        if (event.source.empty()) {
            checkOrigin();
        }
        return;
    }
    keep(event, std::move(answer.bytes));
}

void Swarm::keep(const ChunkEvent &event, std::string bytes)
{
    const std::uint64_t size = bytes.size();
    const bool isNew =
        weights::recordArrival(m_transfer, event.chunk, event.source, event.answer->wait, steadyMillis());
    if (!isNew) {
        m_context.counters.add(Counter::DuplicateBytes, size);
        return;
    }
    auto shared = std::make_shared<const std::string>(std::move(bytes));
    const auto held = holdChunk(m_context.holdings, m_duty.assignment.manifest, event.chunk, shared);
    if (!held) {
        m_outcome = held;
        return;
    }
    m_sink(event.chunk, shared);
}

void Swarm::fail(const ChunkEvent &event, FetchFailure reason, Millis wait)
{
    const auto request = m_transfer.requests.find(event.chunk);
    const bool isPending = request != m_transfer.requests.end() && request->second.source == event.source;
    if (!isPending) {
        return; // It was given up before, and the tokens were given back then.
    }
    weights::refund(m_links.download, weights::chunkSize(m_manifest, event.chunk));
    weights::recordFailure(m_transfer, event.chunk, event.source, reason, wait, steadyMillis());
}

void Swarm::checkOrigin()
{
    stores::WeightStoreClient store(m_context.options.store);
    const auto manifest = store.manifest(m_duty.assignment.model, m_duty.assignment.version);
    if (manifest && weights::rootDigest(*manifest) != m_duty.assignment.manifest) {
        m_outcome = failure(ErrorCode::Corrupt, "the version was changed at the origin");
    }
}

} // namespace ibislock::target
