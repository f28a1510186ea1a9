#include "request_session.h"

#include "ibislock/base/log.h"
#include "ibislock/requests/idempotency_key.h"

#include <algorithm>

namespace ibislock::entry
{

namespace
{

using requests::AttemptFailure;
using requests::Outcome;
using requests::Refusal;
using requests::Request;
using requests::ResponseEnd;
using requests::ResponsePart;

constexpr std::string_view EventEnd = "\n\n";
/// The target ends what has run out of time by itself; this is how much longer its word is waited for.
constexpr Millis DeadlineSlack{200};
/// How long after a request's time has run out a target's word on a withdrawal is trusted.
constexpr Millis RevokeTrust{30000};
/// How long a target that refused or broke is avoided while there are others.
constexpr Millis AvoidTime{500};

bool isCertainlyIdle(const ResponseEnd &end)
{
    return end.outcome == Outcome::RefusedNotRun && end.refusal != Refusal::Busy;
}

} // namespace

RequestSession::RequestSession(Dispatcher &dispatcher, Request request, std::vector<std::uint64_t> prefix)
    : m_dispatcher(dispatcher)
    , m_request(std::move(request))
    , m_prefix(std::move(prefix))
    , m_deadline(now() + m_request.timeLeft)
{
    m_request.entryVm = m_dispatcher.m_options.node.vm;
    m_request.entryIncarnation = m_dispatcher.m_node.incarnation();
    m_dispatcher.open();
}

RequestSession::~RequestSession()
{
    endAttempt();
    m_dispatcher.close();
}

Millis RequestSession::now() const
{
    return m_dispatcher.m_options.bootClock();
}

SessionEvent RequestSession::next()
{
    for (;;) {
        if (!m_attempt && !beginAttempt()) {
            return finish(
                endFor(Outcome::RefusedNotRun, Refusal::NotServing, "no target that serves this role can take it now"));
        }
        const Millis wait = m_deadline + DeadlineSlack - now();
        std::optional<std::string> part;
        const auto end = handle(m_attempt->stream->next(std::max(wait, Millis(1))), part);
        if (part) {
            noteReleased(*part);
            return std::move(*part);
        }
        if (!end) {
            continue;
        }
        const bool again = mayTryAgain(*end);
        endAttempt();
        if (!again) {
            return finish(*end);
        }
        m_earlier = requests::combinedOutcome(m_earlier, end->outcome);
    }
}

void RequestSession::cancel()
{
    endAttempt();
    if (!m_counted) {
        finish(endFor(Outcome::FailedAfterStart, Refusal::None, "the caller has gone"));
    }
}

std::optional<Dispatcher::Chosen> RequestSession::chooseTarget()
{
    if (m_request.idempotencyKey.empty()) {
        return m_dispatcher.choose(
            {.request = m_request, .prefix = m_prefix, .tried = m_tried, .sameVersion = m_released});
    }
    // A key leads to the one target that knows it.
    const auto key = requests::parseIdempotencyKey(m_request.idempotencyKey);
    auto target = key && m_tried.empty() ? m_dispatcher.find(m_request, key->vm) : std::nullopt;
    if (!target) {
        return std::nullopt;
    }
    return Dispatcher::Chosen{.target = std::move(*target)};
}

bool RequestSession::beginAttempt()
{
    m_request.timeLeft = m_deadline - now();
    if (m_request.timeLeft <= Millis(0) || m_tried.size() >= m_dispatcher.m_options.attempts) {
        return false;
    }
    auto chosen = chooseTarget();
    if (!chosen) {
        return false;
    }
    m_request.id = secureRandomBytes(requests::RequestIdBytes);
    m_request.manifest = chosen->target.manifest;
    m_request.resumeFrom = m_eventsReleased;
    m_tried.push_back(chosen->target.vm);
    const std::string address = chosen->target.address;
    m_attempt = Attempt{.chosen = std::move(*chosen), .check = {.request = m_request}, .sentAt = now()};
    m_attempt->stream = m_dispatcher.m_client.submit(address, m_request);
    return true;
}

std::optional<ResponseEnd> RequestSession::handle(rpc::AnswerEvent event, std::optional<std::string> &part)
{
    Counters &counters = m_dispatcher.m_counters;
    if (auto *received = std::get_if<ResponsePart>(&event)) {
        if (!requests::checkPart(m_attempt->check, *received)) {
            counters.add(Counter::AnswersDropped);
            return std::nullopt;
        }
        ++m_attempt->parts;
        part = std::move(received->data);
        return std::nullopt;
    }
    if (auto *received = std::get_if<ResponseEnd>(&event)) {
        const auto checked = requests::checkEnd(m_attempt->check, *received);
        if (!checked) {
            counters.add(Counter::AnswersDropped);
            return endFor(Outcome::FailedAfterStart, Refusal::None, checked.error().message);
        }
        m_targetEnded = true;
        if (received->cachedBytes) {
            m_dispatcher.noteCached(m_attempt->chosen, *received->cachedBytes);
        }
        return std::move(*received);
    }
    return endOfBroken(std::get<Error>(event));
}

ResponseEnd RequestSession::endOfBroken(const Error &error)
{
    AttemptFailure evidence = m_attempt->parts > 0 ? AttemptFailure::PartialResponse : AttemptFailure::NoResponse;
    if (error.code == ErrorCode::Unavailable) {
        evidence = AttemptFailure::NeverSent;
    } else if (evidence == AttemptFailure::NoResponse) {
        const RoutedTarget &target = m_attempt->chosen.target;
        const bool confirmed = m_dispatcher.m_client.revoke(target.address, m_request.id, target.incarnation);
        // After a long pause or suspension of this process the target may have forgotten that it started the request.
        const bool isFresh = now() - m_attempt->sentAt < m_request.timeLeft + RevokeTrust;
        if (confirmed && isFresh) {
            m_dispatcher.m_counters.add(Counter::RequestsRevoked);
            evidence = AttemptFailure::Revoked;
        }
    }
    const bool isLate = error.code == ErrorCode::DeadlineExceeded;
    return endFor(requests::outcomeOf(evidence), isLate ? Refusal::Expired : Refusal::NotServing, error.message);
}

bool RequestSession::canResume() const
{
    return m_request.stream && m_tail == EventEnd && m_dispatcher.m_options.resumeStreams;
}

bool RequestSession::mayTryAgain(const ResponseEnd &end)
{
    if (end.outcome == Outcome::Answered) {
        return false;
    }
    m_attempt->chosen.target.load->avoidUntilMs = (steadyMillis() + AvoidTime).count();
    const bool isFinal = end.refusal == Refusal::Expired || end.refusal == Refusal::Withdrawn;
    if (isFinal || now() >= m_deadline || !m_request.idempotencyKey.empty()) {
        return false;
    }
    if (m_tried.size() >= m_dispatcher.m_options.attempts || (m_released && !canResume())) {
        return false;
    }
    if (isCertainlyIdle(end)) {
        m_dispatcher.m_counters.add(Counter::RequestRedirects);
        return true;
    }
    if (end.outcome != Outcome::RefusedNotRun && !m_request.idempotent) {
        return false;
    }
    if (!m_dispatcher.drawRetry()) {
        return false;
    }
    m_dispatcher.m_counters.add(Counter::RequestRetries);
    m_dispatcher.m_counters.add(Counter::StreamsResumed, m_released ? 1 : 0);
    return true;
}

void RequestSession::endAttempt()
{
    if (!m_attempt) {
        return;
    }
    m_attempt->stream->cancel();
    --m_attempt->chosen.target.load->inProgress;
    m_attempt.reset();
}

ResponseEnd RequestSession::finish(ResponseEnd end)
{
    end.outcome = requests::combinedOutcome(m_earlier, end.outcome);
    if (m_released && end.outcome == Outcome::RefusedNotRun) {
        end.outcome = Outcome::FailedAfterStart;
    }
    if (!m_request.idempotencyKey.empty() && !m_targetEnded && end.outcome == Outcome::RefusedNotRun) {
        // An earlier call with the key may have run, which only its target knows.
        end.outcome = Outcome::Unknown;
        end.refusal = Refusal::None;
    }
    if (end.retryAfter <= Millis(0)) {
        end.retryAfter = m_dispatcher.m_options.retryAfter;
    }
    if (!m_counted) {
        m_dispatcher.count(end.outcome);
        logEnd(end);
        m_counted = true;
    }
    return end;
}

void RequestSession::logEnd(const ResponseEnd &end) const
{
    const bool needsLook = end.outcome == Outcome::FailedAfterStart || end.outcome == Outcome::Unknown;
    const auto write = needsLook ? logInfo : logDebug;
    write(LogComponent::Requests, "Request has ended.",
          {{"request", hexOf(end.id)},
           {"workspace", m_request.workspace},
           {"role", m_request.role},
           {"target", m_tried.empty() ? std::string() : m_tried.back()},
           {"outcome", std::string(nameOf(requests::OutcomeNames, end.outcome))},
           {"message", end.message}});
}

ResponseEnd RequestSession::endFor(Outcome outcome, Refusal refusal, std::string message) const
{
    return {.id = m_request.id,
            .entryIncarnation = m_request.entryIncarnation,
            .workspace = m_request.workspace,
            .manifest = m_request.manifest,
            .outcome = outcome,
            .message = std::move(message),
            .refusal = outcome == Outcome::RefusedNotRun ? refusal : Refusal::None};
}

void RequestSession::noteReleased(std::string_view data)
{
    m_released = true;
    for (const char c : data) {
        m_tail.push_back(c);
        if (m_tail.size() > EventEnd.size()) {
            m_tail.erase(0, 1);
        }
        if (m_tail == EventEnd) {
            ++m_eventsReleased;
        }
    }
}

} // namespace ibislock::entry
