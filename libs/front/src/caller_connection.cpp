#include "caller_connection.h"

#include "call.h"
#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

/// Bytes of pipelined requests that are buffered during a call before reading is paused.
constexpr std::size_t PendingBytes = 64 * 1024;

/// Timeout for a complete request as a multiple of that for its head; slow callers send large bodies over seconds.
constexpr int BodyTimeFactor = 4;

/// Returns the limits of the desired state in force.
serving::CallerLimits limitsOf(const Front &front)
{
    return front.operators.state ? front.operators.state->limits : serving::CallerLimits{};
}

http::MessageReader readerWith(const serving::CallerLimits &limits)
{
    return {http::MessageKind::Request, {.headBytes = limits.maxHeadBytes, .bodyBytes = limits.maxBodyBytes}};
}

} // namespace

CallerConnection::CallerConnection(Front &front, std::shared_ptr<net::Connection> connection)
    : m_front(front)
    , m_connection(std::move(connection))
    , m_requestLimits(limitsOf(front))
    , m_reader(readerWith(m_requestLimits))
    , m_idleSince(steadyMillis())
    , m_idleTimeout(m_requestLimits.idleTimeout)
{
}

void CallerConnection::start()
{
    m_connection->start({
        .data = [this, self = shared_from_this()](std::string_view bytes) { onData(bytes); },
        .closed = [this, self = shared_from_this()](net::CloseReason) { onClosed(); },
        .drained =
            [this, self = shared_from_this()] {
                if (m_call) {
                    m_call->onCallerDrained();
                }
            },
    });
}

void CallerConnection::onData(std::string_view bytes)
{
    m_unparsed.append(bytes);
    if (m_call) {
        if (m_unparsed.size() > PendingBytes) {
            m_readingPaused = true;
            m_connection->setReadingPaused(true);
        }
        return;
    }
    readRequests();
}

void CallerConnection::readRequests()
{
    if (m_readingRequests) {
        return;
    }
    const auto self = shared_from_this();
    m_readingRequests = true;
    while (!m_call && !m_unparsed.empty() && m_connection->isOpen()) {
        if (!m_reader.started()) {
            m_requestStartedAt = steadyMillis();
            applyLimits();
        }
        const auto used = m_reader.feed(m_unparsed);
        if (!used) {
            const bool tooLarge = used.error().code == ErrorCode::Exhausted;
            rejectRequest(tooLarge ? (m_reader.headTooLarge() ? 431 : 413) : 400);
            break;
        }
        m_unparsed.erase(0, *used);
        if (!m_reader.complete()) {
            break;
        }
        startCall();
    }
    m_readingRequests = false;
}

void CallerConnection::applyLimits()
{
    const serving::CallerLimits before = std::exchange(m_requestLimits, limitsOf(m_front));
    // Otherwise the reader is kept: it counts the empty lines in front of a request.
    if (m_requestLimits.maxHeadBytes != before.maxHeadBytes || m_requestLimits.maxBodyBytes != before.maxBodyBytes) {
        m_reader = readerWith(m_requestLimits);
    }
}

void CallerConnection::startCall()
{
    http::RequestHead head = m_reader.request();
    std::string body = m_reader.takeBody();
    m_reader = readerWith(m_requestLimits);
    m_requestKeepsAlive = head.keepAlive;
    m_call = std::make_shared<Call>(m_front, weak_from_this(), std::move(head), std::move(body));
    const auto call = m_call;
    m_front.accept(call);
}

void CallerConnection::rejectRequest(int status)
{
    logInfo(LogComponent::Front, "A request could not be read.", {{"status", std::to_string(status)}});
    http::ResponseHead own = platform::makeLocalResponse(status, "", Millis{0});
    own.keepAlive = false;
    m_connection->write(writeResponse(own, ""));
    m_connection->closeGracefully(m_front.loop);
    m_unparsed.clear(); // The connection stays open for a while, but nothing more is read as a request.
    m_front.removeConnection(this);
}

void CallerConnection::onClosed()
{
    const auto self = shared_from_this();
    if (m_call) {
        std::exchange(m_call, nullptr)->cancel();
    }
    m_front.removeConnection(this);
}

void CallerConnection::write(std::string_view bytes)
{
    m_connection->write(bytes);
}

std::size_t CallerConnection::queuedBytes() const
{
    return m_connection->queuedBytes();
}

bool CallerConnection::keepsAlive() const
{
    return m_requestKeepsAlive && !m_front.draining;
}

void CallerConnection::onResponseWritten(bool close)
{
    m_call.reset();
    m_idleSince = steadyMillis();
    m_idleTimeout = limitsOf(m_front).idleTimeout;
    if (close) {
        m_connection->closeAfterWrites();
        m_front.removeConnection(this);
        return;
    }
    m_readingPaused = false;
    m_connection->setReadingPaused(false);
    if (!m_unparsed.empty()) {
        asio::post(m_front.loop, [self = shared_from_this()] { self->readRequests(); });
    }
}

void CallerConnection::abort()
{
    m_call.reset();
    m_connection->close();
    m_front.removeConnection(this);
}

void CallerConnection::close()
{
    m_call.reset();
    m_connection->close();
}

bool CallerConnection::hasCallerLeft() const
{
    return m_connection->hasPeerClosed();
}

bool CallerConnection::isBusy() const
{
    return m_call != nullptr || m_reader.started() || !m_unparsed.empty();
}

void CallerConnection::checkTimeouts(Millis now)
{
    if (m_call && m_readingPaused && hasCallerLeft()) {
        m_connection->close(); // Its end would be read only behind the bytes that the caller has sent ahead.
        onClosed();
        return;
    }
    if (m_call) {
        const auto call = m_call;
        call->checkTimeouts(now);
        return;
    }
    if (m_reader.started()) {
        const Millis headTimeout = m_requestLimits.headTimeout;
        const Millis allowed = m_reader.headComplete() ? headTimeout * BodyTimeFactor : headTimeout;
        if (now - m_requestStartedAt > allowed) {
            rejectRequest(408);
        }
    } else if (now - m_idleSince > std::max(m_idleTimeout, limitsOf(m_front).idleTimeout) && m_unparsed.empty()
               && !m_connection->hasUnreadBytes()) {
        m_connection->close();
        m_front.removeConnection(this);
    }
}

} // namespace ibislock::front
