#include "call.h"

#include "caller_connection.h"
#include "ibislock/base/log.h"
#include "ibislock/serving/retry_advice.h"

namespace ibislock::front
{

namespace
{

using serving::RequestAction;
using serving::RequestEvent;
using serving::RequestKind;

/// Longest time of a caller that names none, and of a route without a timeout; above all objectives seen.
constexpr Millis DefaultDeadline{10000};

/// How long a connection to a target may take; a round trip takes a few ms, a lost packet a second.
constexpr Millis ConnectTime{400};

/// Connections that may fail before a call is refused; each has cost `ConnectTime` at most.
constexpr int MaxConnectFailures = 3;

/// Less time than this is not handed to a target: it could not begin.
constexpr Millis LeastTime{30};

/// By how much a call outlives its time, so that a target's own answer to the limit can arrive.
constexpr Millis LimitSlack{100};

/// A caller that is this many bytes behind is not sent more until it has taken them.
constexpr std::size_t CallerBacklogBytes = 256 * 1024;

/// The part of its objective for which a call may wait for a free slot; waiting longer makes most answers late.
constexpr int WaitPartOfGoal = 8;

/// By how much a token takes longer than a step: prompts of other requests are read in between.
constexpr double SharedStepFactor = 1.5;

/// How long a plain target may be silent about a request that may run again, in objectives of its route. Answers that
/// take longer are late anyway.
constexpr int PlainStallFactor = 3;
constexpr Millis LeastStall{250};

/// How long an engine may be silent about a request when its VM has stopped to report.
constexpr Millis EngineStall{500};

/// How long a request that was broken off may wait for a slot elsewhere; a longer pause makes its stream late.
constexpr Millis ResumeWait{300};

/// The status with which we promise that a request did not run and will not.
constexpr int NotRunStatus = 503;

std::string_view statusText(int status)
{
    return status == 0 ? "none" : http::reasonOf(status);
}

int statusOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::BadRequest:
        return 400;
    case CallOutcome::NoKey:
        return 401;
    case CallOutcome::NoRoute:
        return 404;
    case CallOutcome::Unknown:
        return 502;
    case CallOutcome::TimedOut:
        return 504;
    default:
        return NotRunStatus;
    }
}

serving::RefusalCause causeOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Full:
    case CallOutcome::NotExecuted:
        return serving::RefusalCause::Full;
    case CallOutcome::Stopping:
        return serving::RefusalCause::Elsewhere;
    default:
        return serving::RefusalCause::NoneUsable;
    }
}

} // namespace

Call::Call(Front &owner, std::weak_ptr<CallerConnection> connection, http::RequestHead requestHead,
           std::string requestBody)
    : front(owner)
    , head(std::move(requestHead))
    , body(std::move(requestBody))
    , receivedAt(steadyMillis())
    , m_connection(std::move(connection))
{
}

std::optional<CallOutcome> Call::resolve()
{
    const auto decoded = platform::decodeCallerRequest(head);
    if (!decoded) {
        return CallOutcome::BadRequest;
    }
    request = *decoded;
    if (!front.operators.state) {
        return CallOutcome::NoState;
    }
    const serving::DesiredState &state = *front.operators.state;
    const serving::Route *found = findRoute(state, request.host, head.target);
    if (found == nullptr) {
        return front.operatorsAway ? CallOutcome::NoState : CallOutcome::NoRoute;
    }
    route = *found;
    priority = route.priority;
    if (!route.anonymous && !state.workspaces.empty()) {
        const serving::Workspace *holder = findWorkspace(state, request.key);
        if (holder == nullptr) {
            return front.operatorsAway && !request.key.empty() ? CallOutcome::NoState : CallOutcome::NoKey;
        }
        workspace = holder->name;
        priority = holder->priority * 10 + route.priority;
    }
    service = serving::drawService(route, std::uniform_real_distribution<double>(0, 1)(front.random));
    const auto it = state.services.find(service);
    engine = it != state.services.end() && it->second.engine.has_value();
    if (engine) {
        engineSpec = *it->second.engine;
    }
    const Millis limit = route.timeout > Millis{0} ? route.timeout : DefaultDeadline;
    deadlineAt = receivedAt + std::min(limit, request.deadline.value_or(DefaultDeadline));
    waitUntil = receivedAt + route.goal / WaitPartOfGoal;
    return std::nullopt;
}

bool Call::isLate(Millis now) const
{
    const Millis full = route.timeout > Millis{0} ? route.timeout : DefaultDeadline;
    const Millis spent = full - std::min(full, request.deadline.value_or(full)) + (now - receivedAt);
    return spent >= route.goal;
}

