#include "front.h"

#include "call.h"
#include "caller_connection.h"
#include "ibislock/base/log.h"
#include "ibislock/feed/state_currency.h"
#include "ibislock/net/process_limits.h"
#include "ibislock/peer/messages.h"
#include "ibislock/serving/load_subscriptions.h"
#include "ibislock/serving/version_wait.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

/// Interval of checks of timeouts and queues; a fraction of the shortest latency objective, 100 ms.
constexpr Millis TickTime{20};

/// Interval of load subscriptions; target VMs remove a subscriber after three missed ones.
constexpr Millis SubscriptionTime{1000};

/// Interval of presence messages to target VMs without a load subscription; they remove an entry VM after three missed
/// ones.
constexpr Millis PresencePause{3000};

/// A load report doesn't include requests that were sent less than this before its arrival: the latency of the network
/// and of the engine's report.
constexpr Millis UnseenTime{60};

/// How long a stopping VM runs at least: until the platform has seen it not ready twice, a second apart.
constexpr Millis DrainTime{3500};

/// How long a stopping process accepts requests: until the platform has seen it not ready twice, a second apart. The
/// rest of the grace period is for the longest streams.
constexpr Millis LastRequestTime{3000};

/// A stopping process exits this much before the platform would kill it.
constexpr Millis KillMargin{200};

/// Limits of a readiness probe's request.
constexpr http::ReaderLimits ProbeLimits{.headBytes = 8 * 1024, .bodyBytes = 1024};

/// Buffers of callers' connections in the kernel, in bytes (it takes up to twice as much). What a connection that isn't
/// read holds there is memory of the VM, too. A body of 4 MB comes within a second at a round-trip time of 8 ms.
constexpr int CallerReceiveBuffer = 32 * 1024;
constexpr int CallerSendBuffer = 64 * 1024;

/// The same of connections to targets, the store and other VMs, which are fewer and have longer messages.
constexpr int TargetReceiveBuffer = 128 * 1024;

std::string_view requestPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

Front::Front(asio::io_context &ioLoop, platform::DaemonSettings daemonSettings, FrontOptions frontOptions)
    : loop(ioLoop)
    , settings(std::move(daemonSettings))
    , options(frontOptions)
    , client(ioLoop)
    , random(options.randomSeed ? Random(*options.randomSeed) : systemRandom())
    , m_callers(ioLoop, [this](const std::shared_ptr<net::Connection> &connection) { serveCaller(connection); },
                {.admits = [this] { return admitCaller(); },
                 .receiveBuffer = CallerReceiveBuffer,
                 .sendBuffer = CallerSendBuffer})
    , m_readiness(ioLoop, [this](const std::shared_ptr<net::Connection> &connection) { serveReadiness(connection); })
    , m_metrics(ioLoop, [this](const std::shared_ptr<net::Connection> &connection) { serveMetrics(connection); })
    , m_tick(ioLoop)
    , m_loads(ioLoop)
{
    memory.limits = serving::memoryLimits(net::availableMemoryMb(settings.memoryMb),
                                          net::availableDescriptors(settings.maxDescriptors));
    client.limitReceiveBuffer(TargetReceiveBuffer);
    quarantine.self = random();
    m_sendTimeClock = feed::makeSendTimeClock(systemRandom()(), bootMillis());
    quarantine.forwardOneIn = serving::EntryForwardOneIn;
    retries.ratio = settings.bounds.retryRatio;
    retries.allowance = settings.bounds.retryAllowance;
    retries.window = settings.bounds.retryWindow;
    // Until target VMs report how many entry VMs there are, the share of the retry budget is that of a large number.
    constexpr int AssumedEntryVms = 16;
    m_entryVms = serving::assumedEntryVms(AssumedEntryVms, steadyMillis());
    retries.entryVms = AssumedEntryVms;
    m_sharers = serving::assumedSharers(steadyMillis());
    serving::applyColdEntryVms(table, entryVms(m_sharers));
}

Front::~Front()
{
    // Connections and the objects in their callbacks keep each other alive until the connections are closed.
    for (const auto &[raw, connection] : m_connections) {
        connection->close();
    }
}

