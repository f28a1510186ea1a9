// Brings the engine to the version that the configuration names for this VM, as charts/activation.chart says.

#pragma once

#include "fetcher.h"
#include "stager.h"

#include "ibislock/base/state_chart.h"
#include "ibislock/configuration/lease.h"

#include <atomic>
#include <condition_variable>
#include <thread>

namespace ibislock::target
{

/// What the target may answer with right now.
struct Serving
{
    bool isServing = false;
    std::string phase;
    std::uint64_t ticket = 0;
    std::string role;
    Digest manifest;
};

/// How far another VM of the rollout was, and since when.
struct SeenState
{
    std::string state;
    Millis since{0};
};

/// Drives the activation on a thread of its own.
class Activation
{
public:
    Activation(const TargetOptions &options, node::Node &node, Fetcher &fetcher, Counters &counters,
               Holdings &holdings);
    ~Activation();

    Activation(const Activation &) = delete;
    Activation &operator=(const Activation &) = delete;

    void start();
    void stop();

    /// Gives what may be answered with now. Safe from the event loop.
    Serving serving() const;

    /// Admits a request when the VM serves exactly what the request asks for.
    /// @return nothing, or why the request is refused. An admitted request must be ended with `release`.
    Result<void> admit(const requests::Request &request);

    /// Ends an admitted request.
    void release();

    /// Gives the number of requests in progress.
    std::uint32_t running() const;

    /// Refuses every new request from now on.
    void refuseAll();

    /// Waits until no request is in progress.
    bool waitUntilIdle(Millis timeout);

private:
    void run();
    void step(const std::string &event);
    void carryOut(const std::string &action);
    void noteDesired();
    void claimSlot();
    bool confirmLease();
    bool holdsSlot() const;
    void fetch();
    void drain();
    void load();
    void readBack();
    void serve();
    void rest();
    bool isOvertaken() const;
    bool mayDrain();
    bool isStuck(const membership::Report &report, Millis now);
    Result<void> stageAndLoad();
    bool engineServes(const Digest &root);
    void checkEngine();
    Millis retryPause() const;

    const TargetOptions &m_options;
    node::Node &m_node;
    Fetcher &m_fetcher;
    Counters &m_counters;
    Holdings &m_holdings;
    const StateChart &m_chart;
    engine::EngineClient m_engine;
    Stager m_stager;

    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::string m_phase;
    std::optional<configuration::VmAssignment> m_duty;
    std::optional<configuration::VmAssignment> m_served;
    bool m_accepting = false;
    bool m_refusing = false;
    std::uint32_t m_running = 0;

    std::optional<weights::Manifest> m_manifest;
    configuration::Lease m_lease;
    std::map<std::string, SeenState> m_seenStates; ///< By VM, since this one waits for its turn.
    Millis m_failedAt{0};
    unsigned m_failures = 0; ///< Since the ticket was seen or the version was served.
    bool m_adopted = false; ///< Whether the engine had the version before the transfer.
    bool m_mayAdopt = true;
    Millis m_checkedAt{0};
    unsigned m_silentChecks = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace ibislock::target
