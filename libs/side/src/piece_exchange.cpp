#include "piece_exchange.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::side
{

namespace
{

/// Interval of the check for requests that have timed out.
constexpr Millis TickTime{50};

/// Pieces that are read for other VMs at once; bounds memory.
constexpr int ServedAtOnce = 2;

/// Requests that may be pending: some hundred VMs ask for a few pieces each.
constexpr std::size_t MaxPending = 16384;

/// Queued bytes on a connection above which no further response is sent on it.
constexpr std::size_t QueuedBytes = 32 * 1024;

/// Receive buffer of a connection on which other VMs send requests, in bytes; requests are small.
constexpr int ReceiveBuffer = 32 * 1024;

/// VMs to which a piece was sent that are remembered; others are redirected to them.
constexpr std::size_t MaxSentPieces = 64;

/// Number of pending requests for bytes from which on requesting VMs are redirected to VMs that have received the
/// piece.
constexpr std::size_t CrowdedAsks = 3;

/// How long a sent piece takes until it is staged on most VMs: two links, a digest check and a request to the engine.
constexpr Millis SettleTime{120};

/// Timeout of connecting to a VM; a round trip takes a few milliseconds, the retransmission of a lost packet a second.
constexpr Millis ConnectTime{1200};

/// A VM from which bytes arrived within this time counts as still responding.
constexpr Millis ProgressTime{600};

/// How far a request's deadline is extended at most while bytes arrive; a VM on a slow link would delay all others.
constexpr Millis LongestExtension{1500};

/// A VM that sends nothing for this long while long polls are pending is probed.
constexpr Millis QuietTime{350};

/// How long a VM may take to respond to a probe. Together with the quiet time, a VM that stalls is noticed within 1 s.
constexpr Millis ProbeTime{500};

/// The index of the piece that a probe requests; no version has as many pieces.
constexpr int ProbeIndex = 1 << 20;

/// A VM that responded within this time counts as responding.
constexpr Millis RespondingTime{1000};

/// A VM that didn't respond is not tried again for this time, unless it sends something.
constexpr Millis UnreachableTime{3000};

bool matches(const peer::PieceMessage &answer, const peer::PieceMessage &request)
{
    return answer.model == request.model && answer.version == request.version && answer.index == request.index;
}

} // namespace

PieceExchange::PieceExchange(asio::io_context &loop, std::uint16_t port, Millis pieceInterval, PieceStore store,
                             const PieceServerLimits &limits)
    : m_loop(loop)
    , m_port(port)
    , m_pieceInterval(pieceInterval)
    , m_store(std::move(store))
    , m_limits(limits)
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); },
                 {.receiveBuffer = ReceiveBuffer})
    , m_tickTimer(loop)
    , m_incoming(limits.connections)
    , m_nextPieceTimer(loop)
{
}

PieceExchange::~PieceExchange()
{
    for (const auto &[vm, link] : m_peers) {
        if (link.connection) {
            link.connection->close();
        }
    }
}

asio::error_code PieceExchange::open(const std::string &ip)
{
    const asio::error_code ec = m_listener.open(ip, m_port);
    if (!ec) {
        tick();
    }
    return ec;
}

void PieceExchange::request(const std::string &vm, peer::PieceMessage request, Millis timeout,
                            PieceResponseHandler done)
{
    PeerConnection &link = m_peers[vm];
    const std::string bytes = peer::encode(request);
    link.pending.push_back({.request = std::move(request),
                            .sentAt = steadyMillis(),
                            .deadline = steadyMillis() + timeout,
                            .done = std::move(done)});
    if (link.connection) {
        link.connection->write(bytes);
        return;
    }
    link.unsent += bytes;
    if (!link.connecting) {
        connect(vm);
    }
}