Result<void> Front::start()
{
    const auto opened = [](std::string_view what, const asio::error_code &ec) -> Result<void> {
        if (ec) {
            return failure(ErrorCode::Unavailable, std::string(what) + " can't be opened: " + ec.message());
        }
        return {};
    };
    net::returnFreedMemory();
    Result<void> ok = opened("the listener for callers", m_callers.open(settings.callers.ip, settings.callers.port));
    ok = ok ? opened("the readiness listener", m_readiness.open(settings.readiness.ip, settings.readiness.port)) : ok;
    if (options.metricsPort != 0) {
        ok = ok ? opened("the metrics listener", m_metrics.open(settings.ip, options.metricsPort)) : ok;
    }
    if (!ok) {
        return ok;
    }
    asio::error_code ec;
    m_loads.open(asio::ip::udp::v4(), ec);
    if (!ec) {
        m_loads.bind({asio::ip::make_address_v4(settings.ip), settings.firstPeerPort}, ec);
    }
    if (ec) {
        return failure(ErrorCode::Unavailable, "can't open the socket for load reports: " + ec.message());
    }
    m_loads.non_blocking(true, ec);
    receiveLoads();
    m_operatorsFollower = std::make_unique<feed::OperatorsFollower>(
        loop, client, settings.store,
        feed::OperatorsFollowerOptions{
            .ip = settings.ip,
            .port = settings.lastPeerPort,
            .isEntryVm = true,
            .stateTime = settings.bounds.stateApplyTime,
            .startsWithOthers = options.startsWithOthers,
            .limits = {.connections = memory.limits.peerConnections, .unsentBytes = memory.limits.peerBytes}},
        feed::FeedEvents{
            .onSnapshot =
                [this](const std::vector<platform::KeyedRecord> &records) {
                    for (const platform::KeyedRecord &record : records) {
                        applyOperatorRecord(record, /*live=*/false);
                    }
                },
            .onRecord =
                [this](const platform::KeyedRecord &record) {
                    applyOperatorRecord(record, /*live=*/true);
                    m_nextSubscriptionAt = Millis{0}; // The next tick notifies other VMs of the new record.
                },
            .onStoreOutage = [this](bool away) { operatorsUnreachable = away; },
            .onWatermark =
                [this](Millis asOf) {
                    m_operatorsWatermark.end = m_operatorsFollower->feed().position();
                    m_operatorsWatermark.asOf = asOf;
                },
        });
    m_operatorsFollower->setPassive(true); // Target VMs read the store and send the watermark with their load reports.
    m_listings = std::make_unique<feed::ListingsFollower>(
        loop, client, settings.store,
        feed::ListingsFollowerOptions{.ip = settings.ip,
                                      .domain = settings.domain,
                                      .port = settings.lastPeerPort,
                                      .isEntryVm = true,
                                      .drainTime = settings.bounds.drainTimeout,
                                      .minExpiringOutage = settings.heartbeatInterval * feed::HeartbeatsMissedToExpire},
        feed::ListingsFollowerEvents{
            .onListing = [this](const std::string &id,
                                const std::optional<serving::TargetEntry> &entry) { applyListing(id, entry); },
            .onStoreRecovered = [this](Millis at) { recordRecovery(at); },
            .hasDaemon = [this](const serving::TargetEntry &entry) { return isEngine(entry); },
            .onOperatorsWatermark = [this](const feed::OperatorsWatermark &level) { applyWatermark(level); },
            .ownWatermark = [this] { return toMessage(m_operatorsWatermark, bootMillis()); },
            .lostRecords = [this](std::int64_t era) { return m_operatorsFollower->lostRecords(era); },
            .wantsLostRecords = [this] { return m_operatorsFollower->wantsLostRecords(); },
            .onLostRecords =
                [this](const std::string &relay, const std::vector<peer::TopicRecord> &records) {
                    m_operatorsFollower->applyLostRecords(relay, records);
                },
            .onEntryVms = [this](std::vector<std::string> vms,
                                 bool complete) { m_operatorsFollower->setEntryVms(std::move(vms), complete); },
            .awaitsEntryVms = [this] { return !m_operatorsFollower->feed().synchronized(); },
            .onNoRelay = [this] { m_operatorsFollower->recordNoRelay(); },
            .hasColdLimit =
                [this](const std::string &service) {
                    return !operators.state || serving::hasColdLimit(*operators.state, service);
                },
        });
    ok = opened("the listener for record requests", m_operatorsFollower->start());
    if (!ok) {
        return ok;
    }
    m_listings->start();
    tick();
    logInfo(LogComponent::Front, "The entry daemon has started.",
            {{"vm", settings.vmName}, {"domain", settings.domain}});
    return {};
}

std::uint16_t Front::callerPort() const
{
    return m_callers.port();
}

