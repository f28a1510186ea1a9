// One request of a caller, from the arrival of its last byte to the end of its response.

#pragma once

#include "counters.h"
#include "event_splitter.h"
#include "front.h"
#include "ibislock/platform/messages.h"
#include "ibislock/serving/attempt.h"
#include "ibislock/serving/request_lifecycle.h"
#include "ibislock/serving/urgency.h"

namespace ibislock::front
{

/// Maximum size of a buffered response in bytes; responses of plain services have some hundred.
inline constexpr std::size_t MaxBufferedResponse = 4U << 20U;

/// How the response of an attempt is handled. `None` treats it as failed.
enum class ResponseHandling { None, Buffered, Relayed, NotRun };

/// One attempt of a call, and what was received of its response.
struct CallAttempt
{
    serving::Attempt sent;
    serving::SendObstacle obstacle = serving::SendObstacle::None; ///< Why its request was not sent.
    std::shared_ptr<net::Exchange> exchange;
    ResponseHandling handling = ResponseHandling::None;
    http::ResponseHead responseHead;
    std::string responseBody;
    std::size_t announcedBytes = 0; ///< Length of a response that is buffered; 0 if it isn't announced.
    EventSplitter eventSplitter; ///< Goes on after the last event that was forwarded when the attempt was sent.
    std::string_view framing = "none"; ///< What marks the end of the response, as logged.
    std::size_t incompleteBytes = 0; ///< Bytes of an incomplete event at the end of the response.
    std::string targetDomain; ///< The failure domain in the target's listing.
    int occupancyPercent = 0; ///< Estimated occupancy of the target when the request was sent.
    ListingsUsed listingsUsed; ///< The listings by which the target was chosen.
    Millis loadAge{0}; ///< Age of the load report behind that estimate; -1 ms without one.
    Millis heardAt{0}; ///< When the target last sent something for this attempt; 0 before.
    bool wasPaused = false; ///< The response wasn't read for a while, so that its target may have cut it off.
    Millis passedOverAt{0}; ///< When the request was sent to another target as well, as this one was silent; 0 if not.
};

/// A caller's request, its attempts at targets and its response. While a target is silent, an attempt at another one
/// may be in progress beside the one there; the first of them that sends something usable is the one whose response is
/// forwarded, and the others are cancelled.
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

    /// Cancels the call if its caller has disconnected, even if that hasn't been read from the connection yet. To be
    /// called before anything is sent.
    /// @return whether the caller is still there.
    bool isCallerThere();

    /// Returns the failure domains in which the request may be placed, by the restriction of its last placement.
    serving::PlacementDomains domains() const;

    /// Tries another target if the present one is silent, cancels attempts that would start on retired weights or crash
    /// their engine, and ends the call if its deadline has passed.
    void checkTimeouts(Millis now);

    /// Returns the bytes that the request and its responses hold.
    std::size_t heldBytes() const;

    /// Resumes reading the target's response if it was paused for lack of memory and there is room again.
    void onRoom();

    /// Resumes reading the target's response after the write queue to the caller has emptied.
    void onCallerDrained();

    /// Returns whether the first event can't meet the latency objective of the route any more if the request is sent
    /// now, as far as is expected.
    bool isLate(Millis now) const;

    /// Returns whether this is the caller's second attempt: it allows less time than the route.
    bool isReturned() const;

    /// Returns the position among waiting calls.
    serving::WaitingRank waitingRank() const;

    /// Returns when the request must be sent for its first event to be on time.
    Millis dueAt() const;

    /// Returns the input of the admission decision.
    serving::AdmissionRequest admissionRequest(Millis now) const;

    /// Takes the regions to which the request is restricted from the newest desired state.
    void updateResidency();

    /// Records why the last placement left out targets, for counters and logs.
    void recordPlacement(const serving::Placement &placement);

    /// Returns whether the routes of the call's engine service differ in priority. Only then kinds compete for its
    /// slots by urgency; otherwise requests are admitted in the order of their arrival.
    bool hasCompetingKinds() const;

    /// Returns the limits for admission.
    serving::AdmissionPolicy admissionPolicy() const;

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
    serving::Residency residency; ///< As of the last placement.
    std::uint64_t digest = 0; ///< The same for each attempt of the caller to send this request.
    bool isProbe = false; ///< Sent although it is in quarantine, to find out whether it still crashes its target.
    std::vector<serving::Suspect> suspects; ///< The request and the parts of its prompt that others may share.
    bool usesEngine = false;
    serving::EngineSpec engineSpec;
    bool counted = false; ///< Counted as a request to its service.
    int priority = 0;
    serving::Urgency urgency;
    Millis receivedAt{0};
    Millis deadlineAt{0};
    std::uint64_t arrivalNumber = 0; ///< Number of the request, counted by this VM.
    std::set<std::string> triedTargets;

private:
    using AttemptPointer = std::shared_ptr<CallAttempt>;

    net::HeadDecision onHead(CallAttempt &attempt, const http::ResponseHead &answer);

    /// Records the draining and backoff signals in a target's response.
    void applySignals(const CallAttempt &attempt, const platform::TargetResponse &said);

    /// Records what a target's response says of its limit.
    void applyLimit(const CallAttempt &attempt, const platform::TargetResponse &said);
    void onBody(const AttemptPointer &attempt, const std::string &bytes);
    void onEnd(const AttemptPointer &attempt, net::ExchangeResult result);

