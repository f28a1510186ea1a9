#include "call.h"

#include "caller_connection.h"
#include "ibislock/base/log.h"
#include "ibislock/serving/first_event.h"
#include "ibislock/serving/request_digest.h"
#include "ibislock/serving/retry_delay.h"

#include <utility>

namespace ibislock::front
{

namespace
{

using serving::RequestAction;
using serving::RequestEvent;
using serving::RequestKind;

/// Deadline of a request without one, and timeout of a route without one; far above usual latency objectives.
constexpr Millis DefaultDeadline{10000};

/// Failed connections after which a call is refused; each takes `FrontOptions::connectTimeout` at most.
constexpr int MaxConnectFailures = 3;

/// Minimum time to the deadline for an attempt; with less, a target couldn't start.
constexpr Millis LeastTime{30};

/// Ratio of the time per token to the time of an engine step, as prompts of other requests are processed in between.
constexpr double SharedStepFactor = 1.5;

/// How long an interrupted request without a part of its response may wait for a slot at another target.
constexpr Millis ResumeWait{300};

/// How long after its last event an interrupted stream may wait for a slot at another target; callers leave a stream
/// after a gap of 2 s.
constexpr Millis MaxEventGap{1800};

/// Fraction of its objective that a request may wait at a service whose routes have one priority: with longer waits,
/// most responses are late.
constexpr double EqualKindsWaitFraction = 0.125;

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
    urgency = serving::urgencyOf(state, service, route.priority);
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
    return now >= dueAt();
}

Millis Call::dueAt() const
{
    const Millis full = route.timeout > Millis{0} ? route.timeout : DefaultDeadline;
    const Millis spentBefore = full - std::min(full, request.deadline.value_or(full));
    const Millis due = receivedAt - spentBefore + route.latencyObjective;
    return hasCompetingKinds() ? due - serving::expectedFirstEvent(engineSpec, request.promptTokens) : due;
}

bool Call::hasCompetingKinds() const
{
    return usesEngine && urgency.ranks > 1;
}

serving::AdmissionPolicy Call::admissionPolicy() const
{
    return hasCompetingKinds() ? serving::AdmissionPolicy{}
                               : serving::AdmissionPolicy{.maxWaitFraction = EqualKindsWaitFraction};
}

bool Call::isReturned() const
{
    return route.timeout > Millis{0} && request.deadline.value_or(route.timeout) < route.timeout;
}

serving::WaitingRank Call::waitingRank() const
{
    if (!hasCompetingKinds()) {
        return {.priority = priority, .arrival = arrivalNumber};
    }
    return {.priority = priority, .firstAttempt = !isReturned(), .dueAt = dueAt(), .arrival = arrivalNumber};
}

serving::AdmissionRequest Call::admissionRequest(Millis now) const
{
    return {.receivedAt = receivedAt,
            .latencyObjective = route.latencyObjective,
            .resumeWaitUntil = m_resumeWaitUntil,
            .late = isLate(now),
            .responseStarted = responseStarted(),
            .urgentKind = usesEngine && isUrgent(urgency),
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
        .priority = usesEngine ? enginePriority(urgency) : -1,
    };
    if (responseStarted()) {
        out.lastEventId = m_attempt->eventSplitter.lastId;
    }
    return out;
}

void Call::send(serving::Target &target)
{
    const Millis now = steadyMillis();
    if (!isCallerThere()) {
        return;
    }
    if (deadlineAt - now < LeastTime) {
        refuse(CallOutcome::ExpiredBeforeSend);
        return;
    }
    const auto endpoint = platform::parseEndpoint(target.entry.address);
    if (!endpoint) {
        refuse(CallOutcome::NoTarget); // Not reached: listings without a valid address are ignored.
        return;
    }
    const auto attempt = std::make_shared<CallAttempt>();
    attempt->targetDomain = target.entry.domain;
    attempt->listingsUsed = front.recordListingsUse(target, now);
    attempt->loadAge = target.load ? now - target.load->receivedAt : Millis{-1};
    attempt->occupancyPercent =
        static_cast<int>(100 * estimatedRequests(target, usesEngine, now) / std::max(target.entry.slots, 1));
    m_lastSentAt = now;
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
                 {"begun", m_attempt->sent.responseStarted ? "1" : "0"},
                 {"in_progress", std::to_string(m_attemptsInProgress.size())},
                 {"listings_age_ms", std::to_string(attempt->listingsUsed.age.count())},
                 {"listings_from", attempt->listingsUsed.source},
                 {"unlisted_ms", std::to_string(attempt->listingsUsed.unlistedFor.count())},
                 {"since_first_ms", std::to_string((now - m_firstSentAt).count())}});
    }
    advance(m_lifecycle, RequestEvent::Send);
    ++m_attempts;
    ++front.counters.attempts;
    front.counters.retries += m_attempts > 1 ? 1 : 0;
    triedTargets.insert(target.entry.id);
    attempt->sent = serving::startAttempt(target, usesEngine, now);
    front.counters.attemptsAtColdTargets += isWarm(target, now) ? 0 : 1;
    recordAttempt(target, now, promptMs(request.promptTokens));
    if (m_attempt) {
        attempt->eventSplitter = m_attempt->eventSplitter;
        startResponse(attempt->eventSplitter);
    }
    const http::RequestHead forwarded = platform::makeTargetRequest(head, targetOptions(target, now));
    // A request that must not run twice gets a new connection: the target may close a pooled one while the request is
    // being sent, and it would be unknown whether it ran.
    // Bytes on a pooled connection may reach a target that was unreachable seconds later, with those of others.
    const bool warm = isWarm(target, now);
    const bool fresh = !serving::mayRunTwice(route.kind, route.resumable) || m_attempts > 1 || !warm;
    attempt->exchange = front.client.send(
        endpoint->ip, endpoint->port, writeRequest(forwarded, body),
        {.connectTimeout = std::min(front.options.connectTimeout, deadlineAt - now),
         .newConnection = fresh,
         .maxBodyBytes = MaxBufferedResponse},
        {
            .maySend = [self = shared_from_this(), attempt] { return self->maySendTo(*attempt); },
            .head = [self = shared_from_this(),
                     attempt](const http::ResponseHead &answer) { return self->onHead(*attempt, answer); },
            .body = [self = shared_from_this(), attempt](const std::string &bytes) { self->onBody(attempt, bytes); },
            .end = [self = shared_from_this(),
                    attempt](const net::ExchangeResult &result) { self->onEnd(attempt, result); },
        });
    m_attempt = attempt;
    m_attemptsInProgress.push_back(attempt);
}