void Front::applyOperatorRecord(const platform::KeyedRecord &record, bool live)
{
    if (platform::isAnnouncedWeightsKey(record.key)) {
        recordAnnouncementPosition(m_operatorsWatermark, record.position);
    }
    const Millis absentAt = m_operatorsFollower->feed().endKnownAt();
    const std::set<std::string, std::less<>> evacuatedBefore = operators.evacuations.active;
    const bool inForce =
        applyRecord(operators, record,
                    {.live = live,
                     .now = steadyMillis(),
                     .maxAge = absentAt > Millis{0} ? std::optional(bootMillis() - absentAt) : std::nullopt,
                     .source = m_operatorsFollower->recordSource(),
                     .versionTime = settings.bounds.versionGracePeriod});
    if (inForce) {
        m_operatorsFollower->recordInForce(record);
        updateColdTerms();
    }
    for (const std::string &domain : evacuatedBefore) {
        if (!operators.evacuations.active.contains(domain)) {
            recordDomainPossiblyCold(table, domain, steadyMillis());
        }
    }
}

void Front::recordRecovery(Millis at)
{
    logInfo(LogComponent::Front, "The listings are known again after an outage; those that are missing may return.",
            {{"age_ms", std::to_string(m_listings->age().count())}, {"from", m_listings->source()}});
    recordStoreRecovery(table, at);
}

bool Front::mayGetRequests(const std::string &id, Millis now) const
{
    const auto it = table.targets.find(id);
    return it != table.targets.end() && !it->second.entry.draining && acceptsRequests(it->second.signals, now);
}

void Front::applyListing(const std::string &id, const std::optional<serving::TargetEntry> &entry)
{
    const Millis now = steadyMillis();
    const auto it = table.targets.find(id);
    const bool news = !entry || it == table.targets.end() || it->second.entry.draining != entry->draining
        || it->second.entry.startedAt != entry->startedAt;
    applyEntry(table, id, entry, now);
    if (news) {
        logInfo(LogComponent::Front, entry ? "A target's listing changed." : "A target's listing was removed.",
                {{"target", id},
                 {"service", entry ? entry->service : ""},
                 {"leaving", entry && entry->draining ? "1" : "0"},
                 {"incarnation", std::to_string(entry ? entry->startedAt : 0)},
                 {"in_use", mayGetRequests(id, now) ? "1" : "0"},
                 {"end", toText(m_listings->cache().end)},
                 {"age_ms", std::to_string(m_listings->age().count())},
                 {"from", m_listings->source()}});
    }
}

std::int64_t Front::minVersionOf(const std::string &model, Millis now, Millis ahead) const
{
    const auto it = operators.announced.find(model);
    return it == operators.announced.end()
        ? 0
        : requiredVersion(it->second, now + ahead, settings.bounds.versionGracePeriod);
}

bool Front::isStateCurrent() const
{
    const feed::TopicFeed &feed = m_operatorsFollower->feed();
    return feed::isStateCurrent(
        {.behind = feed.isBehind(), .storeUnreachable = operatorsUnreachable, .endKnownAt = feed.endKnownAt()},
        settings.bounds.stateApplyTime, bootMillis());
}

Millis Front::stateLag() const
{
    return m_operatorsFollower->feed().lagTime();
}

Millis Front::stateAge() const
{
    const Millis knownAt = m_operatorsFollower->feed().endKnownAt();
    return knownAt > Millis{0} ? bootMillis() - knownAt : Millis{-1};
}

void Front::accept(const std::shared_ptr<Call> &call)
{
    const auto refused = call->resolve();
    if (refused || refusingRequests) {
        call->refuse(refused.value_or(CallOutcome::Stopping));
        return;
    }
    if (!mayConnect()) {
        call->refuse(CallOutcome::Full);
        return;
    }
    call->arrivalNumber = ++m_arrivalCount;
    recordRequest(retries, call->service, call->receivedAt);
    recordArrival(m_demand[call->service], call->receivedAt);
    if (!call->workspace.empty()) {
        recordWorkspace(m_workspaces, call->workspace, call->receivedAt);
    }
    dispatch(call);
}

