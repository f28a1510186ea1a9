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

/// Queued bytes on a connection above which no further piece is sent on it.
constexpr std::size_t QueuedBytes = 32 * 1024;

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

bool answers(const peer::PieceMessage &answer, const peer::PieceMessage &ask)
{
    return answer.model == ask.model && answer.version == ask.version && answer.index == ask.index;
}

} // namespace

PieceExchange::PieceExchange(asio::io_context &loop, std::uint16_t port, Millis pieceTime, PieceStore store)
    : m_loop(loop)
    , m_port(port)
    , m_pieceTime(pieceTime)
    , m_store(std::move(store))
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
    , m_tick(loop)
    , m_nextPiece(loop)
{
}

PieceExchange::~PieceExchange()
{
    for (const auto &[raw, connection] : m_served) {
        connection->close();
    }
    for (const auto &[vm, asked] : m_asked) {
        if (asked.connection) {
            asked.connection->close();
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

void PieceExchange::ask(const std::string &vm, peer::PieceMessage ask, Millis time, PieceAnswer done)
{
    Asked &asked = m_asked[vm];
    const std::string bytes = peer::encode(ask);
    asked.pending.push_back({.ask = std::move(ask), .until = steadyMillis() + time, .done = std::move(done)});
    if (asked.connection) {
        asked.connection->write(bytes);
        return;
    }
    asked.unsent += bytes;
    if (!asked.connecting) {
        connect(vm);
    }
}

void PieceExchange::connect(const std::string &vm)
{
    Asked &asked = m_asked[vm];
    asio::error_code ec;
    const auto address = asio::ip::make_address_v4(vm, ec);
    if (ec) {
        asio::post(m_loop, [this, vm] { failAll(vm); });
        return;
    }
    asked.connectUntil = steadyMillis() + ConnectTime;
    asked.connecting = std::make_shared<asio::ip::tcp::socket>(m_loop);
    asked.connecting->async_connect({address, m_port},
                                    [this, vm, socket = asked.connecting](const asio::error_code &failed) {
                                        Asked &to = m_asked[vm];
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
                                            .data = [this, vm](std::string_view bytes) { onAnswer(vm, bytes); },
                                            .closed = [this, vm](net::CloseReason) { failAll(vm); },
                                        });
                                        to.connection->write(std::exchange(to.unsent, {}));
                                    });
}

void PieceExchange::onAnswer(const std::string &vm, std::string_view bytes)
{
    const auto reader = m_asked[vm].reader;
    m_asked[vm].lastBytesAt = steadyMillis();
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
        auto &pending = m_asked[vm].pending;
        const auto it = std::find_if(pending.begin(), pending.end(),
                                     [&](const Pending &item) { return answers(*message, item.ask); });
        if (it != pending.end()) {
            const PieceAnswer done = std::move(it->done);
            pending.erase(it);
            done(std::move(*message));
        }
    }
}

void PieceExchange::failAll(const std::string &vm)
{
    Asked lost = std::move(m_asked[vm]);
    m_asked[vm] = {};
    if (lost.connection) {
        lost.connection->close();
    }
    for (const Pending &pending : lost.pending) {
        pending.done(std::nullopt);
    }
}

void PieceExchange::serve(const std::shared_ptr<net::Connection> &connection)
{
    m_served.emplace(connection.get(), connection);
    auto *raw = connection.get();
    connection->start({
        .data =
            [this, raw, reader = std::make_shared<peer::PieceReader>()](std::string_view bytes) {
                reader->add(bytes);
                while (raw->isOpen()) {
                    auto message = reader->next();
                    if (message) {
                        takeAsk(raw->shared_from_this(), std::move(*message));
                        continue;
                    }
                    if (message.error().code == ErrorCode::Corrupt) {
                        raw->close();
                        m_served.erase(raw);
                    }
                    return;
                }
            },
        .closed = [this, raw](net::CloseReason) { m_served.erase(raw); },
        .drained = [this] { answerWaiting(); },
    });
}

void PieceExchange::takeAsk(const std::shared_ptr<net::Connection> &connection, peer::PieceMessage ask)
{
    if (ask.content != peer::PieceContent::Request) {
        return;
    }
    const Millis now = steadyMillis();
    const Millis until = now + Millis{ask.waitMs};
    m_waiting.push_back({.connection = connection, .ask = std::move(ask), .since = now, .until = until});
    answerWaiting();
}

