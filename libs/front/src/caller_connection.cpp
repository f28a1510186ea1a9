#include "caller_connection.h"

#include "call.h"
#include "ibislock/base/log.h"
#include "ibislock/serving/retry_delay.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

using serving::HolderPhase;

/// Bytes of pipelined requests that are buffered during a call before reading is paused.
constexpr std::size_t PendingBytes = 16 * 1024;

/// The next pipelined request isn't read while more bytes of responses than this wait to be read by the caller.
constexpr std::size_t UnreadResponseBytes = 64 * 1024;

/// Timeout for a complete request as a multiple of that for its head; slow callers send large bodies over seconds.
constexpr int BodyTimeFactor = 4;

/// The memory that a body takes while it grows, as a divisor of its size: it is copied into a somewhat larger one.
constexpr std::size_t GrowthDivisor = 4;

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

CallerConnection::CallerConnection(Front &front, std::shared_ptr<net::Connection> connection, serving::HolderId holder)
    : m_front(front)
    , m_connection(std::move(connection))
    , m_holder(holder)
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
        .drained = [this, self = shared_from_this()] { onDrained(); },
    });
}

void CallerConnection::onData(std::string_view bytes)
{
    if (m_closing) {
        return;
    }
    m_progressAt = steadyMillis();
    recordProgress(m_front.memory, m_holder, m_progressAt);
    if (!m_call && !isBacklogged() && m_unparsed.empty()) {
        readRequests(bytes);
        return;
    }
    if (m_discardsRest) {
        return;
    }
    m_unparsed.append(bytes);
    if (!updateMemory()) {
        // The request that is in progress goes on; those behind it are not read, and the connection is closed then.
        std::string().swap(m_unparsed);
        m_discardsRest = true;
    } else if (m_unparsed.size() > PendingBytes) {
        m_readingPaused = true;
        m_connection->setReadingPaused(true);
    }
}

void CallerConnection::readUnparsed()
{
    if (!m_call && !isBacklogged()) {
        const std::string bytes = std::exchange(m_unparsed, {});
        readRequests(bytes);
    }
}

void CallerConnection::readRequests(std::string_view bytes)
{
    const auto self = shared_from_this();
    while (!m_call && !bytes.empty() && !m_closing && !isBacklogged() && m_connection->isOpen()) {
        if (!m_reader.started()) {
            beginRequest();
        }
        const std::size_t held = m_reader.heldBytes();
        if (!m_front.reserveMemory(m_holder, heldBytes() + held / GrowthDivisor + bytes.size())) {
            refuseForLackOfRoom();
            break;
        }
        const auto used = m_reader.feed(bytes);
        if (!used) {
            const bool tooLarge = used.error().code == ErrorCode::Exhausted;
            rejectRequest(tooLarge ? (m_reader.headTooLarge() ? 431 : 413) : 400);
            break;
        }
        bytes.remove_prefix(*used);
        if (m_reader.complete()) {
            startCall();
        } else if (!admitsBody()) {
            refuseForLackOfRoom();
        }
    }
    if (!m_closing && m_connection->isOpen()) {
        m_unparsed.assign(bytes);
        updateMemory();
    }
}

void CallerConnection::beginRequest()
{
    m_requestStartedAt = steadyMillis();
    m_bodyStartedAt = Millis{0};
    setPhase(m_front.memory, m_holder, HolderPhase::Receiving, m_requestStartedAt);
    applyLimits();
}

bool CallerConnection::admitsBody()
{
    if (!m_reader.headComplete() || m_bodyStartedAt > Millis{0}) {
        return true;
    }
    m_bodyStartedAt = steadyMillis();
    const auto announced = m_reader.announcedBodyBytes();
    return !announced || serving::admitsBody(m_front.memory, *announced, m_bodyStartedAt);
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
    const Millis now = steadyMillis();
    setPhase(m_front.memory, m_holder, HolderPhase::AtTarget, now);
    // The body is held for a second attempt while a copy of it is sent.
    if (!m_front.reserveMemory(m_holder, heldBytes() + 2 * body.capacity())) {
        refuseForLackOfRoom();
        return;
    }
    m_reader = readerWith(m_requestLimits);
    m_requestKeepsAlive = head.keepAlive;
    m_call = std::make_shared<Call>(m_front, weak_from_this(), std::move(head), std::move(body));
    const auto call = m_call;
    m_front.accept(call);
}

void CallerConnection::refuseForLackOfRoom()
{
    countGiveWay(m_front.memory, serving::GiveWayReason::RefusedBody);
    rejectRequest(503);
}

std::string CallerConnection::rejection(int status)
{
    const auto request =
        m_reader.headComplete() ? platform::decodeCallerRequest(m_reader.request()) : Result<platform::CallerRequest>();
    const Millis retryAfter =
        status == 503 ? serving::suggestedRetryDelay(serving::RefusalCause::Full, m_front.random) : Millis{0};
    http::ResponseHead own =
        platform::makeLocalResponse(status, request ? request->attemptId : std::string(), retryAfter);
    own.keepAlive = false;
    return writeResponse(own, "");
}