double Call::promptMs(int tokens) const
{
    return engineSpec.promptTokensPerMs > 0 ? tokens / engineSpec.promptTokensPerMs : 0;
}

Millis Call::expectedTime() const
{
    const double prompt = promptMs(request.promptTokens);
    const int tokens = request.expectedOutputTokens > 0 ? request.expectedOutputTokens : request.maxOutputTokens;
    return Millis{static_cast<std::int64_t>(prompt + tokens * engineSpec.stepMs * SharedStepFactor)};
}

platform::TargetRequestOptions Call::targetOptions(const serving::Target &target, Millis now) const
{
    platform::TargetRequestOptions out{
        .deadline = deadlineAt - now,
        .targetId = target.entry.id,
        .workspace = workspace,
        .weightsVersion = engine && front.minVersionOf(request.model, now) > 0 ? knownVersion(target, now) : 0,
    };
    if (hasBegun()) {
        out.lastEventId = m_events.lastId;
    }
    return out;
}

void Call::send(serving::Target &target)
{
    const Millis now = steadyMillis();
    if (deadlineAt - now < LeastTime) {
        refuse(CallOutcome::OutOfTime);
        return;
    }
    const auto endpoint = platform::endpointFrom(target.entry.address);
    if (!endpoint) {
        refuse(CallOutcome::NoTarget); // Listings without an address are not taken over, so this is not reached.
        return;
    }
    m_lastTargetId = target.entry.id;
    m_loadAge = target.load ? now - target.load->at : Millis{-1};
    m_occupancyPercent = static_cast<int>(100 * requestsAt(target, engine, now) / std::max(target.entry.slots, 1));
    if (m_sends == 0) {
        m_firstSentAt = now;
        observe(front.counters.waited, now - receivedAt);
    }
    advance(m_life, RequestEvent::Send);
    ++m_sends;
    ++front.counters.sends;
    front.counters.repeatedSends += m_sends > 1 ? 1 : 0;
    tried.insert(target.entry.id);
    m_targetId = target.entry.id;
    m_sentAt = now;
    noteSend(target, now, promptMs(request.promptTokens));
    m_answer = Answer::None;
    m_answerBody.clear();
    m_events.partial.clear();
    const http::RequestHead forwarded = platform::targetRequest(head, targetOptions(target, now));
    // What must not run twice goes over a new connection: a kept one may be closed by the target as it is sent.
    const bool fresh = route.kind == RequestKind::NonIdempotent || m_sends > 1;
    m_exchange = front.client.send(
        endpoint->ip, endpoint->port, writeRequest(forwarded, body),
        {.connectTime = std::min(ConnectTime, deadlineAt - now), .fresh = fresh},
        {
            .head = [self = shared_from_this()](const http::ResponseHead &answer) { return self->takeHead(answer); },
            .body = [self = shared_from_this()](const std::string &bytes) { self->takeBody(bytes); },
            .end = [self = shared_from_this()](const net::ExchangeResult &result) { self->takeEnd(result); },
        });
}

net::HeadVerdict Call::takeHead(const http::ResponseHead &answer)
{
    const platform::TargetAnswer said = platform::decodeTargetAnswer(answer);
    if (!said.attemptId.empty() && said.attemptId != request.attemptId) {
        logInfo(Part::Front, "An answer to another request was skipped.",
                {{"id", request.attemptId}, {"target", m_targetId}, {"answers", said.attemptId}});
        return net::HeadVerdict::Skip;
    }
    m_answerHead = answer;
    const bool success = answer.status / 100 == 2;
    const bool own = said.signedByTarget && !said.encoded && !(success && said.attemptId.empty());
    if (said.notExecuted && !success) {
        m_answer = Answer::NotRun;
    } else if (!own || (hasBegun() && !success)) {
        // Handled as a failure at its end: not the target's own bytes, or nothing that a begun stream can go on with.
        m_answer = Answer::None;
    } else {
        m_answer = success && route.kind == RequestKind::Stream ? Answer::Relayed : Answer::Buffered;
    }
    return net::HeadVerdict::Take;
}

void Call::takeBody(const std::string &bytes)
{
    if (m_answer == Answer::Relayed) {
        relay(addBytes(m_events, bytes));
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
        advance(m_life, RequestEvent::FirstEvent);
        m_firstEventAt = now;
        observe(front.counters.firstEvent, now - receivedAt);
        http::ResponseHead forwarded = platform::callerAnswer(m_answerHead);
        forwarded.keepAlive = connection->keepsAlive();
        out = writeChunkedHead(forwarded);
    }
    out += http::writeChunk(events);
    connection->write(out);
    if (connection->queued() > CallerBacklogBytes && m_exchange) {
        m_exchange->pauseReading(true);
    }
}

