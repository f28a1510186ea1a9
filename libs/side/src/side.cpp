#include "side.h"

#include "distribution_members.h"
#include "ibislock/base/log.h"
#include "ibislock/net/process_limits.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// How long an entry VM is sent loads after it subscribed to them; it renews its subscription each second.
constexpr Millis SubscriptionTime{3000};

/// How long an entry VM counts as present after its last message; one without a load subscription sends every 3 s.
constexpr Millis PresenceTime{9000};

/// Longest time between two load messages; entry VMs use a load for two and a half times as long.
constexpr Millis PublishTime{300};

/// How old a report may be that shows which incarnation of the engine is running; two polls.
constexpr Millis ReportFreshTime{250};

/// How long a target VM may leave a new desired state unread if it reads the store for no other VM.
constexpr Millis StateDelay{10000};

/// How long after its start a target VM waits for the listing of its own engine before it acts on the listings of
/// others; three heartbeats.
constexpr Millis ListedTime{4000};

/// The first version of any weights; engines hold it before a version is announced.
constexpr std::int64_t FirstVersion = 1;

/// How much earlier than the contract requires entry VMs stop starting requests on old weights, plus the duration of a
/// load.
constexpr Millis VersionMargin{1800};

/// Interval of the check for stalls of the event loop; equals the interval of the engine's reports.
constexpr Millis TickTime{100};

/// Fraction of the VM's link that pieces may use; requests to the engine and its responses share the link.
constexpr double LinkPart = 0.85;

/// The size of a piece on existing installations; used only for the rate limit.
constexpr std::uint64_t PieceBytes = 32768;

/// Returns how long a link takes to transfer some bytes.
Millis transferTime(std::uint64_t bytes, double linkMbps)
{
    constexpr double BitsInMillisecondAtOneMbps = 1000;
    const double rate = std::max(linkMbps, 0.1) * BitsInMillisecondAtOneMbps;
    return Millis{static_cast<std::int64_t>(static_cast<double>(bytes) * 8 / rate) + 1};
}

/// Returns the interval between two pieces at which they use their fraction of a link.
Millis pieceTimeOf(double linkMbps)
{
    return transferTime(PieceBytes, linkMbps * LinkPart);
}

} // namespace

Side::Side(asio::io_context &loop, platform::DaemonSettings settings, SideOptions options)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_options(options)
    , m_client(loop)
    , m_portLimits(portLimits(m_settings))
    , m_engine(loop, m_client, m_settings.engine, [this] { onEngineReport(); })
    , m_agent(loop, m_client, m_engine, m_settings.ip, m_settings.domain, m_settings.firstPeerPort,
              pieceTimeOf(m_settings.linkMbps), m_portLimits.pieces,
              [this](std::int64_t version) {
                  return distributionMembers(
                      m_listingsFollower->cache(),
                      {.self = m_settings.ip, .service = m_settings.service, .version = version});
              })
    , m_datagrams(loop)
    , m_incarnation(newIncarnation())
    , m_random(systemRandom())
    , m_sendTimeClock(feed::makeSendTimeClock(m_random(), bootMillis()))
    , m_tickTimer(loop)
{
}

Side::~Side() = default;

