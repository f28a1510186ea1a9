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
#include "ibislock/configuration/snapshot_policy.h"
#include "ibislock/configuration/state.h"
#include "ibislock/membership/view.h"
#include "ibislock/node/scheduler.h"
#include "ibislock/rpc/client.h"
#include "ibislock/security/tls.h"
#include "ibislock/stores/http_endpoint.h"

#include <functional>
#include <memory>

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
    stores::EndpointOptions log;
    stores::EndpointOptions vmList;
    Millis logWait{1000}; ///< How long one read of the log waits for news.
    Millis listInterval{1000};
    Millis gossipInterval{1000}; ///< The longest pause between two signs of life to one delegate.
    std::uint32_t delegates = 2; ///< Entry VMs that judge each VM.
    Millis suspectAfter{2500}; ///< How long a delegate waits for a sign of life before it asks the VM.
    membership::ViewOptions view;
    configuration::SnapshotOptions snapshots;
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

    /// Reads the platform's log to its end now.
    /// @return when the read began, on the process's clock; or why the end was not reached.
    Result<Millis> confirm();

    /// Runs a function on the view of the VMs. Safe from the event loop.
    template <typename Function>
    auto withView(Function &&function) const
    {
        using Value = std::invoke_result_t<Function, const membership::View &>;
        if constexpr (std::is_void_v<Value>) {
            readView(function);
        } else {
            std::optional<Value> value;
            readView([&](const membership::View &view) { value.emplace(function(view)); });
            return std::move(*value);
        }
    }

    /// Tells when the log last answered, on the monotonic clock; zero when it never did.
    Millis logReadAt() const;

    /// Tells whether the last read of the log succeeded. A target that its delegates serve does not read the log.
    bool isLogReachable() const;

    /// Tells whether records are missing that neither the log nor a snapshot in it holds.
    bool hasGap() const;

    /// Gives the options.
    const NodeOptions &options() const;

    /// Gives the number that marks this life of the process.
    std::uint64_t incarnation() const;

private:
    struct Impl;

    void readView(const std::function<void(const membership::View &)> &function) const;

    std::unique_ptr<Impl> m_impl;
};

} // namespace ibislock::node
