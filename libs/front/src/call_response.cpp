// How a call handles its target's response and forwards it to the caller.

#include "call.h"
#include "caller_connection.h"
#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::front
{

using serving::RequestEvent;
using serving::RequestKind;

namespace
{

/// Reading from the target is paused while more bytes than this are queued for the caller.
constexpr std::size_t CallerBacklogBytes = 64 * 1024;

/// A body of at least this size is written to the caller without a copy behind its head; a smaller one goes with it.
constexpr std::size_t OwnedBodyBytes = 64 * 1024;

/// Maximum size of one event of a stream; an event usually holds a few tokens.
constexpr std::size_t LargestEvent = 256 * 1024;

/// Returns the sentence with which a change of a target's limit is logged.
std::string_view sentenceOf(serving::LimitChange change)
{
    switch (change) {
    case serving::LimitChange::Named:
        return "A target named a limit of requests.";
    case serving::LimitChange::Changed:
        return "A target changed its limit of requests.";
    default:
        return "A target's limit of requests ended.";
    }
}

/// Returns what marks the end of a response's body.
std::string_view framingOf(const http::ResponseHead &head)
{
    return head.closeDelimited ? "close" : (head.chunked ? "chunked" : "length");
}

/// Returns the length that a response announces; 0 if it doesn't.
std::size_t announcedBytes(const http::ResponseHead &head)
{
    return http::parseUnsigned(head.headers.find("Content-Length").value_or("")).value_or(0);
}

} // namespace

void Call::applySignals(const CallAttempt &attempt, const platform::TargetResponse &said)
{
    // The response to a misdirected request comes from another target than the listed one.
    const bool says = said.draining || said.backoff || said.backoffInvalid;
    const Millis now = steadyMillis();
    serving::TargetSignals *notice = says && !said.misdirected
        ? signalsOf(front.table, attempt.sent.targetId, attempt.sent.targetStartedAt, now)
        : nullptr;
    if (notice == nullptr) {
        return;
    }
    if (said.draining && !notice->draining) {
        recordDraining(*notice);
        logInfo(LogComponent::Front, "A target reported that it is draining.",
                {{"id", request.attemptId}, {"target", attempt.sent.targetId}});
    }
    if (said.backoff) {
        recordBackoff(*notice, *said.backoff, now);
        logInfo(LogComponent::Front, "A target requested a backoff.",
                {{"id", request.attemptId},
                 {"target", attempt.sent.targetId},
                 {"asked_ms", std::to_string(said.backoff->count())},
                 {"granted_ms", std::to_string((notice->backoffUntil - now).count())}});
    }
    if (said.backoffInvalid) {
        logInfo(LogComponent::Front, "Ignored an invalid Retry-After value from a target.",
                {{"id", request.attemptId}, {"target", attempt.sent.targetId}});
    }
}

void Call::applyLimit(const CallAttempt &attempt, const platform::TargetResponse &said)
{
    if (said.misdirected) {
        return;
    }
    if (said.requestLimitInvalid) {
        logInfo(LogComponent::Front, "Ignored an invalid limit of a target.",
                {{"id", request.attemptId}, {"target", attempt.sent.targetId}});
        return;
    }
    const Millis now = steadyMillis();
    // Only the target's own response to this request shows that it has no limit any more; a refusal may not name one.
    const bool own = said.attemptId == request.attemptId && said.signedByTarget && !said.notExecuted;
    const auto it = front.table.targets.find(attempt.sent.targetId);
    const bool known = it != front.table.targets.end() && it->second.signals.limit;
    if (!said.requestLimit && !(own && known)) {
        return;
    }
    serving::TargetSignals *signals = signalsOf(front.table, attempt.sent.targetId, attempt.sent.targetStartedAt, now);
    if (signals == nullptr) {
        return;
    }
    const int entryVms = front.retries.entryVms;
    const serving::LimitChange change =
        recordLimit(*signals, {.perSecond = said.requestLimit, .sentAt = attempt.sent.sentAt, .entryVms = entryVms},
                    front.random, now);
    if (change == serving::LimitChange::None) {
        return;
    }
    logInfo(LogComponent::Front, sentenceOf(change),
            {{"id", request.attemptId},
             {"target", attempt.sent.targetId},
             {"incarnation", std::to_string(attempt.sent.targetStartedAt)},
             {"per_second", said.requestLimit ? std::to_string(*said.requestLimit) : "none"},
             {"entry_vms", std::to_string(entryVms)},
             {"from", "response"},
             {"interval_ms", std::to_string(signals->limit ? signals->limit->interval.count() : 0)}});
}

net::HeadDecision Call::onHead(CallAttempt &attempt, const http::ResponseHead &answer)
{
    attempt.heardAt = steadyMillis();
    recordSignOfLife(front.table, attempt.sent, attempt.heardAt);
    const platform::TargetResponse said = platform::decodeTargetResponse(answer);
    applySignals(attempt, said);
    applyLimit(attempt, said);
    if (!said.attemptId.empty() && said.attemptId != request.attemptId) {
        logInfo(LogComponent::Front, "Skipped a response to another request.",
                {{"id", request.attemptId}, {"target", attempt.sent.targetId}, {"answers", said.attemptId}});
        return net::HeadDecision::Skip;
    }
    attempt.responseHead = answer;
    attempt.framing = framingOf(answer);
    const bool success = answer.status / 100 == 2;
    // Targets send the id of the request with their response. Without it, this may be a late response to another
    // request.
    const bool named = said.attemptId == request.attemptId;
    if (!named) {
        logInfo(
            LogComponent::Front, "Rejected a response without a request id.",
            {{"id", request.attemptId}, {"target", attempt.sent.targetId}, {"status", std::to_string(answer.status)}});
    }
    const bool own = named && said.signedByTarget && !said.contentEncoded;
    if (named && said.notExecuted && !success) {
        attempt.handling = ResponseHandling::NotRun;
    } else if (!own || (responseStarted() && !success)) {
        // The attempt counts as failed at its end: these aren't the target's own bytes, or an error can't be forwarded
        // within a stream that has started.
        attempt.handling = ResponseHandling::None;
    } else {
        attempt.handling =
            success && route.kind == RequestKind::Stream ? ResponseHandling::Relayed : ResponseHandling::Buffered;
    }
    // Only the events of a stream are forwarded as they arrive; whatever else a target sends is buffered or ignored.
    if (attempt.exchange) {
        attempt.exchange->limitBody(attempt.handling == ResponseHandling::Relayed ? 0 : MaxBufferedResponse);
    }
    if (attempt.handling == ResponseHandling::Buffered) {
        // With room for a part of each, responses would wait for each other until their deadlines.
        attempt.announcedBytes = std::min<std::size_t>(announcedBytes(answer), MaxBufferedResponse);
        const auto connection = m_connection.lock();
        if (attempt.exchange && connection && !connection->updateMemory()) {
            pauseForRoom();
        }
    }
    return net::HeadDecision::Accept;
}

void Call::onBody(const AttemptPointer &attempt, const std::string &bytes)
{
    attempt->heardAt = steadyMillis();
    recordSignOfLife(front.table, attempt->sent, attempt->heardAt);
    if (attempt->handling == ResponseHandling::Relayed) {
        EventSplitter &splitter = attempt->eventSplitter;
        const bool hadEvents = splitter.hasEvents;
        const std::string events = appendBytes(splitter, bytes);
        attempt->sent.responseStarted = splitter.hasEvents;
        if (splitter.hasEvents && !hadEvents) {
            front.recordAnswered(suspects);
        }
        relayEvents(attempt, events);
        if (splitter.incompleteEvent.size() > LargestEvent && attempt->exchange) {
            logInfo(LogComponent::Front, "A stream event exceeds the size limit; cancelling the attempt.",
                    {{"id", request.attemptId}, {"target", attempt->sent.targetId}});
            attempt->exchange->cancel();
            onEnd(attempt, {.outcome = net::ExchangeOutcome::Broken, .connected = true, .responseStarted = true});
        }
    } else if (attempt->handling == ResponseHandling::Buffered) {
        if (attempt->responseBody.empty() && !m_waitsForRoom) {
            attempt->responseBody.reserve(attempt->announcedBytes);
        }
        attempt->responseBody += bytes;
        attempt->sent.responseStarted = !attempt->responseBody.empty();
        const auto connection = m_connection.lock();
        if (connection && !connection->updateMemory()) {
            pauseForRoom();
        }
    }
}

std::size_t Call::heldBytes() const
{
    std::size_t out = body.capacity() * (1 + std::max<std::size_t>(m_attemptsInProgress.size(), 1));
    for (const AttemptPointer &attempt : m_attemptsInProgress) {
        out += std::max(attempt->responseBody.capacity(), attempt->announcedBytes);
        out += attempt->eventSplitter.incompleteEvent.capacity();
    }
    return out;
}

void Call::pauseForRoom()
{
    if (!m_waitsForRoom) {
        countGiveWay(front.memory, serving::GiveWayReason::PausedResponse);
    }
    m_waitsForRoom = true;
    pauseReading();
}

void Call::pauseReading()
{
    m_readingPaused = true;
    for (const AttemptPointer &attempt : m_attemptsInProgress) {
        attempt->exchange->setReadingPaused(true);
        attempt->wasPaused = true;
    }
}

void Call::onRoom()
{
    if (std::exchange(m_waitsForRoom, false)) {
        onCallerDrained();
    }
}

void Call::relayEvents(const AttemptPointer &attempt, const std::string &events)
{
    const auto connection = m_connection.lock();
    if (events.empty() || !connection || m_done) {
        return;
    }
    // A comment doesn't show that the target goes on with the stream.
    if (m_attemptsInProgress.size() > 1 && !hasField(events)) {
        return;
    }
    prefer(attempt);
    std::string out;
    const Millis now = steadyMillis();
    m_longestEventGap = m_lastEventAt > Millis{0} ? std::max(m_longestEventGap, now - m_lastEventAt) : Millis{0};
    m_lastEventAt = now;
    if (!responseStarted()) {
        advance(m_lifecycle, RequestEvent::ResponseStarted);
        m_firstEventAt = now;
        observe(front.counters.timeToFirstByte, now - receivedAt);
        http::ResponseHead forwarded = platform::makeCallerResponse(attempt->responseHead);
        forwarded.keepAlive = connection->keepsAlive();
        out = writeChunkedHead(forwarded);
    }
    out += http::writeChunk(events);
    connection->write(out);
    const bool roomLeft = connection->updateMemory() || connection->queuedBytes() == 0;
    if ((connection->queuedBytes() > CallerBacklogBytes || !roomLeft) && attempt->exchange) {
        pauseReading(); // No other attempt is in progress.
    }
}

bool Call::isStreamTruncated(const CallAttempt &attempt)
{
    // A connection that ends before the first event shows only that the target is gone.
    const bool withoutEvidence = attempt.responseHead.closeDelimited && !attempt.eventSplitter.hasEvents;
    return attempt.handling == ResponseHandling::Relayed && (endsInsideEvent(attempt.eventSplitter) || withoutEvidence);
}

void Call::onCallerDrained()
{
    const bool paused = std::exchange(m_readingPaused, false);
    const Millis now = steadyMillis();
    for (const AttemptPointer &attempt : m_attemptsInProgress) {
        attempt->heardAt = paused ? now : attempt->heardAt; // Its silence was that of this VM.
        attempt->exchange->setReadingPaused(false);
    }
}

void Call::respondBuffered(const http::ResponseHead &forwarded, std::string bytes)
{
    const auto connection = m_connection.lock();
    if (!connection || bytes.size() < OwnedBodyBytes) {
        respond(writeResponse(forwarded, bytes), !forwarded.keepAlive);
        return;
    }
    connection->write(writeResponseHead(forwarded, bytes.size()));
    connection->writeOwned(std::move(bytes));
    connection->onResponseWritten(!forwarded.keepAlive);
}

bool Call::mayBeAnsweredByAnother(const CallAttempt &attempt) const
{
    return attempt.responseHead.status / 100 == 5 && !m_attemptsInProgress.empty();
}

void Call::finishBuffered(const AttemptPointer &attempt)
{
    prefer(attempt);
    const int statusClass = attempt->responseHead.status / 100;
    if (statusClass == 5 && route.kind == RequestKind::Idempotent) {
        const serving::RequestLifecycle before = m_lifecycle;
        advance(m_lifecycle, RequestEvent::OutcomeUnknown); // A server error; another target may succeed.
        if (tryReserveRetry()) {
            front.dispatch(shared_from_this());
            return;
        }
        m_lifecycle = before;
    }
    // A plain target that answers with an error of the caller has run the request; an engine may not have begun it.
    if (statusClass == 2 || (!usesEngine && statusClass < 5)) {
        front.recordAnswered(suspects);
    }
    advance(m_lifecycle, RequestEvent::ResponseComplete);
    http::ResponseHead forwarded = platform::makeCallerResponse(attempt->responseHead);
    const auto connection = m_connection.lock();
    forwarded.keepAlive = connection && connection->keepsAlive();
    respondBuffered(forwarded, std::move(attempt->responseBody));
    observe(front.counters.timeToFirstByte, steadyMillis() - receivedAt);
    finish(CallOutcome::Answered, attempt->responseHead.status);
}

void Call::finishRelayed(const AttemptPointer &attempt)
{
    prefer(attempt);
    relayEvents(attempt, std::exchange(attempt->eventSplitter.incompleteEvent, {}));
    const auto connection = m_connection.lock();
    std::string out;
    if (!responseStarted()) {
        http::ResponseHead forwarded = platform::makeCallerResponse(attempt->responseHead);
        forwarded.keepAlive = connection && connection->keepsAlive();
        out = writeChunkedHead(forwarded);
    }
    advance(m_lifecycle, RequestEvent::ResponseComplete);
    respond(out.append(http::LastChunk), !(connection && connection->keepsAlive()));
    finish(CallOutcome::Answered, attempt->responseHead.status);
}

} // namespace ibislock::front
