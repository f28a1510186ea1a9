#include "side.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// How long an entry VM gets loads after it asked for them; it asks each second.
constexpr Millis SubscriptionTime{3000};

/// How long an entry VM counts as there after its last message; one that wants no loads sends each 3 s.
constexpr Millis PresenceTime{9000};

/// Longest time between two loads; entry VMs rely on a load for two and a half times as long.
constexpr Millis PublishTime{300};

/// How long the listings of other target VMs are used while weights are spread: about as long as that takes.
constexpr Millis MembersLifetime{4000};

/// How long the store holds a read of the operators' topic back.
constexpr Millis OperatorsWait{10000};

/// The first version of any weights; runners hold it before one is named.
constexpr std::int64_t FirstVersion = 1;

/// By how much sooner than the contract asks entry VMs stop to begin requests on old weights, with the time that a load
/// takes.
constexpr Millis VersionMargin{1800};

/// The part of the VM's link that pieces may use; requests to the engine and its answers share the link.
constexpr double LinkPart = 0.85;

/// The size of a piece on the present installations; sets the pace only.
constexpr double PieceBits = 32768 * 8;

/// How far apart pieces are, so that they use their part of a link.
Millis pieceTimeOf(double linkMbps)
{
    constexpr double BitsInMillisecondAtOneMbps = 1000;
    const double rate = std::max(linkMbps, 0.1) * LinkPart * BitsInMillisecondAtOneMbps;
    return Millis{static_cast<std::int64_t>(PieceBits / rate) + 1};
}

} // namespace

Side::Side(asio::io_context &loop, platform::DaemonSettings settings, SideOptions options)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_options(options)
    , m_client(loop)
    , m_engine(loop, m_client, m_settings.engine, [this] { onReport(); })
    , m_agent(loop, m_client, m_engine, m_settings.ip, m_settings.domain, m_settings.firstPeerPort,
              pieceTimeOf(m_settings.linkMbps), [this](std::int64_t version) { return members(version); })
    , m_datagrams(loop)
    , m_incarnation(newIncarnation())
{
}

Side::~Side()
{
    for (const auto &[raw, connection] : m_administration) {
        connection->close();
    }
}

Result<void> Side::start()
{
    asio::error_code ec = m_agent.open();
    if (!ec) {
        m_datagrams.open(asio::ip::udp::v4(), ec);
    }
    if (!ec) {
        m_datagrams.bind({asio::ip::make_address_v4(m_settings.ip), m_settings.firstPeerPort}, ec);
    }
    if (!ec && m_options.metricsPort != 0) {
        m_metrics = std::make_unique<net::Listener>(
            m_loop, [this](const std::shared_ptr<net::Connection> &connection) { serveMetrics(connection); });
        ec = m_metrics->open(m_settings.ip, m_options.metricsPort);
    }
    if (ec) {
        return failure(ErrorCode::Unavailable, "an address of the daemon can't be opened: " + ec.message());
    }
    m_datagrams.non_blocking(true, ec);
    receive();
    m_operatorsFeed = std::make_unique<feed::TopicFeed>(
        m_loop, m_client, m_settings.store,
        feed::FeedOptions{.topic = std::string(platform::OperatorsTopic), .wait = OperatorsWait},
        feed::FeedEvents{
            .snapshot =
                [this](const std::vector<platform::KeyedRecord> &records) {
                    for (const platform::KeyedRecord &record : records) {
                        applyOperatorRecord(record, false);
                    }
                    updateGoal();
                },
            .record =
                [this](const platform::KeyedRecord &record) {
                    applyOperatorRecord(record, true);
                    updateGoal();
                },
            .store = [](bool) {},
        });
    m_operatorsFeed->start();
    m_engine.start();
    logInfo(Part::Side, "The target daemon has started.", {{"vm", m_settings.vmName}, {"domain", m_settings.domain}});
    return {};
}

void Side::stop()
{
    logInfo(Part::Side, "The target daemon has stopped.");
    flushLog();
    m_loop.stop();
}

void Side::applyOperatorRecord(const platform::KeyedRecord &record, bool live)
{
    const bool news = applyRecord(m_operators, record,
                                  {.live = live, .now = steadyMillis(), .versionTime = m_settings.bounds.versionTime});
    if (news && platform::isNamedWeightsKey(record.key)) {
        m_membersAt = Millis{0}; // VMs may have come and gone since the last version was spread.
    }
}

void Side::updateGoal()
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
    WeightsGoal goal{.model = service->second.engine->models.front(),
                     .version = FirstVersion,
                     .origin = origin != nullptr ? origin->originAddress : ""};
    const auto it = m_operators.named.find(goal.model);
    if (it != m_operators.named.end()) {
        goal.version = it->second.back().version;
        goal.named = it->second;
        goal.versionTime = m_settings.bounds.versionTime - VersionMargin;
    }
    m_agent.setGoal(goal);
    proceed();
}

std::vector<weights::SpreadMember> Side::members(std::int64_t version) const
{
    std::vector<weights::SpreadMember> out;
    for (const serving::TargetEntry &entry : m_members) {
        const auto endpoint = platform::endpointFrom(entry.address);
        if (!endpoint || entry.service != m_settings.service || endpoint->ip == m_settings.ip) {
            continue;
        }
        const bool holds = !entry.models.empty() && entry.models.front().version == version;
        out.push_back({.vm = endpoint->ip, .domain = entry.domain, .holds = holds});
    }
    return out;
}