Result<void> Side::start()
{
    net::returnFreedMemory();
    asio::error_code ec = m_agent.open();
    if (!ec) {
        m_datagrams.open(asio::ip::udp::v4(), ec);
    }
    if (!ec) {
        m_datagrams.bind({asio::ip::make_address_v4(m_settings.ip), m_settings.firstPeerPort}, ec);
    }
    if (!ec && m_options.metricsPort != 0) {
        m_metricsListener = std::make_unique<net::Listener>(
            m_loop, [this](const std::shared_ptr<net::Connection> &connection) { serveMetrics(connection); });
        ec = m_metricsListener->open(m_settings.ip, m_options.metricsPort);
    }
    if (ec) {
        return failure(ErrorCode::Unavailable, "opening an address of the daemon failed: " + ec.message());
    }
    m_datagrams.non_blocking(true, ec);
    receive();
    m_operatorsFollower = std::make_unique<feed::OperatorsFollower>(
        m_loop, m_client, m_settings.store,
        feed::OperatorsFollowerOptions{.ip = m_settings.ip,
                                       .port = m_settings.lastPeerPort,
                                       .stateTime = m_settings.bounds.stateApplyTime,
                                       .startsWithOthers = m_options.startsWithOthers},
        feed::FeedEvents{
            .onSnapshot =
                [this](const std::vector<platform::KeyedRecord> &records) {
                    for (const platform::KeyedRecord &record : records) {
                        applyOperatorRecord(record, /*live=*/false);
                    }
                    updateDesiredWeights();
                },
            .onRecord =
                [this](const platform::KeyedRecord &record) {
                    applyOperatorRecord(record, /*live=*/true);
                    updateDesiredWeights();
                },
            .onStoreOutage = [](bool) {},
            .onWatermark =
                [this](Millis asOf) {
                    const TopicPosition end = m_operatorsFollower->feed().position();
                    const bool news = end > m_watermark.end;
                    m_watermark.end = end;
                    m_watermark.asOf = asOf;
                    m_watermarkReadAt = steadyMillis();
                    if (news) {
                        publishLoad(true); // The engine's next report may be late.
                    }
                },
        });
    m_listingsFollower = std::make_unique<feed::ListingsFollower>(
        m_loop, m_client, m_settings.store,
        feed::ListingsFollowerOptions{.ip = m_settings.ip,
                                      .domain = m_settings.domain,
                                      .port = m_settings.lastPeerPort,
                                      .servesListings = true,
                                      .servingLimits = m_portLimits.listings,
                                      .drainTime = m_settings.bounds.drainTimeout,
                                      .minExpiringOutage =
                                          m_settings.heartbeatInterval * feed::HeartbeatsMissedToExpire},
        feed::ListingsFollowerEvents{
            .onListing = [](const std::string &, const std::optional<serving::TargetEntry> &) {},
            .onStoreRecovered = [](Millis) {},
            .hasDaemon =
                [this](const serving::TargetEntry &entry) {
                    return entry.hasEngine
                        || (m_operators.state && serving::hasEngine(*m_operators.state, entry.service));
                },
            .onOperatorsWatermark = [this](const feed::OperatorsWatermark &level) { applyWatermark(level); },
            .ownWatermark = [this] { return toMessage(m_watermark, bootMillis()); },
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
                    return !m_operators.state || serving::hasColdLimit(*m_operators.state, service);
                },
        });
    if (const asio::error_code failed = m_listingsFollower->start()) {
        return failure(ErrorCode::Unavailable, "opening the address for listings failed: " + failed.message());
    }
    m_operatorsFollower->setPassive(true); // Until it is known which VMs this VM informs.
    m_operatorsFollower->start();
    m_engine.start();
    tick();
    logInfo(LogComponent::Side, "The target daemon has started.",
            {{"vm", m_settings.vmName}, {"domain", m_settings.domain}});
    return {};
}

void Side::stop()
{
    logInfo(LogComponent::Side, "The target daemon has stopped.");
    flushLog();
    m_loop.stop();
}

void Side::applyOperatorRecord(const platform::KeyedRecord &record, bool live)
{
    if (platform::isAnnouncedWeightsKey(record.key)) {
        recordAnnouncementPosition(m_watermark, record.position);
    }
    const Millis absentAt = m_operatorsFollower->feed().endKnownAt();
    const bool inForce =
        applyRecord(m_operators, record,
                    {.live = live,
                     .now = steadyMillis(),
                     .maxAge = absentAt > Millis{0} ? std::optional(bootMillis() - absentAt) : std::nullopt,
                     .source = m_operatorsFollower->recordSource(),
                     .versionTime = m_settings.bounds.versionGracePeriod});
    if (inForce) {
        m_operatorsFollower->recordInForce(record);
    }
}

void Side::updateDesiredWeights()
{
    if (!m_operators.state) {
        return;
    }
    const auto service = m_operators.state->services.find(m_settings.service);
    if (service == m_operators.state->services.end() || !service->second.engine
        || service->second.engine->models.empty()) {
        return;
    }
    const serving::Service *origin = findOrigin(*m_operators.state);
    DesiredWeights desired{.model = service->second.engine->models.front(),
                           .version = FirstVersion,
                           .pieces = service->second.engine->chunks,
                           .pieceBytes = static_cast<std::size_t>(service->second.engine->chunkBytes),
                           .origin = origin != nullptr ? origin->originAddress : ""};
    if (origin != nullptr && origin->originMbps > 0) {
        desired.originPieceTime = transferTime(service->second.engine->chunkBytes, origin->originMbps);
    }
    const auto it = m_operators.announced.find(desired.model);
    if (it != m_operators.announced.end()) {
        desired.version = it->second.back().version;
        desired.announced = it->second;
        desired.gracePeriod = m_settings.bounds.versionGracePeriod - VersionMargin;
    }
    m_agent.setDesired(desired);
    stepAgent();
}

void Side::stepAgent()
{
    // The listings determine the owner of each piece; without them, each VM would fetch all pieces from the origin.
    // When all VMs start at once, targets list themselves some seconds later.
    const bool known = m_listingsFollower->synchronized() && (isListed() || steadyMillis() >= m_startedAt + ListedTime);
    if (known || !m_agent.needsMembers()) {
        m_agent.step();
    }
}

