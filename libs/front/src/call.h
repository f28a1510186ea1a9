// One request of a caller, from its last byte to the end of its answer.

#pragma once

#include "counters.h"
#include "event_splitter.h"
#include "front.h"
#include "ibislock/platform/messages.h"
#include "ibislock/serving/request_lifecycle.h"

namespace ibislock::front
{

/// The request and where it stands.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(Front &front, std::weak_ptr<CallerConnection> connection, http::RequestHead head, std::string body);

    /// Finds out where the request belongs.
    /// @return nothing, or the outcome with which it was refused.
    std::optional<CallOutcome> resolve();

    /// Sends the request to a target.
    void send(serving::Target &target);

    /// Ends the call with a refusal or failure of our own.
    /// @param closedFor how long it is known that no target takes a request.
    void refuse(CallOutcome outcome, Millis closedFor = Millis{0});

    /// Gives the call up because its caller has left.
    void abandon();

    /// Ends the call if its time has run out.
    void checkTime(Millis now);

    /// Goes on after the caller has taken what was written.
    void callerDrained();

    /// Tells whether the caller has waited for so long that its answer can't be on time any more.
    bool isLate(Millis now) const;

    /// What decides whether the call is sent, waits or is refused now.
    serving::AdmissionRequest admissionRequest(Millis now) const;

    /// How long an engine reads a prompt of some tokens, in milliseconds; 0 for plain services.
    double promptMs(int tokens) const;

    /// How long the request is expected to run on a free engine.
    Millis expectedTime() const;

    /// Tells whether the caller has part of the answer already.
    bool hasBegun() const
    {
        return serving::responseStarted(m_life);
    }

    bool isDone() const
    {
        return m_done;
    }

    Front &front;
    http::RequestHead head;
    std::string body;
    platform::CallerRequest request;
    serving::Route route; ///< A copy: the desired state may change meanwhile.
    std::string service;
    std::string workspace;
    bool engine = false;
    serving::EngineSpec engineSpec;
    bool counted = false; ///< As a request to its service.
    int priority = 0;
    Millis receivedAt{0};
    Millis deadlineAt{0};
    std::uint64_t arrival = 0; ///< Counts the requests of this VM.
    std::set<std::string> tried;

private:
    /// How the present answer of a target is handled.
    enum class Answer { None, Buffered, Relayed, NotRun };

    net::HeadDecision takeHead(const http::ResponseHead &answer);

    /// Takes over what the target says of itself.
    void takeNotice(const platform::TargetResponse &said);
    void takeBody(const std::string &bytes);
    void takeEnd(const net::ExchangeResult &result);
    void endBuffered();
    void endRelayed();
    void endFailed(const net::ExchangeResult &result);
    bool mayRepeat();

    /// Tells whether the target seems to be frozen or cut off, and the request may go on elsewhere.
    bool isStalled(Millis now) const;

    /// Goes on at another target. Without one, the silent target is still the best that the request has.
    /// @return whether it does.
    bool leaveTarget(Millis now);

    /// Tells whether the request waits at an engine for so long that it would begin on weights that are out of use.
    bool isOutdated(Millis now) const;

    /// Takes such a request back; it goes to another target if it may.
    void withdraw(Millis now);

    void relay(const std::string &events);
    void answer(const std::string &bytes, bool close);
    void releaseTarget(bool good);
    void finish(CallOutcome outcome, int status);
    platform::TargetRequestOptions targetOptions(const serving::Target &target, Millis now) const;

    std::weak_ptr<CallerConnection> m_connection;
    std::shared_ptr<net::Exchange> m_exchange;
    std::string m_targetId;
    std::int64_t m_targetStartedAt = 0; ///< The life of the target that the request was sent to.
    Answer m_answer = Answer::None;
    http::ResponseHead m_answerHead;
    std::string m_answerBody;
    EventSplitter m_events;
    Millis m_sentAt{0};
    Millis m_firstSentAt{0};
    Millis m_firstEventAt{0};
    Millis m_lastEventAt{0};
    Millis m_longestPause{0}; ///< Between two events that were handed over.
    std::string m_lastTargetId;
    int m_occupancyPercent = 0; ///< Of the last target, as believed when the request was sent.
    Millis m_loadAge{0}; ///< Of that belief.
    int m_sends = 0;
    int m_connectFailures = 0;
    Millis m_waitUntil{0}; ///< May wait for a slot at least until then, as it was broken off.
    serving::RequestLifecycle m_life; ///< Decides what may be sent and said.
    bool m_done = false;
};

} // namespace ibislock::front