void Call::callerDrained()
{
    if (m_exchange) {
        m_exchange->pauseReading(false);
    }
}

void Call::releaseTarget(bool good)
{
    m_exchange.reset();
    const auto it = front.table.targets.find(m_targetId);
    if (it != front.table.targets.end()) {
        it->second.inFlight = std::max(0, it->second.inFlight - 1);
        noteOutcome(it->second, good, steadyMillis());
    }
    m_targetId.clear();
}

void Call::takeEnd(const net::ExchangeResult &result)
{
    if (m_done) {
        return;
    }
    const auto self = shared_from_this();
    const bool complete = result.end == net::ExchangeEnd::Complete;
    const bool served = complete && m_answer != Answer::None && m_answerHead.status / 100 != 5;
    const std::string target = m_targetId;
    releaseTarget(served || (complete && m_answer == Answer::NotRun));
    if (!served) {
        logInfo(Part::Front, "A send did not end in an answer.",
                {{"id", request.attemptId},
                 {"target", target},
                 {"end", std::string(nameOf(net::ExchangeEndNames, result.end))},
                 {"status", std::to_string(m_answer == Answer::None ? 0 : m_answerHead.status)},
                 {"reused", result.reused ? "1" : "0"},
                 {"after_ms", std::to_string((steadyMillis() - m_sentAt).count())}});
    }
    if (complete && m_answer == Answer::Buffered) {
        endBuffered();
    } else if (complete && m_answer == Answer::Relayed) {
        endRelayed();
    } else {
        endFailed(result);
    }
    front.pumpWaiting();
}

/// Draws on the budget for one more send, if the route, the kind and the time allow one.
bool Call::mayRepeat()
{
    const bool allowed = maySend(m_life, route.kind, route.resumable) && m_sends - m_connectFailures < route.maxTargets;
    const bool knowsWhereToGoOn = !hasBegun() || m_events.lastId >= 0;
    if (!allowed || !knowsWhereToGoOn || deadlineAt - steadyMillis() < LeastTime) {
        return false;
    }
    if (!drawRetry(front.retries, service, steadyMillis())) {
        ++front.counters.retriesWithoutBudget;
        return false;
    }
    return true;
}

void Call::endBuffered()
{
    if (m_answerHead.status / 100 == 5 && route.kind == RequestKind::Idempotent) {
        const serving::RequestLife before = m_life;
        advance(m_life, RequestEvent::Lost); // It failed; another target may do better.
        if (mayRepeat()) {
            front.dispatch(shared_from_this());
            return;
        }
        m_life = before;
    }
    advance(m_life, RequestEvent::Whole);
    http::ResponseHead forwarded = platform::callerAnswer(m_answerHead);
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
        http::ResponseHead forwarded = platform::callerAnswer(m_answerHead);
        forwarded.keepAlive = connection && connection->keepsAlive();
        out = writeChunkedHead(forwarded);
    }
    advance(m_life, RequestEvent::Whole);
    answer(out.append(http::LastChunk), !(connection && connection->keepsAlive()));
    finish(CallOutcome::Answered, m_answerHead.status);
}

void Call::endFailed(const net::ExchangeResult &result)
{
    const bool notConnected = result.end == net::ExchangeEnd::NotConnected;
    const bool notRun = result.end == net::ExchangeEnd::Complete && m_answer == Answer::NotRun;
    advance(m_life, notConnected || notRun ? RequestEvent::Refused : RequestEvent::Lost);
    m_connectFailures += notConnected ? 1 : 0;
    const bool again =
        notConnected ? m_connectFailures < MaxConnectFailures && deadlineAt - steadyMillis() >= LeastTime : mayRepeat();
    if (!again) {
        refuse(notConnected ? CallOutcome::NoTarget : (notRun ? CallOutcome::NotExecuted : CallOutcome::Unknown));
        return;
    }
    if (!notConnected && !notRun) {
        waitUntil = std::max(waitUntil, steadyMillis() + ResumeWait);
    }
    front.dispatch(shared_from_this());
}

void Call::answer(const std::string &bytes, bool close)
{
    if (const auto connection = m_connection.lock()) {
        connection->write(bytes);
        connection->answered(close);
    }
}