void PieceExchange::connect(const std::string &vm)
{
    PeerConnection &link = m_peers[vm];
    asio::error_code ec;
    const auto address = asio::ip::make_address_v4(vm, ec);
    if (ec) {
        asio::post(m_loop, [this, vm] { failAll(vm); });
        return;
    }
    link.connectDeadline = steadyMillis() + ConnectTime;
    link.connecting = std::make_shared<asio::ip::tcp::socket>(m_loop);
    link.connecting->async_connect({address, m_port},
                                   [this, vm, socket = link.connecting](const asio::error_code &failed) {
                                       PeerConnection &to = m_peers[vm];
                                       if (to.connecting != socket) {
                                           return; // Cancelled in the meantime.
                                       }
                                       to.connecting.reset();
                                       if (failed) {
                                           failAll(vm);
                                           return;
                                       }
                                       to.connection = net::Connection::adopt(std::move(*socket));
                                       to.reader = std::make_shared<peer::PieceReader>();
                                       to.connection->start({
                                           .data = [this, vm](std::string_view bytes) { onData(vm, bytes); },
                                           .closed = [this, vm](net::CloseReason) { failAll(vm); },
                                       });
                                       to.connection->write(std::exchange(to.unsent, {}));
                                   });
}

void PieceExchange::onData(const std::string &vm, std::string_view bytes)
{
    const auto reader = m_peers[vm].reader;
    m_peers[vm].lastBytesAt = steadyMillis();
    m_peers[vm].probedAt = Millis{0};
    m_health[vm] = {.respondedAt = steadyMillis()};
    reader->add(bytes);
    while (true) {
        auto message = reader->next();
        if (!message) {
            if (message.error().code == ErrorCode::Corrupt) {
                logWarning(LogComponent::Side, "Received a malformed piece message; closing the connection.",
                           {{"vm", vm}});
                failAll(vm);
            }
            return;
        }
        auto &pending = m_peers[vm].pending;
        const auto it = std::find_if(pending.begin(), pending.end(),
                                     [&](const OutgoingRequest &item) { return matches(*message, item.request); });
        if (it != pending.end()) {
            const PieceResponseHandler done = std::move(it->done);
            pending.erase(it);
            done(std::move(*message));
        }
    }
}

void PieceExchange::failAll(const std::string &vm)
{
    PeerConnection lost = std::move(m_peers[vm]);
    m_peers[vm] = {};
    m_health[vm].failedAt = steadyMillis();
    if (lost.connection) {
        lost.connection->close();
    }
    for (const OutgoingRequest &pending : lost.pending) {
        pending.done(std::nullopt);
    }
}

PeerState PieceExchange::stateOf(const std::string &vm) const
{
    const auto it = m_health.find(vm);
    if (it == m_health.end()) {
        return PeerState::Unknown;
    }
    const Millis now = steadyMillis();
    if (it->second.failedAt > Millis{0}) {
        return now < it->second.failedAt + UnreachableTime ? PeerState::Unreachable : PeerState::Unknown;
    }
    return now < it->second.respondedAt + RespondingTime ? PeerState::Responding : PeerState::Unknown;
}

void PieceExchange::check(const std::string &vm, const std::string &model, std::int64_t version)
{
    const auto it = m_peers.find(vm);
    if (it == m_peers.end() || it->second.pending.empty()) {
        request(vm, {.model = model, .version = version, .index = ProbeIndex, .waitMs = 1}, ProbeTime,
                [](const std::optional<peer::PieceMessage> &) {});
    }
}

bool PieceExchange::probe(PeerConnection &link, Millis now)
{
    const auto longPoll = std::find_if(link.pending.begin(), link.pending.end(),
                                       [](const OutgoingRequest &item) { return item.request.waitMs > 1; });
    if (!link.connection || longPoll == link.pending.end()) {
        link.probedAt = Millis{0};
        return true;
    }
    if (link.probedAt > Millis{0}) {
        return now < link.probedAt + ProbeTime;
    }
    if (now >= std::max(link.lastBytesAt, longPoll->sentAt) + QuietTime) {
        link.probedAt = now;
        link.connection->write(peer::encode(peer::PieceMessage{
            .model = longPoll->request.model, .version = longPoll->request.version, .index = ProbeIndex, .waitMs = 1}));
    }
    return true;
}

