// One caller's request on its way to the outcome: attempts, checks, retries, and the resumption of broken streams.
//
//     RequestSession session(dispatcher, request, blocks);
//     for (;;) {
//         SessionEvent event = session.next();
//         ...
//     }
//
// Each attempt goes to a target that was not tried before. A target that certainly did no work is left without cost;
// any other retry draws from the budget. What the caller is told takes all attempts into account.

#pragma once

#include "dispatcher.h"

#include <variant>

namespace ibislock::entry
{

/// A part of the answer, or its end.
using SessionEvent = std::variant<std::string, requests::ResponseEnd>;

/// A request in progress. Used by one thread at a time.
class RequestSession
{
public:
    /// @param request the request; identity and version are filled in for each attempt.
    /// @param prefix hashes of the prompt's blocks.
    RequestSession(Dispatcher &dispatcher, requests::Request request, std::vector<std::uint64_t> prefix);
    ~RequestSession();

    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Waits for the next part or the end. After the end there is nothing more.
    SessionEvent next();

    /// Withdraws the request, because the caller has gone.
    void cancel();

private:
    /// An attempt in progress.
    struct Attempt
    {
        Dispatcher::Chosen chosen;
        requests::ResponseCheck check;
        std::shared_ptr<rpc::AnswerStream> stream;
        Millis sentAt{0};
        std::uint32_t parts = 0;
    };

    /// Reads the clock of the deadline and of `sentAt`, which goes on while the VM is suspended.
    Millis now() const;

    bool beginAttempt();
    std::optional<Dispatcher::Chosen> chooseTarget();
    std::optional<requests::ResponseEnd> handle(rpc::AnswerEvent event, std::optional<std::string> &part);
    requests::ResponseEnd endOfBroken(const Error &error);
    bool mayTryAgain(const requests::ResponseEnd &end);
    bool canResume() const;
    void endAttempt();
    requests::ResponseEnd finish(requests::ResponseEnd end);
    void logEnd(const requests::ResponseEnd &end) const;
    requests::ResponseEnd endFor(requests::Outcome outcome, requests::Refusal refusal, std::string message) const;
    void noteReleased(std::string_view data);

    Dispatcher &m_dispatcher;
    requests::Request m_request;
    std::vector<std::uint64_t> m_prefix;
    std::vector<std::string> m_tried;
    std::optional<Attempt> m_attempt;
    Millis m_deadline{0};
    requests::Outcome m_earlier = requests::Outcome::RefusedNotRun;
    std::uint32_t m_eventsReleased = 0;
    bool m_released = false;
    bool m_targetEnded = false; ///< The target itself has said how the request ended.
    std::string m_tail; ///< The last bytes released, to see whether an event ended there.
    bool m_counted = false;
};

} // namespace ibislock::entry