void Side::refreshMembers()
{
    const Millis now = steadyMillis();
    if (m_membersAsked || (m_membersAt > Millis{0} && now < m_membersAt + MembersLifetime)) {
        return;
    }
    m_membersAsked = true;
    const platform::ApiRequest request = platform::snapshotRequest(platform::TargetsTopic, "");
    http::RequestHead head = request.head;
    head.headers.add("Host", m_settings.store.ip);
    m_client.call(
        m_settings.store.ip, m_settings.store.port, writeRequest(head, ""),
        {.connectTime = feed::CallTime, .timeout = feed::CallTime},
        [this](net::ExchangeEnd end, const http::ResponseHead &, const std::string &body) {
            m_membersAsked = false;
            m_membersAt = steadyMillis();
            const auto page = end == net::ExchangeEnd::Complete
                ? platform::decodeSnapshot(body)
                : Result<platform::SnapshotPage>(failure(ErrorCode::Unavailable, "no answer"));
            if (!page) {
                logInfo(Part::Side, "The listings of target VMs can't be read.", {{"cause", page.error().message}});
                return; // Those that were read last are used.
            }
            std::vector<serving::TargetEntry> entries;
            for (const platform::KeyedRecord &record : page->records) {
                if (auto entry = platform::decodeTarget(record.key, record.value.value_or(""))) {
                    entries.push_back(std::move(*entry));
                }
            }
            m_members = std::move(entries);
            m_agent.step();
        });
}

void Side::proceed()
{
    if (m_agent.needsMembers()) {
        refreshMembers();
    }
    // Who owns a piece follows from the list of members: an old list would send VMs to each other in vain.
    if (m_membersAt > Millis{0} || !m_agent.needsMembers()) {
        m_agent.step();
    }
}

void Side::onReport()
{
    const Millis now = steadyMillis();
    proceed();
    publish(now >= m_publishedAt + PublishTime);
    m_client.closeIdle(now);
    flushLog();
}

void Side::publish(bool force)
{
    const Millis now = steadyMillis();
    std::erase_if(m_subscribers, [&](const auto &item) { return now > item.second.until; });
    if (!m_engine.report()) {
        return; // Entry VMs fall back on what they see themselves.
    }
    peer::LoadMessage load{
        .running = m_engine.report()->running,
        .queued = m_engine.report()->queued,
        .version = m_engine.loadedVersion(),
        .loading = m_agent.isLoading() || m_engine.report()->ordered,
        .entryVms = static_cast<int>(m_subscribers.size()),
        .namings = {},
        .loadsIn = m_agent.loadsIn(),
        .operatorsEnd = std::max(m_operatorsEnd, m_operatorsFeed->next()),
    };
    const std::string content = peer::encode(load);
    if (content == m_lastPublished && !force) {
        return;
    }
    m_lastPublished = content;
    m_publishedAt = now;
    load.namings = recentNamings(); // Their ages change all the time and are no reason to publish.
    load.incarnation = m_incarnation;
    load.sequence = ++m_sequence;
    const std::string message = peer::encode(load);
    for (const auto &[endpoint, subscriber] : m_subscribers) {
        if (now > subscriber.loadsUntil) {
            continue;
        }
        asio::error_code ec;
        m_datagrams.send_to(asio::buffer(message), endpoint, 0, ec);
        // A datagram that can't be sent is made up for by the next one.
    }
}

std::vector<peer::Naming> Side::recentNamings() const
{
    std::vector<peer::Naming> out;
    const Millis now = steadyMillis();
    for (const auto &[model, versions] : m_operators.named) {
        for (const serving::NamedVersion &named : versions) {
            if (named.time == serving::NamingTime::Seen && now - named.learntAt < m_settings.bounds.versionTime) {
                out.push_back({.model = model, .version = named.version, .age = now - named.learntAt});
            }
        }
    }
    return out;
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
            const auto &subscribe = std::get<peer::SubscribeMessage>(*message);
            Subscriber &subscriber = m_subscribers[m_sender];
            const Millis now = steadyMillis();
            subscriber.until = now + (subscribe.wantsLoads ? SubscriptionTime : PresenceTime);
            subscriber.loadsUntil = subscribe.wantsLoads ? subscriber.until : Millis{0};
            m_operatorsEnd = std::max(m_operatorsEnd, subscribe.operatorsEnd);
            m_operatorsFeed->hint(subscribe.operatorsEnd);
        } else if (!message) {
            logDebug(Part::Side, "A datagram can't be read.", {{"cause", message.error().message}});
        }
        receive();
    });
}

void Side::serveMetrics(const std::shared_ptr<net::Connection> &connection)
{
    m_administration.emplace(connection.get(), connection);
    auto *raw = connection.get();
    connection->start({
        .data =
            [this, raw](std::string_view) {
                http::ResponseHead head{.status = 200, .keepAlive = false};
                head.headers.add("Content-Type", "text/plain; version=0.0.4");
                raw->write(http::writeResponse(head, metricsText()));
                raw->closeAfterWrites();
                m_administration.erase(raw);
            },
        .closed = [this, raw](net::ClosedBy) { m_administration.erase(raw); },
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