serving::Placement Front::findPlacement(Call &call, Millis now, std::optional<Millis> maxSilence)
{
    call.updateResidency();
    // A stream that is resumed was admitted before.
    const bool competes = call.hasCompetingKinds() && !call.responseStarted();
    const auto demand = m_demand.find(call.service);
    const serving::Placement placement =
        place(table,
              {.service = call.service,
               .domain = settings.domain,
               .minVersion = minVersionOf(call.request.model, now, MaxQueueTime),
               .engine = call.usesEngine,
               .typicalPromptMs = call.promptMs(call.engineSpec.typicalPromptTokens),
               .expectedDuration = call.expectedDuration(),
               .maxSilence = maxSilence,
               .urgent = !call.isLate(now) || call.responseStarted(),
               .triedTargets = &call.triedTargets,
               .domains = call.domains(),
               .reservedShare = competes ? reservedShare(call.urgency, call.isReturned())
                       + workspaceReserve(m_workspaces, call.workspace, now)
                                         : 0,
               .contention = {.entryVms = competes ? entryVms(m_entryVms) : 1,
                              .demand = demand == m_demand.end() ? 0 : demandAt(demand->second, now)},
               .now = now},
              random);
    call.recordPlacement(placement);
    return placement;
}

ListingsUsed Front::recordListingsUse(const serving::Target &target, Millis now)
{
    const Millis age = m_listings->age();
    counters.maxListingsAge = std::max(counters.maxListingsAge, age);
    ListingsUsed out{.age = age, .source = m_listings->source()};
    if (target.expiringSince) {
        out.unlistedFor = now - *target.expiringSince;
        ++counters.attemptsAtUnlistedTargets;
        counters.maxUnlistedUse = std::max(counters.maxUnlistedUse, out.unlistedFor);
    }
    return out;
}

void Front::dispatch(const std::shared_ptr<Call> &call)
{
    if (call->isDone()) {
        return;
    }
    if (refuseQuarantined(call)) {
        return;
    }
    const Millis now = steadyMillis();
    const serving::Placement placement = findPlacement(*call, now);
    counters.choicesWithoutTurn += placement.withoutTurn > 0 ? 1 : 0;
    counters.choicesWithoutColdTurn += placement.coldWithoutTurn > 0 ? 1 : 0;
    switch (serving::admit(call->admissionRequest(now), placement, call->admissionPolicy())) {
    case serving::AdmissionDecision::Send:
        call->send(*placement.target);
        break;
    case serving::AdmissionDecision::Wait:
        m_waiting.emplace(call->waitingRank(), call);
        break;
    case serving::AdmissionDecision::RefuseFull:
        counters.refusalsLeftToOthers += placement.leftToOthers > 0 ? 1 : 0;
        logInfo(LogComponent::Front, "No slot was found for a request.",
                {{"id", call->request.attemptId},
                 {"rank", std::to_string(call->urgency.rank)},
                 {"second_attempt", call->isReturned() ? "1" : "0"},
                 {"due_ms", std::to_string((call->dueAt() - now).count())},
                 {"least_occupancy", std::to_string(static_cast<int>(100 * placement.occupancy))},
                 {"left_to_others", std::to_string(placement.leftToOthers)},
                 {"waited_ms", std::to_string((now - call->receivedAt).count())}});
        call->refuse(CallOutcome::Full);
        break;
    case serving::AdmissionDecision::RefuseBackingOff:
        call->refuse(CallOutcome::TargetsBackingOff, placement.suggestedPause);
        break;
    case serving::AdmissionDecision::RefuseNotPermitted:
        call->refuse(CallOutcome::NotPermitted);
        break;
    case serving::AdmissionDecision::RefuseNoTarget:
        call->refuse(CallOutcome::NoTarget,
                     serving::timeUntilNextLoad(table, call->service,
                                                minVersionOf(call->request.model, now, MaxQueueTime), now));
        break;
    }
}

void Front::dispatchWaiting()
{
    if (m_waiting.empty()) {
        return;
    }
    WaitingCalls calls;
    calls.swap(m_waiting);
    for (const auto &[rank, call] : calls) {
        dispatch(call);
    }
}

void Front::removeConnection(const CallerConnection *connection)
{
    // A function of the connection may be on the call stack, so the loop releases it later.
    const auto it = m_connections.find(connection);
    if (it != m_connections.end()) {
        closeHolder(memory, connection->holder());
        m_holders.erase(connection->holder());
        asio::post(loop, [kept = std::move(it->second)] {});
        m_connections.erase(it);
    }
}

bool Front::isReady() const
{
    return operators.state != nullptr && m_operatorsFollower->isCaughtUp() && !draining;
}