PieceExchange::Verdict PieceExchange::verdictOn(const Waiting &item, const net::Connection &connection,
                                                Millis now) const
{
    const std::optional<bool> holds = m_store.holds(item.ask);
    if (!holds || (!*holds && now >= item.until)) {
        return Verdict::Missing;
    }
    if (!*holds) {
        return Verdict::Wait;
    }
    if (item.ask.waitMs > 0 && item.ask.index != peer::ManifestIndex) {
        return Verdict::Ready;
    }
    if (!elsewhere(item, now).empty()) {
        return Verdict::Elsewhere;
    }
    const bool busy = now < m_nextPieceAt || m_reading >= ServedAtOnce || connection.queuedBytes() > QueuedBytes;
    return busy ? Verdict::Wait : Verdict::Send;
}

void PieceExchange::answerWaiting()
{
    const Millis now = steadyMillis();
    std::vector<Waiting> waiting;
    waiting.swap(m_waiting);
    // A domain that waits for its first copy takes precedence over further copies in this one.
    std::stable_partition(waiting.begin(), waiting.end(), [](const Waiting &item) { return item.ask.forDomain; });
    for (Waiting &item : waiting) {
        const auto connection = item.connection.lock();
        if (!connection || !connection->isOpen()) {
            continue;
        }
        switch (verdictOn(item, *connection, now)) {
        case Verdict::Wait:
            m_waiting.push_back(std::move(item));
            continue;
        case Verdict::Send:
            sendPiece(item, *connection, now);
            continue;
        case Verdict::Missing:
            item.ask.content = peer::PieceContent::Missing;
            break;
        case Verdict::Ready:
            item.ask.content = peer::PieceContent::Ready;
            break;
        case Verdict::Elsewhere:
            item.ask.content = peer::PieceContent::Redirect;
            item.ask.redirectVm = elsewhere(item, now);
            break;
        }
        connection->write(peer::encode(item.ask));
    }
}

void PieceExchange::sendPiece(const Waiting &item, const net::Connection &connection, Millis now)
{
    ++m_reading;
    noteSent(item, connection, now);
    m_nextPieceAt = item.ask.index == peer::ManifestIndex ? now : now + m_pieceTime;
    m_nextPiece.start(m_pieceTime, [this] { answerWaiting(); });
    const Millis queued = now - item.since;
    m_store.read(item.ask, [this, queued, to = item.connection](peer::PieceMessage answer) {
        --m_reading;
        answer.queueTime = queued;
        if (const auto open = to.lock()) {
            m_bytesServed += answer.bytes.size();
            open->write(peer::encode(answer));
        }
    });
}

void PieceExchange::noteSent(const Waiting &item, const net::Connection &connection, Millis now)
{
    if (item.ask.forDomain) {
        return; // VMs of this domain are not redirected to another one.
    }
    if (item.ask.version != m_sentVersion) {
        m_sentVersion = item.ask.version;
        m_sent.clear();
    }
    m_sent[item.ask.index].push_back({.vm = connection.peerIp(), .at = now});
}

std::string PieceExchange::elsewhere(const Waiting &item, Millis now) const
{
    const auto it = m_sent.find(item.ask.index);
    const bool crowded = m_waiting.size() >= CrowdedAsks;
    if (item.ask.forDomain || !crowded || item.ask.version != m_sentVersion || it == m_sent.end()) {
        return {};
    }
    const auto connection = item.connection.lock();
    const std::string asker = connection ? connection->peerIp() : std::string();
    std::vector<std::string> settled;
    for (const Sent &sent : it->second) {
        if (sent.vm != asker && now >= sent.at + SettleTime) {
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
    std::vector<PieceAnswer> late;
    std::vector<std::string> unreachable;
    for (auto &item : m_asked) {
        Asked &asked = item.second;
        if (asked.connecting && now >= asked.connectUntil) {
            unreachable.push_back(item.first);
        }
        std::erase_if(asked.pending, [&](Pending &pending) {
            const bool progress = now - asked.lastBytesAt < ProgressTime && now < pending.until + LongestExtension;
            const bool over = now >= pending.until && !progress;
            if (over) {
                late.push_back(std::move(pending.done));
            }
            return over;
        });
    }
    for (const std::string &vm : unreachable) {
        failAll(vm);
    }
    for (const PieceAnswer &done : late) {
        done(std::nullopt);
    }
    if (!m_waiting.empty()) {
        answerWaiting();
    }
    m_tick.start(TickTime, [this] { tick(); });
}

} // namespace ibislock::side
