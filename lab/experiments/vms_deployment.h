// A deployment of the daemons on the users' platform as separate processes, over stand-ins of its store, engines and
// origin, and callers that send requests to it.

#pragma once

#include "child_process.h"
#include "ibislock/net/http_client.h"
#include "platform/engine_stand_in.h"
#include "platform/store_stand_in.h"

namespace ibislock::lab
{

/// What the experiment is to do.
struct VmsOptions
{
    std::string program;
    std::string directory;
    int entries = 2;
    int targets = 4;
    int pieces = 8; ///< Of each version.
    Millis length{5000};
    Millis versionTime{4000}; ///< The contract's time for a version; short, so that turns are soon over.
    bool kill = false;
};

/// What callers got.
struct Tally
{
    int sent = 0;
    int answered = 0;
    int refused = 0; ///< 503: not run.
    int unknown = 0; ///< Anything else, or no answer.
    int wrong = 0; ///< An answer to another request.
};

/// One VM: its address, its settings, its process.
struct VmProcess
{
    std::string ip;
    std::string kind;
    std::string domain = "a"; ///< Failure domain, in its settings and in the listing of its engine.
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::unique_ptr<EngineStandIn> engine;
    std::unique_ptr<ChildProcess> process;
};

/// The whole deployment.
class VmsDeployment
{
public:
    VmsDeployment(asio::io_context &loop, VmsOptions options);

    /// Starts all processes.
    /// @return whether all entry VMs became ready.
    bool start();

    /// Starts the process of a VM.
    void launch(VmProcess &vm);

    /// Announces a version of the weights.
    void announce(std::int64_t version);

    /// Sends a request of a caller.
    void request();

    /// Runs the loop until something holds.
    /// @return whether it holds in the end.
    template <typename Holds>
    bool runUntil(Holds holds)
    {
        const Millis end = steadyMillis() + Patience;
        while (!holds() && steadyMillis() < end) {
            m_loop.run_for(std::chrono::milliseconds(20));
        }
        return holds();
    }

    int enginesWith(std::int64_t version) const;
    const Tally &tally() const;
    const OriginStandIn &origin() const;

    /// Returns all VMs, targets first.
    std::vector<VmProcess> &vms();

    /// Between two requests of the callers.
    static constexpr Millis RequestPause{10};

    /// How long daemons may take to be ready, and a version to be everywhere.
    static constexpr Millis Patience{15000};

private:
    void addTarget(int number, std::int64_t version);
    int readyEntries();

    asio::io_context &m_loop;
    VmsOptions m_options;
    StoreStandIn m_store;
    OriginStandIn m_origin;
    net::HttpClient m_client;
    std::uint16_t m_firstPeerPort = 0;
    std::uint16_t m_lastPeerPort = 0;
    std::vector<VmProcess> m_vms; ///< Targets first.
    std::map<std::string, bool> m_ready;
    Tally m_tally;
};

} // namespace ibislock::lab