void Front::serveReadiness(const std::shared_ptr<net::Connection> &connection)
{
    auto reader = std::make_shared<http::MessageReader>(http::MessageKind::Request, ProbeLimits);
    m_adminConnections.add(connection);
    auto *raw = connection.get();
    connection->start({
        .data =
            [this, raw, reader](std::string_view bytes) {
                const auto used = reader->feed(bytes);
                if (used && !reader->complete()) {
                    return;
                }
                const bool known = used && requestPath(reader->request().target) == platform::ReadinessPath;
                const int status = !known ? 404 : (isReady() ? 200 : 503);
                http::ResponseHead head{.status = status};
                head.keepAlive = used && reader->request().keepAlive;
                const bool keep = head.keepAlive && raw->queuedBytes() == 0; // A probe reads one response at a time.
                raw->write(writeResponse(head, ""));
                reader->next();
                if (!keep) {
                    raw->closeAfterWrites(); // It is kept until then, so that it counts.
                }
            },
        .closed = [this, raw](net::CloseReason) { m_adminConnections.remove(raw); },
    });
}

void Front::serveMetrics(const std::shared_ptr<net::Connection> &connection)
{
    m_adminConnections.add(connection);
    auto *raw = connection.get();
    connection->start({
        .data =
            [this, raw](std::string_view) {
                http::ResponseHead head{.status = 200, .keepAlive = false};
                head.headers.add("Content-Type", "text/plain; version=0.0.4");
                raw->write(writeResponse(head, metricsText()));
                raw->closeAfterWrites();
            },
        .closed = [this, raw](net::CloseReason) { m_adminConnections.remove(raw); },
    });
}

void Front::tick()
{
    const Millis now = steadyMillis();
    reportLateTick(m_stalls, m_tickDueAt, now, LogComponent::Front);
    if (m_listings->isCurrent()) { // Otherwise a listing may have returned by now.
        expireListings(table, now);
    }
    std::vector<std::shared_ptr<CallerConnection>> connections;
    connections.reserve(m_connections.size());
    for (const auto &[holder, raw] :
         m_holders) { // Connections that wait for room get it in the order of their arrival.
        connections.push_back(m_connections.at(raw));
    }
    for (const auto &connection : connections) {
        connection->checkTimeouts(now);
    }
    updateQuarantine();
    updateColdTargets(now);
    updateStartSteps(now);
    dispatchWaiting();
    if (now >= m_nextSubscriptionAt) {
        m_nextSubscriptionAt = now + SubscriptionTime;
        sendSubscriptions(now);
        client.closeIdleConnections(now);
        logGiveWay(now);
    }
    flushLog();
    if (draining) {
        finishDrainIfIdle(now);
    }
    m_tickDueAt = now + TickTime; // Set at the end, so that a long tick makes the next one late.
    m_tick.start(TickTime, [this] { tick(); });
}

void Front::updateStartSteps(Millis now)
{
    if (operators.state) {
        startSteps.reach(StartStep::DesiredState, now, LogComponent::Front);
    }
    if (m_listings->synchronized()) {
        startSteps.reach(StartStep::Listings, now, LogComponent::Front);
    }
    if (isReady()) {
        startSteps.reach(StartStep::Ready, now, LogComponent::Front);
    }
}

bool Front::isEngine(const serving::TargetEntry &entry) const
{
    return entry.hasEngine || !entry.models.empty()
        || (operators.state && serving::hasEngine(*operators.state, entry.service));
}

void Front::sendSubscriptions(Millis now)
{
    std::vector<serving::SubscriptionCandidate> engines;
    for (const auto &[id, target] : table.targets) {
        if (target.load || isEngine(target.entry)) {
            engines.push_back({.id = id, .domain = target.entry.domain});
        }
    }
    const std::set<std::string> watched =
        serving::chooseLoadSubscriptions(settings.vmName, settings.domain, openEngines(engines));
    // One time for ages and stamps: a stall in between would make the watermark younger.
    const Millis bootNow = bootMillis();
    const peer::TopicWatermark level = toMessage(m_operatorsWatermark, bootNow);
    const bool tellOthers = now >= m_nextPresenceAt;
    m_nextPresenceAt = tellOthers ? now + PresencePause : m_nextPresenceAt;
    for (const serving::SubscriptionCandidate &engine : engines) {
        const bool wantsLoads = watched.contains(engine.id);
        const auto endpoint = platform::parseEndpoint(table.targets.at(engine.id).entry.address);
        asio::error_code ec;
        const auto address = asio::ip::make_address_v4(endpoint ? endpoint->ip : "", ec);
        if (ec || !(wantsLoads || tellOthers)) {
            continue;
        }
        const std::string message = peer::encode(
            peer::SubscribeMessage{.operatorsWatermark = level,
                                   .wantsLoads = wantsLoads,
                                   .stamps = stampsFor(m_sendTimeClock, m_loadSenders[endpoint->ip], bootNow)});
        m_loads.send_to(asio::buffer(message), {address, settings.firstPeerPort}, 0, ec);
        // A failure to send is ignored; the next datagram replaces this one.
    }
}

