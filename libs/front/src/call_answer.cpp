// How a call takes what its target answers, and hands it to the caller.

#include "call.h"
#include "caller_connection.h"
#include "ibislock/base/log.h"

namespace ibislock::front
{

using serving::RequestEvent;
using serving::RequestKind;

namespace
{

/// A caller that is this many bytes behind is not sent more until it has taken them.
constexpr std::size_t CallerBacklogBytes = 256 * 1024;

/// The largest event of a stream that is held until it is whole, in bytes; an event holds a few tokens.
constexpr std::size_t LargestEvent = 256 * 1024;

} // namespace

void Call::takeNotice(const platform::TargetResponse &said)
{
    // A misdirected request was answered by another target than the one that is known under the id.
    const bool says = said.draining || said.backoff || said.backoffInvalid;
    const Millis now = steadyMillis();
    serving::TargetSignals *notice =
        says && !said.misdirected ? signalsOf(front.table, m_targetId, m_targetStartedAt, now) : nullptr;
    if (notice == nullptr) {
        return;
    }
    if (said.draining && !notice->draining) {
        recordDraining(*notice);
        logInfo(LogComponent::Front, "A target says that it is leaving.",
                {{"id", request.attemptId}, {"target", m_targetId}});
    }
    if (said.backoff) {
        recordBackoff(*notice, *said.backoff, now);
        logInfo(LogComponent::Front, "A target asked for a pause.",
                {{"id", request.attemptId},
                 {"target", m_targetId},
                 {"asked_ms", std::to_string(said.backoff->count())},
                 {"granted_ms", std::to_string((notice->backoffUntil - now).count())}});
    }
    if (said.backoffInvalid) {
        logInfo(LogComponent::Front, "A target asked for a pause that can't be read; it is ignored.",
                {{"id", request.attemptId}, {"target", m_targetId}});
    }
}

net::HeadDecision Call::takeHead(const http::ResponseHead &answer)
{
    const platform::TargetResponse said = platform::decodeTargetResponse(answer);
    takeNotice(said);
    if (!said.attemptId.empty() && said.attemptId != request.attemptId) {
        logInfo(LogComponent::Front, "An answer to another request was skipped.",
                {{"id", request.attemptId}, {"target", m_targetId}, {"answers", said.attemptId}});
        return net::HeadDecision::Skip;
    }
    m_answerHead = answer;
    const bool success = answer.status / 100 == 2;
    // Targets name the request that they answer: without its id, it may be a late answer to another one.
    const bool named = said.attemptId == request.attemptId;
    if (!named) {
        logInfo(LogComponent::Front, "An answer that names no request was not taken.",
                {{"id", request.attemptId}, {"target", m_targetId}, {"status", std::to_string(answer.status)}});
    }
    const bool own = named && said.signedByTarget && !said.contentEncoded;
    if (named && said.notExecuted && !success) {
        m_answer = Answer::NotRun;
    } else if (!own || (hasBegun() && !success)) {
        // Handled as a failure at its end: not the target's own bytes, or nothing that a begun stream can go on with.
        m_answer = Answer::None;
    } else {
        m_answer = success && route.kind == RequestKind::Stream ? Answer::Relayed : Answer::Buffered;
    }
    return net::HeadDecision::Accept;
}

void Call::takeBody(const std::string &bytes)
{
    if (m_answer == Answer::Relayed) {
        relay(addBytes(m_events, bytes));
        if (m_events.partial.size() > LargestEvent && m_exchange) {
            logInfo(LogComponent::Front, "An event of a stream has no end; the target is left.",
                    {{"id", request.attemptId}, {"target", m_targetId}});
            m_exchange->cancel();
            takeEnd({.outcome = net::ExchangeOutcome::Broken, .connected = true, .responseStarted = true});
        }
    } else if (m_answer == Answer::Buffered) {
        m_answerBody += bytes;
    }
}

void Call::relay(const std::string &events)
{
    const auto connection = m_connection.lock();
    if (events.empty() || !connection || m_done) {
        return;
    }
    std::string out;
    const Millis now = steadyMillis();
    m_longestPause = m_lastEventAt > Millis{0} ? std::max(m_longestPause, now - m_lastEventAt) : Millis{0};
    m_lastEventAt = now;
    if (!hasBegun()) {
        advance(m_life, RequestEvent::ResponseStarted);
        m_firstEventAt = now;
        observe(front.counters.firstEvent, now - receivedAt);
        http::ResponseHead forwarded = platform::makeCallerResponse(m_answerHead);
        forwarded.keepAlive = connection->keepsAlive();
        out = writeChunkedHead(forwarded);
    }
    out += http::writeChunk(events);
    connection->write(out);
    if (connection->queued() > CallerBacklogBytes && m_exchange) {
        m_exchange->setReadingPaused(true);
    }
}

void Call::callerDrained()
{
    if (m_exchange) {
        m_exchange->setReadingPaused(false);
    }
}

void Call::endBuffered()
{
    if (m_answerHead.status / 100 == 5 && route.kind == RequestKind::Idempotent) {
        const serving::RequestLifecycle before = m_life;
        advance(m_life, RequestEvent::OutcomeUnknown); // It failed; another target may do better.
        if (mayRepeat()) {
            front.dispatch(shared_from_this());
            return;
        }
        m_life = before;
    }
    advance(m_life, RequestEvent::ResponseComplete);
    http::ResponseHead forwarded = platform::makeCallerResponse(m_answerHead);
    const auto connection = m_connection.lock();
    forwarded.keepAlive = connection && connection->keepsAlive();
    answer(writeResponse(forwarded, m_answerBody), !forwarded.keepAlive);
    observe(front.counters.firstEvent, steadyMillis() - receivedAt);
    finish(CallOutcome::Answered, m_answerHead.status);
}

void Call::endRelayed()
{
    relay(std::exchange(m_events.partial, {}));
    const auto connection = m_connection.lock();
    std::string out;
    if (!hasBegun()) {
        http::ResponseHead forwarded = platform::makeCallerResponse(m_answerHead);
        forwarded.keepAlive = connection && connection->keepsAlive();
        out = writeChunkedHead(forwarded);
    }
    advance(m_life, RequestEvent::ResponseComplete);
    answer(out.append(http::LastChunk), !(connection && connection->keepsAlive()));
    finish(CallOutcome::Answered, m_answerHead.status);
}

} // namespace ibislock::front
