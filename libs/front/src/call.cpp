#include "call.h"

#include "caller_connection.h"
#include "ibislock/base/log.h"
#include "ibislock/serving/request_digest.h"
#include "ibislock/serving/retry_delay.h"

namespace ibislock::front
{

namespace
{

using serving::RequestAction;
using serving::RequestEvent;
using serving::RequestKind;

/// Deadline of a request without one, and timeout of a route without one; far above usual latency objectives.
constexpr Millis DefaultDeadline{10000};

/// Timeout for connecting to a target. A round trip takes a few ms; the retransmission of a lost packet takes a second.
constexpr Millis ConnectTime{400};

/// Failed connections after which a call is refused; each takes `ConnectTime` at most.
constexpr int MaxConnectFailures = 3;

/// Minimum time to the deadline for an attempt; with less, a target couldn't start.
constexpr Millis LeastTime{30};

/// Ratio of the time per token to the time of an engine step, as prompts of other requests are processed in between.
constexpr double SharedStepFactor = 1.5;

/// How long an interrupted request may wait for a slot at another target; a longer gap makes its stream late.
constexpr Millis ResumeWait{300};

/// The status which promises the caller that the request was not executed and won't be.
constexpr int NotRunStatus = 503;

/// Returns the ids of the parts of a prompt that other requests may share, as logged.
std::string partsText(const std::vector<std::uint64_t> &parts)
{
    std::string out;
    for (const std::uint64_t part : parts) {
        out.append(out.empty() ? "" : ",").append(hexNumber(part));
    }
    return out;
}

std::string_view statusText(int status)
{
    return status == 0 ? "none" : http::reasonPhrase(status);
}

int statusOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::BadRequest:
        return 400;
    case CallOutcome::UnknownKey:
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
    case CallOutcome::TargetsBackingOff:
    case CallOutcome::NotExecuted:
        return serving::RefusalCause::Full;
    case CallOutcome::Stopping:
        return serving::RefusalCause::Redirect;
    default:
        return serving::RefusalCause::NoUsableTarget;
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
        return CallOutcome::NoDesiredState;
    }
    const serving::DesiredState &state = *front.operators.state;
    const serving::Route *found = findRoute(state, request.host, head.target);
    if (found == nullptr) {
        return front.isStateCurrent() ? CallOutcome::NoRoute : CallOutcome::StateNotCurrent;
    }
    route = *found;
    priority = route.priority;
    if (!route.anonymous && !state.workspaces.empty()) {
        const serving::Workspace *holder = findWorkspace(state, request.apiKey);
        if (holder == nullptr) {
            return front.isStateCurrent() ? CallOutcome::UnknownKey : CallOutcome::StateNotCurrent;
        }
        workspace = holder->name;
        priority = holder->priority * 10 + route.priority;
    }
    digest = serving::requestDigest({.method = head.method,
                                     .host = request.host,
                                     .target = head.target,
                                     .caller = workspace.empty() ? request.apiKey : workspace,
                                     .body = body});
    service = serving::sampleService(route, std::uniform_real_distribution<double>(0, 1)(front.random));
    const auto it = state.services.find(service);
    usesEngine = it != state.services.end() && it->second.engine.has_value();
    suspects = serving::suspectsOf(usesEngine ? request.sharedParts : std::vector<std::uint64_t>{}, digest);
    if (usesEngine) {
        engineSpec = *it->second.engine;
    }
    const Millis limit = route.timeout > Millis{0} ? route.timeout : DefaultDeadline;
    deadlineAt = receivedAt + std::min(limit, request.deadline.value_or(DefaultDeadline));
    return std::nullopt;
}

bool Call::isLate(Millis now) const
{
    const Millis full = route.timeout > Millis{0} ? route.timeout : DefaultDeadline;
    const Millis spent = full - std::min(full, request.deadline.value_or(full)) + (now - receivedAt);
    return spent >= route.latencyObjective;
}

serving::AdmissionRequest Call::admissionRequest(Millis now) const
{
    return {.receivedAt = receivedAt,
            .latencyObjective = route.latencyObjective,
            .resumeWaitUntil = m_resumeWaitUntil,
            .late = isLate(now),
            .responseStarted = responseStarted(),
            .now = now};
}