void Front::applyWatermark(const feed::OperatorsWatermark &level)
{
    mergeWatermark(m_operatorsWatermark, level);
    m_operatorsFollower->applyWatermark(m_operatorsWatermark, m_operatorsWatermark.end);
}

void Front::receiveLoads()
{
    m_loads.async_receive_from(
        asio::buffer(m_loadBuffer), m_loadSender, [this](const asio::error_code &ec, std::size_t n) {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (!ec) {
                applyDatagram(m_loadSender.address().to_string(), std::string_view(m_loadBuffer.data(), n));
            }
            receiveLoads();
        });
}

void Front::applyDatagram(const std::string &ip, std::string_view bytes)
{
    const auto message = peer::decodeDatagram(bytes);
    if (message && std::holds_alternative<peer::LoadMessage>(*message)) {
        applyLoad(ip, std::get<peer::LoadMessage>(*message));
    } else if (message && std::holds_alternative<peer::QuarantineMessage>(*message)) {
        applyQuarantine(std::get<peer::QuarantineMessage>(*message));
    } else {
        logDebug(LogComponent::Front, "Ignored an invalid datagram.", {{"from", ip}});
    }
}

void Front::applyEntryVmCount(int reported)
{
    recordEntryVms(m_entryVms, reported, steadyMillis());
    const int number = entryVms(m_entryVms);
    if (number != retries.entryVms) {
        applyEntryVms(table, number, random, steadyMillis());
    }
    retries.entryVms = number;
    recordEntryVms(m_sharers, reported, steadyMillis());
    serving::applyColdEntryVms(table, entryVms(m_sharers));
}

void Front::applyLoad(const std::string &ip, const peer::LoadMessage &load)
{
    auto &[incarnation, sequence] = m_loadSequence[ip];
    if (incarnation == load.incarnation && load.sequence <= sequence) {
        return;
    }
    incarnation = load.incarnation;
    sequence = load.sequence;
    applyEntryVmCount(load.entryVmCount);
    const auto sentAfter = recordStamps(m_sendTimeClock, m_loadSenders[ip], load.stamps, bootMillis());
    applyWatermark(feed::fromMessage(load.operatorsWatermark, sentAfter));
    const Millis now = steadyMillis();
    for (const peer::Announcement &naming : load.announcements) {
        const auto it = operators.announced.find(naming.model);
        if (it != operators.announced.end()) {
            applyAnnouncementTime(it->second, naming.version, now - naming.age);
        }
    }
    for (auto &[id, target] : table.targets) {
        if (!target.entry.address.starts_with(ip + ":")) {
            continue;
        }
        serving::applyLoad(table, id,
                           {.running = load.running,
                            .queued = load.queued,
                            .version = load.version,
                            .loading = load.loading,
                            .loadStartsAt = load.loadStartsIn ? std::optional(now + *load.loadStartsIn) : std::nullopt,
                            .receivedAt = now},
                           now - UnseenTime);
        applyEngineStart(target, load, now);
    }
    dispatchWaiting();
}

void Front::stop()
{
    if (draining) {
        return;
    }
    draining = true;
    drainingSince = steadyMillis();
    logInfo(LogComponent::Front, "The entry daemon is stopping.",
            {{"connections", std::to_string(m_connections.size())}});
}

void Front::finishDrainIfIdle(Millis now)
{
    refusingRequests = now - drainingSince >= LastRequestTime;
    const bool busy =
        std::any_of(m_connections.begin(), m_connections.end(), [](const auto &item) { return item.second->isBusy(); });
    const bool idleLongEnough = !busy && now - drainingSince >= DrainTime;
    if (idleLongEnough || now - drainingSince >= settings.bounds.stopGracePeriod - KillMargin) {
        logInfo(LogComponent::Front, "The entry daemon has stopped.", {{"busy", busy ? "1" : "0"}});
        flushLog();
        loop.stop();
    }
}

} // namespace ibislock::front