void CallerConnection::rejectRequest(int status)
{
    if (m_front.mayLogRejection()) {
        logInfo(LogComponent::Front, "A request could not be read.", {{"status", std::to_string(status)}});
    }
    m_connection->write(rejection(status));
    // The connection stays open for a while, but nothing more is read as a request.
    m_closing = true;
    m_connection->closeGracefully(m_front.loop);
    std::string().swap(m_unparsed);
    m_reader = readerWith(m_requestLimits);
    setPhase(m_front.memory, m_holder, HolderPhase::Closing, steadyMillis());
    updateMemory();
}

void CallerConnection::giveWay()
{
    if (m_reader.started() && !m_call && !m_closing) {
        m_connection->write(rejection(503)); // It may be lost, as the connection is closed at once.
    }
    m_closing = true;
    m_connection->close();
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

void CallerConnection::onDrained()
{
    const Millis now = steadyMillis();
    recordProgress(m_front.memory, m_holder, now);
    if (m_call) {
        m_call->onCallerDrained();
        return;
    }
    if (m_reader.started()) {
        return;
    }
    m_idleSince = now;
    setPhase(m_front.memory, m_holder, HolderPhase::Idle, now);
    updateMemory();
    m_readingPaused = false;
    m_connection->setReadingPaused(false);
    if (!m_unparsed.empty()) {
        readUnparsed();
    }
}

std::size_t CallerConnection::heldBytes() const
{
    return m_unparsed.capacity() + m_reader.heldBytes() + m_connection->queuedBytes()
        + (m_call ? m_call->heldBytes() : 0);
}

bool CallerConnection::updateMemory()
{
    return m_front.reserveMemory(m_holder, heldBytes());
}

bool CallerConnection::isBacklogged() const
{
    return m_connection->queuedBytes() > UnreadResponseBytes;
}

void CallerConnection::write(std::string_view bytes)
{
    m_connection->write(bytes);
}

void CallerConnection::writeOwned(std::string bytes)
{
    m_connection->writeOwned(std::move(bytes));
}

std::size_t CallerConnection::queuedBytes() const
{
    return m_connection->queuedBytes();
}

bool CallerConnection::keepsAlive() const
{
    return m_requestKeepsAlive && !m_front.draining && !m_discardsRest;
}

void CallerConnection::onResponseWritten(bool close)
{
    m_call.reset();
    const Millis now = steadyMillis();
    m_idleSince = now;
    m_idleTimeout = limitsOf(m_front).idleTimeout;
    setPhase(m_front.memory, m_holder, queuedBytes() > 0 ? HolderPhase::Responding : HolderPhase::Idle, now);
    if (close || m_discardsRest) {
        m_closing = true;
        std::string().swap(m_unparsed);
        updateMemory();
        m_connection->closeAfterWrites();
        if (!m_connection->isOpen()) {
            m_front.removeConnection(this);
        }
        return;
    }
    updateMemory();
    m_readingPaused = isBacklogged();
    m_connection->setReadingPaused(m_readingPaused);
    if (!m_unparsed.empty()) {
        asio::post(m_front.loop, [self = shared_from_this()] { self->readUnparsed(); });
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
    const bool responding = m_connection->queuedBytes() > 0;
    return m_call != nullptr || (!m_closing && (m_reader.started() || !m_unparsed.empty() || responding));
}

void CallerConnection::recordReading(Millis now)
{
    const std::size_t queued = m_connection->queuedBytes();
    if (queued < m_lastQueuedBytes) {
        m_progressAt = now;
        recordProgress(m_front.memory, m_holder, now);
    }
    m_lastQueuedBytes = queued;
}

bool CallerConnection::isRequestTooSlow(Millis now) const
{
    const Millis headTimeout = m_requestLimits.headTimeout;
    const Millis allowed = m_reader.headComplete() ? headTimeout * BodyTimeFactor : headTimeout;
    if (now - m_requestStartedAt > allowed) {
        return true;
    }
    return m_bodyStartedAt > Millis{0} && !m_connection->hasUnreadBytes()
        && serving::isBodyTooSlow(m_reader.bodyBytesRead(), now - m_bodyStartedAt, now - m_progressAt, headTimeout);
}

void CallerConnection::checkTimeouts(Millis now)
{
    if (!m_connection->isOpen()) { // It was closed behind the response.
        m_front.removeConnection(this);
        return;
    }
    if (m_call && m_readingPaused && hasCallerLeft()) {
        m_connection->close(); // Its end would be read only behind the bytes that the caller has sent ahead.
        onClosed();
        return;
    }
    recordReading(now);
    if (m_call) {
        const auto call = m_call;
        call->checkTimeouts(now);
        if (m_call && updateMemory()) {
            call->onRoom();
        }
        return;
    }
    if (m_closing) {
        updateMemory();
    } else if (m_reader.started()) {
        if (isRequestTooSlow(now)) {
            rejectRequest(408);
        }
    } else if (now - std::max(m_idleSince, m_progressAt) > std::max(m_idleTimeout, limitsOf(m_front).idleTimeout)
               && m_unparsed.empty() && !m_connection->hasUnreadBytes()) {
        m_connection->close();
        m_front.removeConnection(this);
    }
}

} // namespace ibislock::front