void Side::updateStartSteps(Millis now)
{
    const auto reach = [&](StartStep step, bool reached) {
        if (reached) {
            m_startSteps.reach(step, now, LogComponent::Side);
        }
    };
    const WeightsProgress progress = m_agent.progress();
    const bool known = progress.version > 0;
    const bool loaded = known && m_engine.loadedVersion() >= progress.version;
    reach(StartStep::DesiredState, m_operators.state != nullptr);
    reach(StartStep::Listings, m_listingsFollower->synchronized());
    reach(StartStep::OwnListing, isListed());
    reach(StartStep::Manifest, progress.pieces > 0);
    reach(StartStep::Stage, progress.pieces > 0 && progress.phase != WeightsPhase::Reading);
    reach(StartStep::Pieces, progress.pieces > 0 && progress.staged == progress.pieces);
    reach(StartStep::Load, loaded);
}

bool Side::isListed() const
{
    const auto &listings = m_listingsFollower->cache().listings;
    return std::any_of(listings.begin(), listings.end(), [this](const auto &item) {
        const auto &entry = item.second.entry;
        const auto endpoint = entry ? platform::parseEndpoint(entry->address)
                                    : Result<platform::Endpoint>(failure(ErrorCode::NotFound, "removed"));
        return endpoint && endpoint->ip == m_settings.ip;
    });
}

void Side::onEngineReport()
{
    const Millis now = steadyMillis();
    stepAgent();
    updateStartSteps(now);
    const bool reported = m_engine.reportedAt() != m_reportSeenAt;
    m_reportSeenAt = m_engine.reportedAt();
    // After a failed poll, entry VMs must not take the last report for a new one. They must know of a load in any case.
    if (reported || m_agent.isLoading()) {
        publishLoad(reported && now >= m_publishedAt + PublishTime);
    }
    m_client.closeIdleConnections(now);
    flushLog();
}

void Side::tick()
{
    reportLateTick(m_stalls, m_tickDueAt, steadyMillis(), LogComponent::Side);
    shareQuarantine();
    m_operatorsFollower->setPassive(!m_listingsFollower->readsStoreForOthers());
    m_tickDueAt = steadyMillis() + TickTime;
    m_tickTimer.start(TickTime, [this] { tick(); });
}

void Side::publishLoad(bool force)
{
    const Millis now = steadyMillis();
    std::erase_if(m_subscribers, [&](const auto &item) { return now > item.second.presentUntil; });
    if (!m_engine.report()) {
        return; // Entry VMs fall back to their own observations.
    }
    peer::LoadMessage load{
        .running = m_engine.report()->running,
        .queued = m_engine.report()->queued,
        .version = m_engine.loadedVersion(),
        .loading = m_agent.isLoading() || m_engine.report()->orderInProgress,
        .entryVmCount = static_cast<int>(m_subscribers.size()),
        .announcements = {},
        .loadStartsIn = m_agent.timeUntilLoad(),
        .loadSubscriberCount =
            static_cast<int>(std::count_if(m_subscribers.begin(), m_subscribers.end(),
                                           [&](const auto &item) { return now <= item.second.loadsUntil; })),
        .engineStartedAt = now - m_engine.reportedAt() < ReportFreshTime ? m_engine.report()->startedAt : 0,
        .operatorsWatermark = {.end = m_watermark.end,
                               .announcementsEnd = m_watermark.announcementsEnd,
                               .age = Millis{0}},
    };
    const std::string content = peer::encode(load);
    if (content == m_lastPublished && !force) {
        return;
    }
    m_lastPublished = content;
    m_publishedAt = now;
    load.engineRunningFor = m_engine.runningFor(); // Changes always, as the ages of announcements do.
    load.announcements = recentAnnouncements(); // Their ages always change and are no reason to publish.
    // One time for ages and stamps: a stall in between would make the watermark younger.
    const Millis bootNow = bootMillis();
    load.operatorsWatermark = toMessage(m_watermark, bootNow);
    load.incarnation = m_incarnation;
    load.sequence = ++m_sequence;
    for (const auto &[endpoint, subscriber] : m_subscribers) {
        if (now > subscriber.loadsUntil) {
            continue;
        }
        load.stamps = stampsFor(m_sendTimeClock, subscriber.sender, bootNow);
        const std::string message = peer::encode(load);
        asio::error_code ec;
        m_datagrams.send_to(asio::buffer(message), endpoint, 0, ec);
        // A datagram that can't be sent is replaced by the next one.
    }
}

std::vector<peer::Announcement> Side::recentAnnouncements() const
{
    std::vector<peer::Announcement> out;
    const Millis now = steadyMillis();
    for (const auto &[model, versions] : m_operators.announced) {
        for (const serving::AnnouncedVersion &announced :
             announcementsToReport(versions, now, m_settings.bounds.versionGracePeriod)) {
            out.push_back({.model = model, .version = announced.version, .age = now - announced.learntAt});
        }
    }
    return out;
}