double Call::promptMs(int tokens) const
{
    return engineSpec.promptTokensPerMs > 0 ? tokens / engineSpec.promptTokensPerMs : 0;
}

Millis Call::expectedDuration() const
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
        .weightsVersion =
            usesEngine && front.minVersionOf(request.model, now, MaxQueueTime) > 0 ? knownVersion(target, now) : 0,
    };
    if (responseStarted()) {
        out.lastEventId = m_eventSplitter.lastId;
    }
    return out;
}

void Call::send(serving::Target &target)
{
    const Millis now = steadyMillis();
    if (deadlineAt - now < LeastTime) {
        refuse(CallOutcome::ExpiredBeforeSend);
        return;
    }
    const auto endpoint = platform::parseEndpoint(target.entry.address);
    if (!endpoint) {
        refuse(CallOutcome::NoTarget); // Not reached: listings without a valid address are ignored.
        return;
    }
    m_listingsUsed = front.recordListingsUse(target, now);
    m_loadAge = target.load ? now - target.load->receivedAt : Millis{-1};
    m_occupancyPercent =
        static_cast<int>(100 * estimatedRequests(target, usesEngine, now) / std::max(target.entry.slots, 1));
    if (m_attempts == 0) {
        m_firstSentAt = now;
        observe(front.counters.waitTime, now - receivedAt);
    }
    if (m_attempts > 0) {
        logInfo(LogComponent::Front, "Retrying a request.",
                {{"id", request.attemptId},
                 {"kind", std::string(nameOf(serving::RequestKindNames, route.kind))},
                 {"known", m_lifecycle.state},
                 {"sends", std::to_string(m_attempts)},
                 {"target", target.entry.id},
                 {"weights", std::to_string(usesEngine ? knownVersion(target, now) : 0)},
                 {"begun", m_attempt.responseStarted ? "1" : "0"},
                 {"listings_age_ms", std::to_string(m_listingsUsed.age.count())},
                 {"listings_from", m_listingsUsed.source},
                 {"unlisted_ms", std::to_string(m_listingsUsed.unlistedFor.count())},
                 {"since_first_ms", std::to_string((now - m_firstSentAt).count())}});
    }
    advance(m_lifecycle, RequestEvent::Send);
    ++m_attempts;
    ++front.counters.attempts;
    front.counters.retries += m_attempts > 1 ? 1 : 0;
    triedTargets.insert(target.entry.id);
    m_attempt = serving::startAttempt(target, usesEngine, now);
    recordAttempt(target, now, promptMs(request.promptTokens));
    m_responseHandling = ResponseHandling::None;
    m_framing = "none";
    m_responseBody.clear();
    startResponse(m_eventSplitter);
    const http::RequestHead forwarded = platform::makeTargetRequest(head, targetOptions(target, now));
    // A request that must not run twice gets a new connection: the target may close a pooled one while the request is
    // being sent, and it would be unknown whether it ran.
    const bool fresh = !serving::mayRunTwice(route.kind, route.resumable) || m_attempts > 1;
    m_exchange = front.client.send(
        endpoint->ip, endpoint->port, writeRequest(forwarded, body),
        {.connectTimeout = std::min(ConnectTime, deadlineAt - now),
         .newConnection = fresh,
         .maxBodyBytes = MaxBufferedResponse},
        {
            .head = [self = shared_from_this()](const http::ResponseHead &answer) { return self->onHead(answer); },
            .body = [self = shared_from_this()](const std::string &bytes) { self->onBody(bytes); },
            .end = [self = shared_from_this()](const net::ExchangeResult &result) { self->onEnd(result); },
        });
}

void Call::releaseTarget(bool good)
{
    m_exchange.reset();
    endAttempt(front.table, m_attempt, good, steadyMillis());
}

