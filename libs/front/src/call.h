// One request of a caller, from the arrival of its last byte to the end of its response.

#pragma once

#include "counters.h"
#include "event_splitter.h"
#include "front.h"
#include "ibislock/platform/messages.h"
#include "ibislock/serving/attempt.h"
#include "ibislock/serving/request_lifecycle.h"

namespace ibislock::front
{

/// Maximum size of a buffered response in bytes; responses of plain services have some hundred.
inline constexpr std::size_t MaxBufferedResponse = 4U << 20U;

/// A caller's request, its attempts at targets and its response.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(Front &front, std::weak_ptr<CallerConnection> connection, http::RequestHead head, std::string body);

    /// Decodes the request and finds its route, workspace and service.
    /// @return nothing, or the outcome with which to refuse it.
    std::optional<CallOutcome> resolve();

    /// Starts an attempt: sends the request to a target.
    void send(serving::Target &target);

    /// Ends the call without a complete response of a target: sends an error response, or aborts the connection if part
    /// of a response was sent; the outcome is then `StreamTruncated`.
    /// @param outcome replaced by `Unknown` or `TimedOut` if it implies that the request wasn't executed but it may
    /// have been.
    /// @param unavailableFor how long all targets are known to accept no requests; 0 if unknown.
    void refuse(CallOutcome outcome, Millis unavailableFor = Millis{0});

    /// Cancels the call because its caller has disconnected.
    void cancel();

    /// Cancels the attempt if its target has stopped responding, would start on retired weights or would crash under
    /// it; ends the call if its deadline has passed.
    void checkTimeouts(Millis now);

    /// Resumes reading the target's response after the write queue to the caller has emptied.
    void onCallerDrained();

    /// Returns whether the caller has already waited longer than the latency objective of the route.
    bool isLate(Millis now) const;

    /// Returns the input of the admission decision.
    serving::AdmissionRequest admissionRequest(Millis now) const;

    /// Returns how long an engine takes to process a prompt, in milliseconds; 0 for plain services.
    double promptMs(int tokens) const;

    /// Returns how long the request is expected to take on an idle engine.
    Millis expectedDuration() const;

    /// Returns whether the caller has part of the response.
    bool responseStarted() const
    {
        return serving::responseStarted(m_lifecycle);
    }

    bool isDone() const
    {
        return m_done;
    }

    Front &front;
    http::RequestHead head;
    std::string body;
    platform::CallerRequest request;
    serving::Route route; ///< A copy, as the desired state may change during the call.
    std::string service;
    std::string workspace;
    std::uint64_t digest = 0; ///< The same for each attempt of the caller to send this request.
    bool isProbe = false; ///< Sent although it is in quarantine, to find out whether it still crashes its target.
    std::vector<serving::Suspect> suspects; ///< The request and the parts of its prompt that others may share.
    bool usesEngine = false;
    serving::EngineSpec engineSpec;
    bool counted = false; ///< Counted as a request to its service.
    int priority = 0;
    Millis receivedAt{0};
    Millis deadlineAt{0};
    std::uint64_t arrivalNumber = 0; ///< Number of the request, counted by this VM.
    std::set<std::string> triedTargets;

private:
    /// How the response of the current attempt is handled. `None` treats it as failed.
    enum class ResponseHandling { None, Buffered, Relayed, NotRun };

    net::HeadDecision onHead(const http::ResponseHead &answer);

    /// Records the draining and backoff signals in a target's response.
    void applySignals(const platform::TargetResponse &said);

    /// Records what a target's response says of its limit.
    void applyLimit(const platform::TargetResponse &said);
    void onBody(const std::string &bytes);
    void onEnd(net::ExchangeResult result);

    /// Returns whether a response that is complete by its framing is a stream that was cut off.
    bool isStreamTruncated() const;
    void finishBuffered();
    void finishRelayed();
    void handleFailure(const net::ExchangeResult &result);
    bool tryReserveRetry();

    /// Dispatches the call again after an attempt was interrupted; it may wait for a slot meanwhile.
    void retryInterrupted();

    /// Returns whether the target seems to hang or to be unreachable, and the request may be retried.
    bool isStalled(Millis now) const;

    /// Cancels the attempt and retries at another target. Without another target, the attempt continues, as the stalled
    /// target may still respond.
    /// @return whether the request is retried.
    bool switchTarget(Millis now);

    /// Returns whether the attempt has been queued at its engine for so long that it would start on retired weights.
    bool wouldStartOnRetiredWeights(Millis now) const;

    /// Cancels such an attempt; the request is retried if its kind and the budget allow it.
    void cancelAttempt(Millis now);

    /// Returns whether the attempt waits at an engine that it would crash, as far as is known by now.
    bool wouldCrashEngine() const;

    /// Cancels such an attempt and refuses the request.
    void cancelQuarantined();

    void relayEvents(const std::string &events);
    void respond(const std::string &bytes, bool close);
    void releaseTarget(bool good);

    /// Makes the request and the parts of its prompt suspect if the target may have crashed on them.
    void recordTargetCrash(const net::ExchangeResult &result);
    void finish(CallOutcome outcome, int status);
    platform::TargetRequestOptions targetOptions(const serving::Target &target, Millis now) const;

    std::weak_ptr<CallerConnection> m_connection;
    std::shared_ptr<net::Exchange> m_exchange;
    serving::Attempt m_attempt; ///< The last attempt, also after its end.
    ResponseHandling m_responseHandling = ResponseHandling::None;
    http::ResponseHead m_responseHead;
    std::string m_responseBody;
    EventSplitter m_eventSplitter;
    std::string_view m_framing = "none"; ///< What marks the end of the attempt's response, as logged.
    std::size_t m_incompleteBytes = 0; ///< Bytes of an incomplete event at the end of the last response.
    Millis m_firstSentAt{0};
    Millis m_firstEventAt{0};
    Millis m_lastEventAt{0};
    Millis m_longestEventGap{0}; ///< Between two forwarded events.
    int m_occupancyPercent = 0; ///< Estimated occupancy of the last target when the request was sent.
    ListingsUsed m_listingsUsed; ///< The listings by which the last target was chosen.
    Millis m_loadAge{0}; ///< Age of the load report behind that estimate; -1 ms without one.
    int m_attempts = 0;
    int m_connectFailures = 0;
    Millis m_resumeWaitUntil{0}; ///< A request whose attempt was interrupted may wait for a slot at least until then.
    serving::RequestLifecycle m_lifecycle; ///< Decides whether it may be retried and how it may end.
    bool m_done = false;
};

} // namespace ibislock::front
