#include "ibislock/net/http_client.h"

#include <algorithm>

namespace ibislock::net
{

namespace
{

/// How long an idle connection stays pooled if the peer sends no Keep-Alive timeout.
constexpr Millis DefaultKeepTime{4000};

/// A pooled connection is dropped this much before the peer's Keep-Alive timeout, as the peer may close it a little
/// early.
constexpr Millis KeepMargin{500};

/// Bytes that are read at a time until the head of a response is known. The receiver of the response can't pause the
/// reading before.
constexpr std::size_t HeadReadBytes = 8 * 1024;

/// Returns whether a serialized request is a HEAD request.
bool isHead(std::string_view request)
{
    return request.starts_with("HEAD ");
}

/// Returns the timeout of a Keep-Alive header.
Millis keepTimeOf(const http::ResponseHead &head)
{
    const auto text = head.headers.find("Keep-Alive");
    const std::size_t at = text ? text->find("timeout=") : std::string_view::npos;
    if (at == std::string_view::npos) {
        return DefaultKeepTime;
    }
    const std::string_view rest = text->substr(at + 8);
    const auto seconds = http::parseUnsigned(rest.substr(0, rest.find(',')));
    return seconds ? Millis{static_cast<std::int64_t>(*seconds) * 1000} : DefaultKeepTime;
}

} // namespace

Exchange::Exchange(HttpClient &client, std::string key, std::string bytes, const ExchangeOptions &options,
                   ExchangeEvents events)
    : m_client(&client)
    , m_key(std::move(key))
    , m_request(std::move(bytes))
    , m_options(options)
    , m_events(std::move(events))
    , m_timer(client.m_loop)
    , m_reader(http::MessageKind::Response, {})
    , m_isHeadRequest(isHead(m_request))
{
    client.m_exchanges.insert(this);
    if (m_isHeadRequest) {
        m_reader.expectNoBody();
    }
}

Exchange::~Exchange()
{
    if (m_client != nullptr) {
        m_client->m_exchanges.erase(this);
    }
}

void Exchange::cancel()
{
    m_done = true;
    m_events = {};
    m_timer.cancel();
    if (m_socket) {
        asio::error_code ec; // The connection is discarded whether or not closing succeeds.
        m_socket->close(ec);
        m_socket.reset();
    }
    if (m_connection) {
        m_connection->abort();
        m_connection.reset();
    }
}

bool Exchange::isReceivingResponse() const
{
    return m_responseStarted && !m_done;
}

void Exchange::setReadingPaused(bool pause)
{
    if (m_connection) {
        m_connection->setReadingPaused(pause);
    }
}

void Exchange::armTimer(Millis time)
{
    m_timer.start(time, [self = shared_from_this()] {
        self->finish(self->m_connected ? ExchangeOutcome::TimedOut : ExchangeOutcome::NotConnected);
    });
}

void Exchange::connect(const asio::ip::tcp::endpoint &endpoint)
{
    ++m_client->m_connectionsOpened;
    m_socket = std::make_shared<asio::ip::tcp::socket>(m_client->m_loop);
    asio::error_code ignored; // Without the option, the connection works with the system's buffer.
    m_socket->open(endpoint.protocol(), ignored);
    if (m_client->m_receiveBuffer > 0 && !ignored) {
        m_socket->set_option(asio::socket_base::receive_buffer_size(m_client->m_receiveBuffer), ignored);
    }
    m_connectStartedAt = bootMillis();
    armTimer(m_options.connectTimeout);
    m_socket->async_connect(endpoint, [self = shared_from_this(), socket = m_socket](const asio::error_code &ec) {
        if (self->m_done) {
            return;
        }
        const bool late = bootMillis() - self->m_connectStartedAt >= self->m_options.connectTimeout;
        const auto maySend = self->m_events.maySend; // It may cancel the exchange.
        if (ec || late || (maySend && !maySend())) {
            self->finish(ExchangeOutcome::NotConnected);
            return;
        }
        self->m_timer.cancel();
        self->m_socket.reset();
        self->start(Connection::adopt(std::move(*socket)), false);
    });
}

void Exchange::start(std::shared_ptr<Connection> connection, bool reused)
{
    m_connection = std::move(connection);
    m_connection->limitReads(HeadReadBytes);
    m_connected = true;
    m_reused = reused;
    m_startedAt = steadyMillis();
    if (m_options.timeout > Millis{0}) {
        armTimer(m_options.timeout);
    }
    ConnectionEvents events{
        .data = [self = shared_from_this()](std::string_view bytes) { self->onData(bytes); },
        .closed = [self = shared_from_this()](CloseReason by) { self->onClosed(by); },
    };
    if (reused) {
        m_connection->setEvents(std::move(events));
    } else {
        m_connection->start(std::move(events));
    }
    m_connection->writeOwned(std::exchange(m_request, {}));
}

bool Exchange::handleHead()
{
    if (m_headHandled || !m_reader.headComplete()) {
        return true;
    }
    m_headHandled = true;
    const bool interim = m_reader.response().status / 100 == 1;
    m_connection->limitReads(SIZE_MAX);
    m_skipping = interim || (m_events.head && m_events.head(m_reader.response()) == HeadDecision::Skip);
    return !m_done;
}

void Exchange::limitBody(std::size_t bytes)
{
    m_options.maxBodyBytes = bytes;
}

bool Exchange::exceedsBodyLimit(std::size_t bytes)
{
    if (m_skipping) {
        m_skippedBytes += bytes;
        m_tooLarge = m_skippedBytes > MaxSkippedBytes;
    } else {
        m_bodyBytes += bytes;
        m_tooLarge = m_options.maxBodyBytes > 0 && m_bodyBytes > m_options.maxBodyBytes;
    }
    return m_tooLarge;
}

void Exchange::onData(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_responseStarted = true;
    if (m_options.stallTimeout > Millis{0}) {
        const Millis left = m_startedAt + m_options.totalTimeout - steadyMillis();
        armTimer(std::clamp(left, Millis{0}, m_options.stallTimeout));
    }
    while (!m_done && !bytes.empty()) {
        const auto used = m_reader.feed(bytes);
        if (!used) {
            finish(ExchangeOutcome::Broken);
            return;
        }
        bytes.remove_prefix(*used);
        if (!handleHead()) {
            return;
        }
        std::string body = m_reader.takeBody();
        if (exceedsBodyLimit(body.size())) {
            finish(ExchangeOutcome::Broken);
            return;
        }
        if (!body.empty() && !m_skipping && m_events.body) {
            const auto handler = m_events.body; // The handler may cancel the exchange.
            handler(std::move(body));
        }
        if (m_done || !m_reader.complete()) {
            return;
        }
        if (!m_skipping) {
            // Bytes after the response belong to no request, so the connection isn't reused.
            const bool clean = bytes.empty() && m_reader.response().keepAlive;
            if (clean && m_options.keepAlive && m_connection->queuedBytes() == 0) {
                m_client->addIdle(m_key, std::move(m_connection), m_reader.response());
                m_connection.reset();
            }
            finish(ExchangeOutcome::Complete);
            return;
        }
        if (++m_skippedResponses > MaxSkippedResponses) {
            finish(ExchangeOutcome::Broken);
            return;
        }
        m_reader.next();
        if (m_isHeadRequest) {
            m_reader.expectNoBody();
        }
        m_headHandled = m_skipping = false;
    }
}

void Exchange::onClosed(CloseReason by)
{
    if (m_done) {
        return;
    }
    m_connection.reset();
    const bool ended =
        by == CloseReason::PeerClosed && m_reader.started() && m_reader.finish() && m_headHandled && !m_skipping;
    if (ended) {
        std::string rest = m_reader.takeBody();
        if (!rest.empty() && m_events.body) {
            m_events.body(std::move(rest));
        }
    }
    if (!m_done) {
        finish(ended ? ExchangeOutcome::Complete : ExchangeOutcome::Broken);
    }
}

void Exchange::finish(ExchangeOutcome end)
{
    const auto self = shared_from_this();
    const auto handler = std::move(m_events.end);
    const ExchangeResult result{.outcome = end,
                                .connected = m_connected,
                                .reused = m_reused,
                                .responseStarted = m_responseStarted,
                                .tooLarge = m_tooLarge};
    cancel();
    if (handler) {
        handler(result);
    }
}

HttpClient::HttpClient(asio::io_context &loop)
    : m_loop(loop)
{
}

HttpClient::~HttpClient()
{
    // An exchange and its connection keep each other alive until one of them ends.
    const std::set<Exchange *> exchanges = std::move(m_exchanges);
    for (Exchange *exchange : exchanges) {
        exchange->m_client = nullptr;
    }
    for (Exchange *exchange : exchanges) {
        const auto kept = exchange->weak_from_this().lock();
        exchange->cancel();
    }
    for (const auto &[key, list] : m_idleConnections) {
        for (const IdleConnection &kept : list) {
            kept.connection->close();
        }
    }
}

std::shared_ptr<Exchange> HttpClient::send(const std::string &ip, std::uint16_t port, std::string bytes,
                                           const ExchangeOptions &options, ExchangeEvents events)
{
    std::string key = ip + ":" + std::to_string(port);
    auto kept = options.newConnection ? nullptr : takeIdle(key, options.maxIdle);
    std::shared_ptr<Exchange> exchange(
        new Exchange(*this, std::move(key), std::move(bytes), options, std::move(events)));
    if (kept) {
        exchange->start(std::move(kept), true);
        return exchange;
    }
    asio::error_code ec;
    const auto address = asio::ip::make_address_v4(ip, ec);
    if (ec) {
        asio::post(m_loop, [exchange] {
            if (!exchange->m_done) {
                exchange->finish(ExchangeOutcome::NotConnected);
            }
        });
        return exchange;
    }
    exchange->connect({address, port});
    return exchange;
}

std::shared_ptr<Exchange>
HttpClient::call(const std::string &ip, std::uint16_t port, std::string bytes, const ExchangeOptions &options,
                 std::function<void(ExchangeOutcome, const http::ResponseHead &, std::string)> done)
{
    struct Answer
    {
        http::ResponseHead head;
        std::string body;
    };
    auto answer = std::make_shared<Answer>();
    return send(ip, port, std::move(bytes), options,
                {
                    .head =
                        [answer](const http::ResponseHead &head) {
                            answer->head = head;
                            return HeadDecision::Accept;
                        },
                    .body = [answer](const std::string &part) { answer->body.append(part); },
                    .end =
                        [answer, done = std::move(done)](const ExchangeResult &result) {
                            if (result.outcome != ExchangeOutcome::Complete) {
                                *answer = {};
                            }
                            done(result.outcome, answer->head, std::move(answer->body));
                        },
                });
}

void HttpClient::limitReceiveBuffer(int bytes)
{
    m_receiveBuffer = bytes;
}

std::size_t HttpClient::connections() const
{
    std::size_t out = m_exchanges.size();
    for (const auto &[key, list] : m_idleConnections) {
        out += list.size();
    }
    return out;
}

void HttpClient::closeAllIdleConnections()
{
    for (const auto &[key, list] : m_idleConnections) {
        for (const IdleConnection &kept : list) {
            kept.connection->close();
        }
    }
    m_idleConnections.clear();
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return m_connectionsOpened;
}

void HttpClient::addIdle(const std::string &key, std::shared_ptr<Connection> connection, const http::ResponseHead &head)
{
    const std::weak_ptr<Connection> weak = connection;
    const auto drop = [this, key, weak] {
        auto &list = m_idleConnections[key];
        std::erase_if(list, [&](const IdleConnection &kept) { return kept.connection == weak.lock(); });
    };
    connection->setEvents({
        .data =
            [drop, weak](std::string_view) {
                if (const auto self = weak.lock()) {
                    self->close();
                }
                drop();
            },
        .closed = [drop](CloseReason) { drop(); },
    });
    m_idleConnections[key].push_back(
        {.connection = std::move(connection), .idleSince = steadyMillis(), .usableFor = keepTimeOf(head) - KeepMargin});
}

std::shared_ptr<Connection> HttpClient::takeIdle(const std::string &key, Millis maxIdle)
{
    const auto it = m_idleConnections.find(key);
    if (it == m_idleConnections.end()) {
        return nullptr;
    }
    const Millis now = steadyMillis();
    while (!it->second.empty()) {
        const IdleConnection kept = std::move(it->second.back());
        it->second.pop_back();
        if (kept.connection->isOpen() && now - kept.idleSince < std::min(maxIdle, kept.usableFor)) {
            return kept.connection;
        }
        kept.connection->close();
    }
    return nullptr;
}

void HttpClient::closeIdleConnections(Millis now)
{
    for (auto it = m_idleConnections.begin(); it != m_idleConnections.end();) {
        std::erase_if(it->second, [&](const IdleConnection &kept) {
            const bool old = now - kept.idleSince >= kept.usableFor;
            if (old) {
                kept.connection->close();
            }
            return old;
        });
        it = it->second.empty() ? m_idleConnections.erase(it) : std::next(it);
    }
}

} // namespace ibislock::net