void Side::applyWatermark(const feed::OperatorsWatermark &level)
{
    const bool news = mergeWatermark(m_watermark, level);
    // A new desired state has little effect on a target VM and can wait. Reading it on few VMs only leaves bandwidth
    // for weights.
    const bool readsAll = m_listingsFollower->readsStoreForOthers() || steadyMillis() >= m_watermarkReadAt + StateDelay;
    const TopicPosition wanted = readsAll ? m_watermark.end : m_watermark.announcementsEnd;
    m_operatorsFollower->applyWatermark(m_watermark, wanted);
    if (news) {
        publishLoad(true); // Entry VMs may be waiting for it.
    }
}

void Side::receive()
{
    m_datagrams.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const asio::error_code &ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        const auto message = ec ? Result<peer::Datagram>(failure(ErrorCode::Unavailable, ec.message()))
                                : peer::decodeDatagram(std::string_view(m_buffer.data(), n));
        if (message && std::holds_alternative<peer::SubscribeMessage>(*message)) {
            applySubscription(std::get<peer::SubscribeMessage>(*message));
        } else if (message && std::holds_alternative<peer::QuarantineMessage>(*message)) {
            serving::applyReport(m_quarantine, std::get<peer::QuarantineMessage>(*message).report, bootMillis());
            shareQuarantine();
        } else if (!message) {
            logDebug(LogComponent::Side, "Dropped a datagram that can't be decoded.",
                     {{"cause", message.error().message}});
        }
        receive();
    });
}

void Side::applySubscription(const peer::SubscribeMessage &message)
{
    const Millis now = steadyMillis();
    if (m_subscribers.size() >= MaxSubscribers && !m_subscribers.contains(m_sender)) {
        return; // Places become free as others expire.
    }
    const auto [it, added] = m_subscribers.try_emplace(m_sender);
    it->second.presentUntil = now + (message.wantsLoads ? SubscriptionTime : PresenceTime);
    it->second.loadsUntil = message.wantsLoads ? it->second.presentUntil : Millis{0};
    if (added) {
        m_quarantine.lastFullReportAt = Millis{0}; // A new entry VM must not wait for the next full report.
    }
    const auto sentAfter = recordStamps(m_sendTimeClock, it->second.sender, message.stamps, bootMillis());
    applyWatermark(feed::fromMessage(message.operatorsWatermark, sentAfter));
}

void Side::shareQuarantine()
{
    const Millis now = bootMillis();
    if (now < m_quarantineSharedAt + serving::TargetReportInterval) {
        return; // The next tick does it.
    }
    m_quarantineSharedAt = now;
    serving::expireQuarantine(m_quarantine, now);
    const auto report = serving::makeReport(m_quarantine, now);
    if (!report) {
        return;
    }
    const std::string message = peer::encode(peer::QuarantineMessage{.report = *report});
    std::vector<asio::ip::udp::endpoint> receivers;
    for (const auto &[endpoint, subscriber] : m_subscribers) {
        if (steadyMillis() <= subscriber.loadsUntil) {
            receivers.push_back(endpoint);
        }
    }
    if (!report->forAll) {
        std::shuffle(receivers.begin(), receivers.end(), m_random);
        receivers.resize(std::min(receivers.size(), serving::TargetReportFanout));
    }
    for (const auto &endpoint : receivers) {
        asio::error_code ec;
        m_datagrams.send_to(asio::buffer(message), endpoint, 0, ec);
        // A datagram that can't be sent is made up for by other target VMs.
    }
}

void Side::serveMetrics(const std::shared_ptr<net::Connection> &connection)
{
    m_metricsConnections.add(connection);
    auto *raw = connection.get();
    connection->start({
        .data =
            [this, raw](std::string_view) {
                http::ResponseHead head{.status = 200, .keepAlive = false};
                head.headers.add("Content-Type", "text/plain; version=0.0.4");
                raw->write(http::writeResponse(head, metricsText()));
                raw->closeAfterWrites(); // It is kept until then, so that it counts.
            },
        .closed = [this, raw](net::CloseReason) { m_metricsConnections.remove(raw); },
    });
}

SideDaemon::SideDaemon(asio::io_context &loop, platform::DaemonSettings settings, SideOptions options)
    : m_side(std::make_unique<Side>(loop, std::move(settings), options))
{
}

SideDaemon::~SideDaemon() = default;

Result<void> SideDaemon::start()
{
    return m_side->start();
}

void SideDaemon::stop()
{
    m_side->stop();
}

} // namespace ibislock::side