void Call::onEnd(net::ExchangeResult result)
{
    if (m_done) {
        return;
    }
    const auto self = shared_from_this();
    if (result.outcome == net::ExchangeOutcome::Complete && isStreamTruncated()) {
        result.outcome = net::ExchangeOutcome::Broken;
    }
    const bool complete = result.outcome == net::ExchangeOutcome::Complete;
    const bool notRun = complete && m_responseHandling == ResponseHandling::NotRun;
    const bool served =
        complete && !notRun && m_responseHandling != ResponseHandling::None && m_responseHead.status / 100 != 5;
    m_incompleteBytes = m_eventSplitter.incompleteEvent.size();
    recordTargetCrash(result);
    releaseTarget(served || notRun);
    if (!served) {
        logInfo(LogComponent::Front, "A request attempt failed.",
                {{"id", request.attemptId},
                 {"request", hexNumber(digest)},
                 {"target", m_attempt.targetId},
                 {"incarnation", std::to_string(m_attempt.targetStartedAt)},
                 {"end", std::string(nameOf(net::ExchangeOutcomeNames, result.outcome))},
                 {"status", std::to_string(m_responseHandling == ResponseHandling::None ? 0 : m_responseHead.status)},
                 {"sends", std::to_string(m_attempts)},
                 {"connected", result.connected ? "1" : "0"},
                 {"reused", result.reused ? "1" : "0"},
                 {"too_large", result.tooLarge ? "1" : "0"},
                 {"framing", std::string(m_framing)},
                 {"incomplete_bytes", std::to_string(m_incompleteBytes)},
                 {"events", m_eventSplitter.hasEvents ? "1" : "0"},
                 {"weights", std::to_string(m_attempt.weightsVersion)},
                 {"begun", m_attempt.responseStarted ? "1" : "0"},
                 {"listings_age_ms", std::to_string(m_listingsUsed.age.count())},
                 {"listings_from", m_listingsUsed.source},
                 {"unlisted_ms", std::to_string(m_listingsUsed.unlistedFor.count())},
                 {"parts", partsText(request.sharedParts)},
                 {"after_ms", std::to_string((steadyMillis() - m_attempt.sentAt).count())}});
    }
    if (complete && m_responseHandling == ResponseHandling::Buffered) {
        finishBuffered();
    } else if (complete && m_responseHandling == ResponseHandling::Relayed) {
        finishRelayed();
    } else {
        handleFailure(result);
    }
    front.dispatchWaiting();
}

void Call::recordTargetCrash(const net::ExchangeResult &result)
{
    const bool crashed = result.connected && result.outcome == net::ExchangeOutcome::Broken;
    const bool begun = m_responseHandling != ResponseHandling::None;
    // A plain target has run the request when it sends the head of a response; a stream may begin before.
    const bool answered =
        m_attempt.responseStarted || (!usesEngine && m_responseHandling == ResponseHandling::Buffered);
    const bool refused = m_responseHandling == ResponseHandling::NotRun;
    if (crashed && !answered && !refused) {
        recordCrash(front.quarantine,
                    {.engine = serving::incarnationOf(m_attempt.targetId, m_attempt.targetStartedAt),
                     .suspects = suspects,
                     .responding = begun},
                    bootMillis());
    }
}

/// Consumes one retry of the budget if route, kind and deadline allow another attempt.
bool Call::tryReserveRetry()
{
    const bool allowed =
        maySend(m_lifecycle, route.kind, route.resumable) && m_attempts - m_connectFailures < route.maxTargets;
    const bool knowsWhereToGoOn = !responseStarted() || m_eventSplitter.lastId >= 0;
    if (!allowed || !knowsWhereToGoOn || deadlineAt - steadyMillis() < LeastTime) {
        return false;
    }
    if (!tryConsumeRetry(front.retries, service, steadyMillis())) {
        ++front.counters.retriesWithoutBudget;
        return false;
    }
    return true;
}

void Call::handleFailure(const net::ExchangeResult &result)
{
    const bool notConnected = result.outcome == net::ExchangeOutcome::NotConnected;
    const bool notRun =
        result.outcome == net::ExchangeOutcome::Complete && m_responseHandling == ResponseHandling::NotRun;
    advance(m_lifecycle, notConnected || notRun ? RequestEvent::Refused : RequestEvent::OutcomeUnknown);
    m_connectFailures += notConnected ? 1 : 0;
    const bool again = notConnected ? m_connectFailures < MaxConnectFailures && deadlineAt - steadyMillis() >= LeastTime
                                    : tryReserveRetry();
    if (!again) {
        refuse(notConnected ? CallOutcome::NoTarget : (notRun ? CallOutcome::NotExecuted : CallOutcome::Unknown));
        return;
    }
    if (notConnected || notRun) {
        front.dispatch(shared_from_this());
    } else {
        retryInterrupted();
    }
}