void Call::releaseTarget(const AttemptPointer &attempt, bool success)
{
    attempt->exchange.reset();
    std::erase(m_attemptsInProgress, attempt);
    endAttempt(front.table, attempt->sent, success, steadyMillis());
}

void Call::cancelAttempts()
{
    const auto attempts = std::exchange(m_attemptsInProgress, {});
    for (const AttemptPointer &attempt : attempts) {
        attempt->exchange->cancel();
        attempt->exchange.reset();
        withdrawAttempt(front.table, attempt->sent);
    }
}

void Call::prefer(const AttemptPointer &attempt)
{
    m_attempt = attempt;
    if (attempt->passedOverAt > Millis{0}) {
        ++front.counters.silentTargetsResponded;
        logInfo(LogComponent::Front, "A target that was silent has responded after all.",
                {{"id", request.attemptId},
                 {"target", attempt->sent.targetId},
                 {"since_sent_elsewhere_ms", std::to_string((steadyMillis() - attempt->passedOverAt).count())}});
        attempt->passedOverAt = Millis{0};
    }
    const bool inProgress = std::erase(m_attemptsInProgress, attempt) > 0;
    cancelAttempts();
    if (inProgress) {
        m_attemptsInProgress.push_back(attempt);
    }
}

void Call::onEnd(const AttemptPointer &attempt, net::ExchangeResult result)
{
    if (m_done) {
        return;
    }
    const auto self = shared_from_this();
    if (attempt->obstacle != serving::SendObstacle::None) {
        onObstacle(attempt);
        return;
    }
    if (result.outcome == net::ExchangeOutcome::Complete && isStreamTruncated(*attempt)) {
        result.outcome = net::ExchangeOutcome::Broken;
    }
    const bool complete = result.outcome == net::ExchangeOutcome::Complete;
    const bool notRun = complete && attempt->handling == ResponseHandling::NotRun;
    const bool served =
        complete && !notRun && attempt->handling != ResponseHandling::None && attempt->responseHead.status / 100 != 5;
    attempt->incompleteBytes = attempt->eventSplitter.incompleteEvent.size();
    const bool notConnected = result.outcome == net::ExchangeOutcome::NotConnected;
    const bool broken = result.outcome == net::ExchangeOutcome::Broken;
    // Targets cut off responses that aren't read for some seconds, which doesn't show that they fail.
    const bool targetFailed = !served && !notRun && !(broken && attempt->wasPaused);
    if (targetFailed) {
        recordTargetCrash(*attempt, result);
        if (notConnected || (broken && !result.tooLarge)) {
            recordConnectionLoss(front.table, attempt->sent, !notConnected, steadyMillis());
        }
    }
    releaseTarget(attempt, !targetFailed);
    if (!served) {
        logFailedAttempt(*attempt, result);
        m_lastFailure = std::string(nameOf(net::ExchangeOutcomeNames, result.outcome)) + "/"
            + std::to_string(attempt->handling == ResponseHandling::None ? 0 : attempt->responseHead.status);
    }
    if (complete && attempt->handling == ResponseHandling::Buffered && !mayBeAnsweredByAnother(*attempt)) {
        finishBuffered(attempt);
    } else if (complete && attempt->handling == ResponseHandling::Relayed) {
        finishRelayed(attempt);
    } else {
        handleFailure(*attempt, result);
    }
    front.dispatchWaiting();
}

