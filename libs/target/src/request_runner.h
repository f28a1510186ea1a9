// Runs callers' requests at the engine or service beside the target process.
//
// A request is admitted by the activation, waits in the fair queue, runs on a worker, and is ended exactly once. "Not
// run" is said only of a request that has left the queue without being started, or that never came in.

#pragma once

#include "activation.h"

#include "ibislock/requests/concurrency_limit.h"
#include "ibislock/requests/fair_queue.h"
#include "ibislock/requests/idempotency_key_table.h"

#include <asio/thread_pool.hpp>
#include <deque>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace ibislock::target
{

/// Runs requests. Safe from any thread, and `accept` and `revoke` from the event loop.
class RequestRunner
{
public:
    RequestRunner(const TargetOptions &options, node::Node &node, Activation &activation, Counters &counters);
    ~RequestRunner();

    RequestRunner(const RequestRunner &) = delete;
    RequestRunner &operator=(const RequestRunner &) = delete;

    /// Starts the timers.
    void start();

    /// Takes a request, and answers it through the writer sooner or later.
    void accept(requests::Request request, std::shared_ptr<rpc::AnswerWriter> writer);

    /// Withdraws a request.
    /// @return true when it has not started and never will, even if it has yet to arrive.
    bool revoke(const std::string &id, std::uint64_t incarnation);

    /// Refuses every new request from now on; those that wait are refused at once.
    void leave();

    /// Waits until no request is in progress.
    /// @return how many requests are left when the time has run out.
    std::uint32_t drain(Millis timeout);

    /// Ends the timers and the workers, and breaks off what is still in progress.
    void stop();

    /// Gives the number of requests that wait.
    std::uint32_t queued() const;

private:
    /// A request that waits.
    struct Waiting
    {
        requests::Request request;
        std::shared_ptr<rpc::AnswerWriter> writer;
        Millis deadline{0};
    };

    /// An end that is written after the lock is released.
    struct Ended
    {
        std::shared_ptr<rpc::AnswerWriter> writer;
        requests::ResponseEnd end;
        std::string body; ///< A kept answer that goes out first.
    };

    void enqueue(requests::Request request, std::shared_ptr<rpc::AnswerWriter> writer, std::vector<Ended> &ended);
    bool endByKey(const requests::Request &request, const std::shared_ptr<rpc::AnswerWriter> &writer,
                  std::vector<Ended> &ended);
    void refuseWaiting(std::uint64_t ticket, requests::Refusal refusal, const char *message, std::vector<Ended> &ended);
    void startNext(std::vector<Ended> &ended);
    void run(const Waiting &waiting);
    void noteEnd(const requests::Request &request, const requests::ResponseEnd &end, std::string body);
    void noteRevoked(const std::string &id);
    void tick();
    void observeEngine();
    void write(std::vector<Ended> &ended);
    bool isListedAsLeaving() const;
    Millis registerTime() const;
    std::unique_ptr<engine::EngineClient> takeClient();
    void giveBack(std::unique_ptr<engine::EngineClient> client);

    const TargetOptions &m_options;
    node::Node &m_node;
    Activation &m_activation;
    Counters &m_counters;
    const Millis m_wallAtStart;
    const Millis m_steadyAtStart;

    mutable std::mutex m_mutex;
    requests::FairQueue m_queue;
    requests::ConcurrencyLimit m_limit;
    requests::IdempotencyKeyTable m_keys;
    std::unordered_map<std::uint64_t, Waiting> m_waiting;
    std::unordered_map<std::string, std::uint64_t> m_ticketOf; ///< By request id, while it waits.
    std::unordered_map<std::string, Millis> m_started; ///< Ids of started requests, until when to remember them.
    std::unordered_set<std::string> m_revoked; ///< Ids withdrawn before they came.
    std::deque<std::string> m_revokedByAge;
    std::uint64_t m_lastTicket = 0;
    std::uint32_t m_inFlight = 0;
    bool m_leaving = false;

    std::mutex m_clientsMutex;
    std::vector<std::unique_ptr<engine::EngineClient>> m_clients;
    std::set<engine::EngineClient *> m_activeClients;
    engine::EngineClient m_statusClient;
    asio::thread_pool m_workers;
    node::Scheduler m_scheduler;
};

} // namespace ibislock::target