    /// Returns whether the request may be sent to the target of an attempt, whose connection has been established, by
    /// the newest desired state, evacuations and listings.
    bool maySendTo(CallAttempt &attempt);

    /// Ends an attempt whose request was not sent, as its target is closed to it by now, and places the request again.
    void onObstacle(const AttemptPointer &attempt);

    /// Records in the lifecycle that the last attempt in progress ended and its target did not execute the request.
    void recordNotRun();
    void logFailedAttempt(const CallAttempt &attempt, const net::ExchangeResult &result) const;

    /// Returns whether a response that is complete by its framing is a stream that was cut off.
    static bool isStreamTruncated(const CallAttempt &attempt);

    /// Makes an attempt the one whose response is forwarded, and cancels the others.
    void prefer(const AttemptPointer &attempt);

    /// Returns whether a response is a server error, and another attempt is in progress, which may succeed.
    bool mayBeAnsweredByAnother(const CallAttempt &attempt) const;
    void finishBuffered(const AttemptPointer &attempt);
    void finishRelayed(const AttemptPointer &attempt);
    void handleFailure(const CallAttempt &attempt, const net::ExchangeResult &result);

    /// Returns how many attempts count towards the limit of the route.
    int countedAttempts() const;
    bool tryReserveRetry();

    /// Dispatches the call again after an attempt was interrupted; it may wait for a slot meanwhile.
    void retryInterrupted();

    /// Returns whether the target seems to hang or to be unreachable, and the request may be retried.
    bool isStalled(Millis now) const;

    /// Returns how long a plain target may send nothing for a request that may be retried.
    Millis plainStall() const;

    /// Returns for how long the newest attempt in progress has been silent, since the last send at most.
    Millis silence(Millis now) const;

    /// Sends the request to another target as well. The attempt at the stalled one continues, as it may still respond.
    void tryAnotherTarget(Millis now);

    /// Returns an attempt that has been queued at its engine for so long that it would start on retired weights; null
    /// if there is none.
    AttemptPointer attemptOnRetiredWeights(Millis now) const;

    /// Cancels such an attempt; if no other is in progress, the request is retried if its kind and the budget allow it.
    void cancelAttempt(const AttemptPointer &attempt, Millis now);

    /// Cancels all attempts in progress; none of them counts as a failure of its target.
    void cancelAttempts();

    /// Returns whether the attempt waits at an engine that it would crash, as far as is known by now.
    bool wouldCrashEngine() const;

    /// Cancels such an attempt and refuses the request.
    void cancelQuarantined();

    /// Stops reading the targets' responses until there is room for them.
    void pauseForRoom();

    /// Writes a complete response to the caller.
    void respondBuffered(const http::ResponseHead &forwarded, std::string body);
    void relayEvents(const AttemptPointer &attempt, const std::string &events);
    void respond(const std::string &bytes, bool close);

    /// Ends an attempt, which is in progress no more.
    /// @param success whether it counts as a success of its target.
    void releaseTarget(const AttemptPointer &attempt, bool success);

    /// Stops reading the responses of all attempts.
    void pauseReading();

    /// Makes the request and the parts of its prompt suspect if the target may have crashed on them.
    void recordTargetCrash(const CallAttempt &attempt, const net::ExchangeResult &result);
    void finish(CallOutcome outcome, int status);

    /// Returns the regions to which the request is restricted, as logged.
    std::string regionsText() const;
    platform::TargetRequestOptions targetOptions(const serving::Target &target, Millis now) const;

    std::weak_ptr<CallerConnection> m_connection;
    std::vector<AttemptPointer> m_attemptsInProgress; ///< In the order in which they were sent.
    AttemptPointer
        m_attempt; ///< The one that was sent last or is preferred, also after its end; null before the first.
    std::string m_lastFailure = "none"; ///< How the last attempt that failed ended, as logged.
    Millis m_firstSentAt{0};
    Millis m_lastSentAt{0};
    Millis m_nextTryAt{0}; ///< When another target may be tried for a silent one.
    bool m_readingPaused = false; ///< The response isn't read, as the caller reads it slowly or memory is short.
    bool m_waitsForRoom = false; ///< The response isn't read, as memory is short.
    Millis m_firstEventAt{0};
    Millis m_lastEventAt{0};
    Millis m_longestEventGap{0}; ///< Between two forwarded events.
    int m_attempts = 0;
    int m_connectFailures = 0;
    int m_refusedAttempts = 0; ///< Attempts that their targets did not execute.
    int m_unsentAttempts = 0; ///< Attempts whose target was closed to the request once it was connected.
    Millis m_resumeWaitUntil{0}; ///< A request whose attempt was interrupted may wait for a slot at least until then.
    serving::RequestLifecycle m_lifecycle; ///< Decides whether it may be retried and how it may end.
    bool m_done = false;
    std::optional<std::int64_t> m_residencyVersion; ///< Version of the state that `residency` was taken from.
    serving::PlacementFailure m_placementFailure = serving::PlacementFailure::None; ///< Of the last placement.
    int m_targetsOutsideRegions = 0; ///< Left out by the last placement.
    int m_targetsEvacuated = 0; ///< Left out by the last placement.
};

} // namespace ibislock::front