bool Call::maySendTo(CallAttempt &attempt)
{
    if (!isCallerThere()) {
        return false;
    }
    updateResidency();
    attempt.obstacle = obstacleOf(front.table, attempt.sent, domains());
    return attempt.obstacle == serving::SendObstacle::None;
}

void Call::onObstacle(const AttemptPointer &attempt)
{
    ++front.counters.sendsWithheld;
    ++m_unsentAttempts;
    attempt->exchange.reset();
    std::erase(m_attemptsInProgress, attempt);
    withdrawAttempt(front.table, attempt->sent);
    triedTargets.erase(attempt->sent.targetId);
    logInfo(LogComponent::Front, "A request was not sent, as its target was closed to it while connecting.",
            {{"id", request.attemptId},
             {"target", attempt->sent.targetId},
             {"cause", std::string(nameOf(serving::SendObstacleNames, attempt->obstacle))},
             {"regions", regionsText()},
             {"state", front.operators.state ? std::to_string(front.operators.state->version) : "none"},
             {"after_ms", std::to_string((steadyMillis() - attempt->sent.sentAt).count())}});
    if (!m_attemptsInProgress.empty()) {
        m_attempt = m_attemptsInProgress.back();
    } else {
        recordNotRun();
        if (responseStarted()) {
            retryInterrupted();
        } else {
            front.dispatch(shared_from_this());
        }
    }
    front.dispatchWaiting();
}

void Call::logFailedAttempt(const CallAttempt &attempt, const net::ExchangeResult &result) const
{
    logInfo(LogComponent::Front, "A request attempt failed.",
            {{"id", request.attemptId},
             {"request", hexNumber(digest)},
             {"target", attempt.sent.targetId},
             {"incarnation", std::to_string(attempt.sent.targetStartedAt)},
             {"end", std::string(nameOf(net::ExchangeOutcomeNames, result.outcome))},
             {"status", std::to_string(attempt.handling == ResponseHandling::None ? 0 : attempt.responseHead.status)},
             {"sends", std::to_string(m_attempts)},
             {"in_progress", std::to_string(m_attemptsInProgress.size())},
             {"connected", result.connected ? "1" : "0"},
             {"reused", result.reused ? "1" : "0"},
             {"too_large", result.tooLarge ? "1" : "0"},
             {"framing", std::string(attempt.framing)},
             {"incomplete_bytes", std::to_string(attempt.incompleteBytes)},
             {"events", attempt.eventSplitter.hasEvents ? "1" : "0"},
             {"weights", std::to_string(attempt.sent.weightsVersion)},
             {"begun", attempt.sent.responseStarted ? "1" : "0"},
             {"listings_age_ms", std::to_string(attempt.listingsUsed.age.count())},
             {"listings_from", attempt.listingsUsed.source},
             {"unlisted_ms", std::to_string(attempt.listingsUsed.unlistedFor.count())},
             {"parts", partsText(request.sharedParts)},
             {"after_ms", std::to_string((steadyMillis() - attempt.sent.sentAt).count())}});
}