void Call::retryInterrupted()
{
    m_resumeWaitUntil = steadyMillis() + ResumeWait;
    front.dispatch(shared_from_this());
}

void Call::respond(const std::string &bytes, bool close)
{
    if (const auto connection = m_connection.lock()) {
        connection->write(bytes);
        connection->onResponseWritten(close);
    }
}

void Call::refuse(CallOutcome outcome, Millis unavailableFor)
{
    if (m_done) {
        return;
    }
    const auto connection = m_connection.lock();
    const RequestAction action = advance(m_lifecycle, RequestEvent::StopRetrying);
    if (action == RequestAction::AbortConnection) {
        if (connection) {
            connection->abort(); // Without its last chunk, the response is visibly incomplete.
        }
        finish(CallOutcome::StreamTruncated, m_responseHead.status);
        return;
    }
    if (action == RequestAction::RespondOutcomeUnknown && statusOf(outcome) == NotRunStatus) {
        outcome = outcome == CallOutcome::ExpiredBeforeSend ? CallOutcome::TimedOut : CallOutcome::Unknown;
    }
    const int status = statusOf(outcome);
    const Millis retryAfter =
        status == NotRunStatus ? suggestedRetryDelay(causeOf(outcome), front.random, unavailableFor) : Millis{0};
    http::ResponseHead own = platform::makeLocalResponse(status, request.attemptId, retryAfter);
    own.keepAlive = connection && connection->keepsAlive();
    respond(writeResponse(own, ""), !own.keepAlive);
    finish(outcome, status);
}

void Call::cancel()
{
    if (m_done) {
        return;
    }
    if (m_exchange) {
        m_exchange->cancel();
        releaseTarget(true);
    }
    finish(CallOutcome::CallerDisconnected, 0);
}

void Call::finish(CallOutcome outcome, int status)
{
    if (m_done) {
        return;
    }
    m_done = true;
    ++front.counters.outcomes[static_cast<std::size_t>(outcome)];
    const Millis whole = steadyMillis() - receivedAt;
    observe(front.counters.totalTime, whole);
    logInfo(LogComponent::Front,
            outcome == CallOutcome::Answered ? "A request was answered." : "A request was not served.",
            {{"id", request.attemptId},
             {"request", hexNumber(digest)},
             {"outcome", std::string(nameOf(CallOutcomeNames, outcome))},
             {"status", std::string(statusText(status))},
             {"route", route.name},
             {"service", service},
             {"state", front.operators.state ? std::to_string(front.operators.state->version) : "none"},
             {"state_age_ms", std::to_string(front.stateAge().count())},
             {"sends", std::to_string(m_attempts)},
             {"target", m_attempt.targetId},
             {"weights", std::to_string(m_attempt.weightsVersion)},
             {"begun", m_attempt.responseStarted ? "1" : "0"},
             {"occupancy", std::to_string(m_occupancyPercent)},
             {"load_age_ms", std::to_string(m_loadAge.count())},
             {"listings_age_ms", std::to_string(m_listingsUsed.age.count())},
             {"listings_from", m_listingsUsed.source},
             {"unlisted_ms", std::to_string(m_listingsUsed.unlistedFor.count())},
             {"waited_ms", std::to_string(m_attempts > 0 ? (m_firstSentAt - receivedAt).count() : -1)},
             {"first_ms", std::to_string(m_firstEventAt > Millis{0} ? (m_firstEventAt - receivedAt).count() : -1)},
             {"pause_ms", std::to_string(m_longestEventGap.count())},
             {"framing", std::string(m_framing)},
             {"incomplete_bytes", std::to_string(m_incompleteBytes)},
             {"goal_ms", std::to_string(route.latencyObjective.count())},
             {"took_ms", std::to_string(whole.count())}});
}

} // namespace ibislock::front