void Call::refuse(CallOutcome outcome)
{
    if (m_done) {
        return;
    }
    const auto connection = m_connection.lock();
    const RequestAction action = advance(m_life, RequestEvent::GiveUp);
    if (action == RequestAction::CutOff) {
        if (connection) {
            connection->abort(); // Without its last chunk, the answer can't look complete.
        }
        finish(CallOutcome::CutOff, m_answerHead.status);
        return;
    }
    if (action == RequestAction::AnswerUnknown && statusOf(outcome) == NotRunStatus) {
        outcome = outcome == CallOutcome::OutOfTime ? CallOutcome::TimedOut : CallOutcome::Unknown;
    }
    const int status = statusOf(outcome);
    const Millis retryAfter = status == NotRunStatus ? retryAdvice(causeOf(outcome), front.random) : Millis{0};
    http::ResponseHead own = platform::ownAnswer(status, request.attemptId, retryAfter);
    own.keepAlive = connection && connection->keepsAlive();
    answer(writeResponse(own, ""), !own.keepAlive);
    finish(outcome, status);
}

void Call::abandon()
{
    if (m_done) {
        return;
    }
    if (m_exchange) {
        m_exchange->cancel();
        releaseTarget(true);
    }
    finish(CallOutcome::CallerLeft, 0);
}

/// Tells whether the target seems to be frozen or cut off, and the request may go on elsewhere.
bool Call::isStalled(Millis now) const
{
    const bool mayRunTwice =
        route.kind == RequestKind::Idempotent || (route.kind == RequestKind::Stream && route.resumable);
    if (!m_exchange || !mayRunTwice || m_sends - m_connectFailures >= route.maxTargets) {
        return false;
    }
    const Millis silence = now - std::max(m_sentAt, m_lastEventAt);
    if (!engine) {
        return silence > std::max(route.goal * PlainStallFactor, LeastStall);
    }
    const auto it = front.table.targets.find(m_targetId);
    const bool reports = it != front.table.targets.end() && hasFreshLoad(it->second, now);
    return !reports && silence > EngineStall;
}

/// Goes on at another target. Without one, the silent target is still the best that the request has.
/// @return whether it does.
bool Call::leaveTarget(Millis now)
{
    if (front.placementOf(*this, now).target == nullptr) {
        return false;
    }
    const serving::RequestLife before = m_life;
    advance(m_life, RequestEvent::Lost);
    if (!mayRepeat()) {
        m_life = before;
        return false;
    }
    logInfo(Part::Front, "A target is silent; the request goes on at another.",
            {{"id", request.attemptId},
             {"target", m_targetId},
             {"silent_ms", std::to_string((now - std::max(m_sentAt, m_lastEventAt)).count())}});
    m_exchange->cancel();
    releaseTarget(false);
    front.dispatch(shared_from_this());
    return true;
}

void Call::checkTime(Millis now)
{
    if (!m_done && isStalled(now) && leaveTarget(now)) {
        return;
    }
    if (m_done || deadlineAt == Millis{0} || now < deadlineAt + (m_exchange ? LimitSlack : Millis{0})) {
        return;
    }
    if (m_exchange) {
        m_exchange->cancel();
        releaseTarget(true);
    }
    refuse(CallOutcome::OutOfTime);
}

void Call::finish(CallOutcome outcome, int status)
{
    if (m_done) {
        return;
    }
    m_done = true;
    ++front.counters.outcomes[static_cast<std::size_t>(outcome)];
    const Millis whole = steadyMillis() - receivedAt;
    observe(front.counters.whole, whole);
    logInfo(Part::Front, outcome == CallOutcome::Answered ? "A request was answered." : "A request was not served.",
            {{"id", request.attemptId},
             {"outcome", std::string(nameOf(CallOutcomeNames, outcome))},
             {"status", std::string(statusText(status))},
             {"route", route.name},
             {"service", service},
             {"state", front.operators.state ? std::to_string(front.operators.state->version) : "none"},
             {"sends", std::to_string(m_sends)},
             {"target", m_lastTargetId},
             {"occupancy", std::to_string(m_occupancyPercent)},
             {"load_age_ms", std::to_string(m_loadAge.count())},
             {"waited_ms", std::to_string(m_sends > 0 ? (m_firstSentAt - receivedAt).count() : -1)},
             {"first_ms", std::to_string(m_firstEventAt > Millis{0} ? (m_firstEventAt - receivedAt).count() : -1)},
             {"pause_ms", std::to_string(m_longestPause.count())},
             {"goal_ms", std::to_string(route.goal.count())},
             {"took_ms", std::to_string(whole.count())}});
}

} // namespace ibislock::front