void Call::recordTargetCrash(const CallAttempt &attempt, const net::ExchangeResult &result)
{
    const bool crashed = result.connected && result.outcome == net::ExchangeOutcome::Broken;
    const bool begun = attempt.handling != ResponseHandling::None;
    // A plain target has run the request when it sends the head of a response; a stream may begin before.
    const bool answered =
        attempt.sent.responseStarted || (!usesEngine && attempt.handling == ResponseHandling::Buffered);
    const bool refused = attempt.handling == ResponseHandling::NotRun;
    if (crashed && !answered && !refused) {
        recordCrash(front.quarantine,
                    {.engine = serving::incarnationOf(attempt.sent.targetId, attempt.sent.targetStartedAt),
                     .suspects = suspects,
                     .responding = begun},
                    bootMillis());
    }
}

int Call::countedAttempts() const
{
    // A target that did not execute the request is no reason to give up what has begun or is in progress elsewhere.
    const bool goesOn = responseStarted() || !m_attemptsInProgress.empty();
    return m_attempts - m_connectFailures - m_unsentAttempts - (goesOn ? m_refusedAttempts : 0);
}

/// Consumes one retry of the budget if route, kind and deadline allow another attempt.
bool Call::tryReserveRetry()
{
    const bool allowed = maySend(m_lifecycle, route.kind, route.resumable) && countedAttempts() < route.maxTargets;
    const bool knowsWhereToGoOn = !responseStarted() || m_attempt->eventSplitter.lastId >= 0;
    if (!allowed || !knowsWhereToGoOn || deadlineAt - steadyMillis() < LeastTime) {
        return false;
    }
    if (!tryConsumeRetry(front.retries, service, steadyMillis())) {
        ++front.counters.retriesWithoutBudget;
        return false;
    }
    return true;
}

void Call::handleFailure(const CallAttempt &attempt, const net::ExchangeResult &result)
{
    const bool notConnected = result.outcome == net::ExchangeOutcome::NotConnected;
    const bool notRun =
        result.outcome == net::ExchangeOutcome::Complete && attempt.handling == ResponseHandling::NotRun;
    m_connectFailures += notConnected ? 1 : 0;
    m_refusedAttempts += notRun ? 1 : 0;
    if (!m_attemptsInProgress.empty()) {
        m_attempt = m_attemptsInProgress.back();
        return;
    }
    if (notConnected || notRun) {
        recordNotRun();
    } else {
        advance(m_lifecycle, RequestEvent::OutcomeUnknown);
    }
    const bool again = notConnected ? m_connectFailures < MaxConnectFailures && deadlineAt - steadyMillis() >= LeastTime
                                    : tryReserveRetry();
    if (!again) {
        refuse(notConnected ? CallOutcome::NoTarget : (notRun ? CallOutcome::NotExecuted : CallOutcome::Unknown));
        return;
    }
    if ((notConnected || notRun) && !responseStarted()) {
        front.dispatch(shared_from_this());
    } else {
        retryInterrupted();
    }
}

void Call::recordNotRun()
{
    advance(m_lifecycle, RequestEvent::Refused);
    if (m_attempts == m_connectFailures + m_refusedAttempts + m_unsentAttempts) {
        advance(m_lifecycle, RequestEvent::AllRefused);
    }
}