void PieceExchange::serve(const std::shared_ptr<net::Connection> &connection)
{
    m_incoming.add(connection);
    auto *raw = connection.get();
    connection->start({
        .data =
            [this, raw, reader = std::make_shared<peer::PieceReader>(peer::MaxRequestBytes)](std::string_view bytes) {
                reader->add(bytes);
                auto message = reader->next();
                for (; message; message = reader->next()) {
                    addPending(raw->shared_from_this(), std::move(*message));
                }
                if (message.error().code == ErrorCode::Corrupt) {
                    m_incoming.close(raw);
                }
                completePending();
                limitPending();
            },
        .closed = [this, raw](net::CloseReason) { m_incoming.remove(raw); },
        .drained = [this] { completePending(); },
    });
}

void PieceExchange::addPending(const std::shared_ptr<net::Connection> &connection, peer::PieceMessage request)
{
    if (request.content != peer::PieceContent::Request) {
        return;
    }
    m_incoming.markUsed(connection.get());
    if (request.index == peer::HoldingsIndex && !request.held.empty() && m_store.onHoldings) {
        m_store.onHoldings(request);
        request.held.clear();
    }
    const Millis now = steadyMillis();
    const Millis deadline = now + Millis{request.waitMs};
    m_pending.push_back(
        {.connection = connection, .request = std::move(request), .receivedAt = now, .deadline = deadline});
    m_pendingBytes += bytesOf(m_pending.back());
}

std::size_t PieceExchange::bytesOf(const PendingRequest &item)
{
    return sizeof item + item.request.model.capacity();
}

void PieceExchange::limitPending()
{
    while (m_pending.size() > MaxPending || m_pendingBytes > m_limits.pendingBytes) {
        std::map<std::shared_ptr<net::Connection>, std::size_t> bytes;
        for (const PendingRequest &item : m_pending) {
            bytes[item.connection.lock()] += bytesOf(item);
        }
        const auto most = std::max_element(bytes.begin(), bytes.end(),
                                           [](const auto &a, const auto &b) { return a.second < b.second; });
        logWarning(LogComponent::Side,
                   "Too many requests for pieces are pending; closing the connection with the most.",
                   {{"vm", most->first ? most->first->peerIp() : ""}});
        m_incoming.close(most->first.get());
        std::erase_if(m_pending, [&](const PendingRequest &item) { return item.connection.lock() == most->first; });
        m_pendingBytes -= most->second;
    }
}

PieceExchange::Decision PieceExchange::decide(const PendingRequest &item, const net::Connection &connection,
                                              Millis now) const
{
    if (connection.queuedBytes() > QueuedBytes) {
        return Decision::Wait;
    }
    const std::optional<bool> holds = m_store.holds(item.request);
    if (!holds || (!*holds && now >= item.deadline)) {
        return Decision::Missing;
    }
    if (!*holds) {
        return Decision::Wait;
    }
    if (item.request.index == peer::HoldingsIndex) {
        return Decision::Send;
    }
    if (item.request.waitMs > 0 && item.request.index != peer::ManifestIndex) {
        return Decision::Ready;
    }
    if (!redirectVm(item, now).empty()) {
        return Decision::Redirect;
    }
    const bool busy = now < m_nextPieceAt || m_activeReads >= ServedAtOnce;
    return busy ? Decision::Wait : Decision::Send;
}

void PieceExchange::completePending()
{
    const Millis now = steadyMillis();
    std::vector<PendingRequest> waiting;
    waiting.swap(m_pending);
    m_pendingBytes = 0;
    std::size_t room = m_incoming.room(m_limits.queuedBytes, now);
    // A domain that waits for its first copy takes precedence over further copies in this one.
    std::stable_partition(waiting.begin(), waiting.end(),
                          [](const PendingRequest &item) { return item.request.forDomain; });
    for (PendingRequest &item : waiting) {
        const auto connection = item.connection.lock();
        if (!connection || !connection->isOpen()) {
            continue;
        }
        switch (room > 0 ? decide(item, *connection, now) : Decision::Wait) {
        case Decision::Wait:
            m_pendingBytes += bytesOf(item);
            m_pending.push_back(std::move(item));
            continue;
        case Decision::Send:
            sendPiece(item, *connection, now);
            continue;
        case Decision::Missing:
            item.request.content = peer::PieceContent::Missing;
            break;
        case Decision::Ready:
            item.request.content = peer::PieceContent::Ready;
            break;
        case Decision::Redirect:
            item.request.content = peer::PieceContent::Redirect;
            item.request.redirectVm = redirectVm(item, now);
            break;
        }
        const std::string response = peer::encode(item.request);
        room -= std::min(room, response.size());
        connection->write(response);
    }
}

