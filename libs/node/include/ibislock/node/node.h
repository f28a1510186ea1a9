// What every daemon does, entry or target: it follows the platform's log, keeps the folded configuration, and knows who
// is there.
//
//     Node node(options, counters, client);
//     node.addHandlers(handlers);
//     rpc::Server server(loop, serverOptions, handlers);
//     node.start(server.port());
//     node.state()->lastTicket;

#pragma once

#include "ibislock/base/counters.h"
#include "ibislock/base/random.h"
#include "ibislock/configuration/state.h"
#include "ibislock/membership/view.h"
#include "ibislock/node/scheduler.h"
#include "ibislock/platform/log_client.h"
#include "ibislock/platform/vm_list_client.h"
#include "ibislock/rpc/client.h"
#include "ibislock/security/tls.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace ibislock::node
{

/// Who this VM is and where the platform is.
struct NodeOptions
{
    std::string vm;
    std::string domain;
    membership::VmKind kind = membership::VmKind::Entry;
    std::string address = "127.0.0.1"; ///< The IP number under which other VMs reach this one.
    security::TlsOptions tls; ///< How connections between processes are protected.
    platform::EndpointOptions log;
    platform::EndpointOptions vmList;
    Millis logWait{1000}; ///< How long one read of the log waits for news.
    Millis listInterval{1000};
    Millis gossipInterval{250};
    std::uint32_t gossipFanout = 2; ///< Peers per round.
    membership::ViewOptions view;
};

/// The folded configuration, shared by its readers.
using StatePointer = std::shared_ptr<const configuration::State>;

/// The common part of a daemon. All operations are safe from any thread but the RPC event loop's, unless noted.
class Node
{
public:
    Node(NodeOptions options, Counters &counters, rpc::Client &client);
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Sets the handlers of the calls that belong to the node.
    void addHandlers(rpc::Handlers &handlers);

    /// Sets what the daemon adds to the VM's own report. Call before `start`.
    void setReportSource(std::function<void(membership::Report &)> source);

    /// Adds a job that runs again and again until `stop`.
    /// @param interval the longest pause between two runs.
    void every(Millis interval, std::function<void()> job);

    /// Starts to follow the log and to exchange reports.
    /// @param rpcPort the port at which this VM accepts RPC.
    void start(std::uint16_t rpcPort);

    /// Ends all activity.
    void stop();

    /// Gives the folded configuration. Safe from the event loop.
    StatePointer state() const;

    /// Waits until the log has been folded beyond an offset.
    /// @return whether it was within the time.
    bool waitForOffset(configuration::Offset offset, Millis timeout) const;

    /// Waits until the state differs from one that the caller has.
    void waitForChange(const StatePointer &known, Millis timeout) const;

    /// Appends a record to the platform's log.
    Result<configuration::Offset> append(const configuration::Record &record);

    /// Runs a function on the view of the VMs. Safe from the event loop.
    template <typename Function>
    auto withView(Function &&function) const
    {
        const std::lock_guard lock(m_viewMutex);
        return function(m_view);
    }

    /// Tells when the log last answered, on the monotonic clock; zero when it never did.
    Millis logReadAt() const;

    /// Tells whether the last read of the log succeeded.
    bool isLogReachable() const;

    /// Gives the options.
    const NodeOptions &options() const;

    /// Gives the number that marks this life of the process.
    std::uint64_t incarnation() const;

private:
    void followLog();
    void foldPage(const platform::LogPage &page);
    void replaceState(configuration::State state);
    void refreshList();
    void gossip();
    void gossipWith(const std::string &address);
    std::vector<std::string> choosePeers();
    rpc::StateSummary summary();
    void applySummary(const rpc::StateSummary &received);
    membership::Report ownReport();

    NodeOptions m_options;
    Counters &m_counters;
    rpc::Client &m_client;
    const std::uint64_t m_incarnation;
    const std::uint64_t m_started;
    std::function<void(membership::Report &)> m_reportSource;
    std::string m_rpcAddress;
    std::atomic<std::uint64_t> m_sequence = 0;

    mutable std::mutex m_stateMutex;
    mutable std::condition_variable m_stateChanged;
    StatePointer m_state;
    configuration::Offset m_scanned = 0;

    mutable std::mutex m_viewMutex;
    membership::View m_view;

    platform::LogClient m_reader;
    std::mutex m_writerMutex;
    platform::LogClient m_writer;
    platform::VmListClient m_vmList;
    Random m_random;
    std::atomic<bool> m_stopping = false;
    std::atomic<Millis> m_logReadAt = Millis(0);
    std::atomic<bool> m_logReachable = false;
    Scheduler m_scheduler;
    std::thread m_follower;
};

} // namespace ibislock::node