void Call::retryInterrupted()
{
    m_resumeWaitUntil =
        std::max(steadyMillis() + ResumeWait, responseStarted() ? m_lastEventAt + MaxEventGap : Millis{0});
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
    cancelAttempts();
    const auto connection = m_connection.lock();
    const RequestAction action = advance(m_lifecycle, RequestEvent::StopRetrying);
    if (action == RequestAction::AbortConnection) {
        if (connection) {
            connection->abort(); // Without its last chunk, the response is visibly incomplete.
        }
        finish(CallOutcome::StreamTruncated, m_attempt->responseHead.status);
        return;
    }
    if (action == RequestAction::RespondOutcomeUnknown && statusOf(outcome) == NotRunStatus) {
        outcome = outcome == CallOutcome::ExpiredBeforeSend ? CallOutcome::TimedOut : CallOutcome::Unknown;
    }
    const int status = statusOf(outcome);
    const Millis retryAfter = status == NotRunStatus && outcome != CallOutcome::NotPermitted
        ? suggestedRetryDelay(causeOf(outcome), front.random, unavailableFor)
        : Millis{0};
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
    cancelAttempts();
    finish(CallOutcome::CallerDisconnected, 0);
}

bool Call::isCallerThere()
{
    const auto connection = m_connection.lock();
    if (m_done || (connection && !connection->hasCallerLeft())) {
        return !m_done;
    }
    ++front.counters.sendsWithoutCaller;
    cancel();
    return false;
}

void Call::finish(CallOutcome outcome, int status)
{
    if (m_done) {
        return;
    }
    m_done = true;
    ++front.counters.outcomes[static_cast<std::size_t>(outcome)];
    if (outcome == CallOutcome::Answered) {
        front.startSteps.reach(StartStep::Response, steadyMillis(), LogComponent::Front);
    }
    const Millis whole = steadyMillis() - receivedAt;
    observe(front.counters.totalTime, whole);
    static const CallAttempt none;
    const CallAttempt &last = m_attempt ? *m_attempt : none;
    logInfo(LogComponent::Front,
            outcome == CallOutcome::Answered ? "A request was answered." : "A request was not served.",
            {{"id", request.attemptId},
             {"request", hexNumber(digest)},
             {"outcome", std::string(nameOf(CallOutcomeNames, outcome))},
             {"status", std::string(statusText(status))},
             {"route", route.name},
             {"service", service},
             {"no_target", std::string(nameOf(serving::PlacementFailureNames, m_placementFailure))},
             {"regions", regionsText()},
             {"outside_regions", std::to_string(m_targetsOutsideRegions)},
             {"evacuated", std::to_string(m_targetsEvacuated)},
             {"state", front.operators.state ? std::to_string(front.operators.state->version) : "none"},
             {"state_age_ms", std::to_string(front.stateAge().count())},
             {"behind_ms", std::to_string(front.stateLag().count())},
             {"sends", std::to_string(m_attempts)},
             {"target", last.sent.targetId},
             {"target_domain", last.targetDomain},
             {"weights", std::to_string(last.sent.weightsVersion)},
             {"begun", last.sent.responseStarted ? "1" : "0"},
             {"last_failure", m_lastFailure},
             {"occupancy", std::to_string(last.occupancyPercent)},
             {"load_age_ms", std::to_string(last.loadAge.count())},
             {"listings_age_ms", std::to_string(last.listingsUsed.age.count())},
             {"listings_from", last.listingsUsed.source},
             {"unlisted_ms", std::to_string(last.listingsUsed.unlistedFor.count())},
             {"waited_ms", std::to_string(m_attempts > 0 ? (m_firstSentAt - receivedAt).count() : -1)},
             {"first_ms", std::to_string(m_firstEventAt > Millis{0} ? (m_firstEventAt - receivedAt).count() : -1)},
             {"pause_ms", std::to_string(m_longestEventGap.count())},
             {"framing", std::string(last.framing)},
             {"incomplete_bytes", std::to_string(last.incompleteBytes)},
             {"goal_ms", std::to_string(route.latencyObjective.count())},
             {"took_ms", std::to_string(whole.count())}});
}

} // namespace ibislock::front