void PieceExchange::sendPiece(const PendingRequest &item, const net::Connection &connection, Millis now)
{
    ++m_activeReads;
    recordSent(item, connection, now);
    const bool isPiece = item.request.index >= 0;
    if (isPiece) {
        m_nextPieceAt = now + m_pieceInterval;
        m_nextPieceTimer.start(m_pieceInterval, [this] { completePending(); });
    }
    const Millis queued = now - item.receivedAt;
    m_store.read(item.request, [this, queued, to = item.connection](peer::PieceMessage answer) {
        --m_activeReads;
        answer.queueTime = queued;
        if (const auto open = to.lock()) {
            m_bytesServed += answer.bytes.size();
            open->write(peer::encode(answer));
        }
    });
}

void PieceExchange::recordSent(const PendingRequest &item, const net::Connection &connection, Millis now)
{
    if (item.request.forDomain || item.request.index == peer::HoldingsIndex) {
        return; // VMs of this domain are not redirected to another one; what this VM holds, only it knows.
    }
    if (item.request.version != m_sentVersion) {
        m_sentVersion = item.request.version;
        m_sentPieces.clear();
    }
    std::vector<SentPiece> &sent = m_sentPieces[item.request.index];
    std::string vm = connection.peerIp();
    std::erase_if(sent, [&](const SentPiece &earlier) { return earlier.vm == vm; });
    if (sent.size() >= MaxSentPieces) {
        sent.erase(sent.begin());
    }
    sent.push_back({.vm = std::move(vm), .sentAt = now});
}

std::string PieceExchange::redirectVm(const PendingRequest &item, Millis now) const
{
    const auto it = m_sentPieces.find(item.request.index);
    const bool crowded = m_pending.size() >= CrowdedAsks;
    if (item.request.forDomain || !crowded || item.request.version != m_sentVersion || it == m_sentPieces.end()) {
        return {};
    }
    const auto connection = item.connection.lock();
    const std::string requestingVm = connection ? connection->peerIp() : std::string();
    std::vector<std::string> settled;
    for (const SentPiece &sent : it->second) {
        if (sent.vm != requestingVm && now >= sent.sentAt + SettleTime) {
            settled.push_back(sent.vm);
        }
    }
    return settled.empty() ? std::string() : settled[static_cast<std::size_t>(now.count()) % settled.size()];
}

std::uint64_t PieceExchange::bytesServed() const
{
    return m_bytesServed;
}

void PieceExchange::tick()
{
    const Millis now = steadyMillis();
    std::vector<PieceResponseHandler> late;
    std::vector<std::string> unreachable;
    for (auto &item : m_peers) {
        PeerConnection &link = item.second;
        if (link.connecting && now >= link.connectDeadline) {
            unreachable.push_back(item.first);
        } else if (!probe(link, now)) {
            m_health[item.first].failedAt = now;
            link.probedAt = Millis{0};
            for (OutgoingRequest &pending : std::exchange(link.pending, {})) {
                late.push_back(std::move(pending.done));
            }
        }
        std::erase_if(link.pending, [&](OutgoingRequest &pending) {
            const bool progress = now - link.lastBytesAt < ProgressTime && now < pending.deadline + LongestExtension;
            const bool over = now >= pending.deadline && !progress;
            if (over) {
                if (link.lastBytesAt < pending.sentAt) {
                    m_health[item.first].failedAt = now;
                }
                late.push_back(std::move(pending.done));
            }
            return over;
        });
    }
    for (const std::string &vm : unreachable) {
        failAll(vm);
    }
    for (const PieceResponseHandler &done : late) {
        done(std::nullopt);
    }
    if (!m_pending.empty()) {
        completePending();
    }
    m_tickTimer.start(TickTime, [this] { tick(); });
}

} // namespace ibislock::side
