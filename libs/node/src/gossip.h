// The exchange of signs of life and news between VMs.
//
// A target exchanges with its delegates only. An entry VM exchanges with its own delegates, and with one entry VM of
// each other failure domain. Changes that everybody has to learn of go out at once; between them go signs of life.

#pragma once

#include "ibislock/membership/delegates.h"
#include "log_follower.h"

#include <set>

namespace ibislock::node
{

/// Exchanges with other VMs. Its jobs are run by the node's scheduler.
class Gossip
{
public:
    Gossip(const NodeOptions &options, Counters &counters, rpc::Client &client, StateHolder &holder,
           LogFollower &follower);

    /// Sets what the daemon adds to the VM's own report.
    void setReportSource(std::function<void(membership::Report &)> source);

    /// Sets the address of the own report. Call before the first exchange.
    void setAddress(const std::string &address);

    /// Answers another VM's exchange. Safe from the event loop.
    rpc::Exchange answer(const rpc::Exchange &received);

    /// Exchanges with one delegate.
    /// @param slot which of the delegates that answer.
    void exchangeWithDelegate(std::size_t slot);

    /// Exchanges with the entry VMs of other domains, one in each turn.
    void exchangeWithBridge();

    /// Sends what is urgent at once, and fetches configuration that others are known to have.
    void sendUrgent();

    /// Judges the VMs that this VM is a delegate of.
    void watch();

    /// Brings the gauges of live and silent VMs up to date.
    void countMembers();

    /// Takes over the platform's list.
    void applyList(const std::vector<membership::ListedVm> &listed);

    /// Tells whether a VM that follows the log has brought the configuration lately.
    bool isServedByOthers() const;

    /// Gives the number that marks this life of the process.
    std::uint64_t incarnation() const;

    /// Runs a function on the view.
    template <typename Function>
    auto withView(Function &&function) const
    {
        const std::lock_guard lock(m_mutex);
        return function(m_view);
    }

private:
    /// What is known of the exchange with one other VM.
    struct Peer
    {
        std::uint64_t incarnation = 0;
        std::uint64_t taken = 0; ///< The peer's changes up to here are known here.
        std::uint64_t acknowledged = 0; ///< The own changes up to here are known there.
        std::uint64_t toldRevision = 0; ///< The newest own report that the peer was sent.
        Millis backOffUntil{0};
    };

    using Answer = std::optional<rpc::Exchange>;

    bool isEntry() const;
    membership::Report drawOwn() const;
    void refreshOwn(const membership::Report &drawn, Millis now);
    std::uint64_t fingerprint();
    rpc::Exchange messageTo(const Peer &peer, const membership::Member *member, Millis now);
    void addNews(rpc::Exchange &reply, const Peer &peer, const membership::Member *member) const;
    void addDomains(rpc::Exchange &message, Millis now) const;
    bool followsLog() const;
    std::vector<std::string> vmsBehind(Millis now);
    void addOwnReport(rpc::Exchange &message, const Peer &peer) const;
    void takeIn(const rpc::Exchange &received, Millis now);
    void defendOwn(const membership::MembershipUpdate &news);
    std::vector<std::string> respondingDelegates(Millis now);
    bool exchangeWith(const std::string &vm, bool wantsNews = true);
    Answer callOnce(const std::string &vm, bool wantsNews);
    void fetchConfiguration(const std::string &address);
    std::vector<std::string> overdueVms(Millis now);
    bool isDelegateOf(const std::string &vm, const membership::Member &member, const std::vector<std::string> &entries,
                      Millis now) const;
    void judge(const std::string &vm);
    void noteCoverage(Millis now);

    const NodeOptions &m_options;
    Counters &m_counters;
    rpc::Client &m_client;
    StateHolder &m_holder;
    LogFollower &m_follower;
    const std::uint64_t m_incarnation;
    std::function<void(membership::Report &)> m_reportSource;

    mutable std::mutex m_mutex;
    membership::View m_view;
    membership::Report m_own;
    membership::Heartbeat m_beat;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, Millis> m_watchedSince; ///< VMs that this VM is a delegate of.
    std::uint64_t m_urgentSent = 0;
    Millis m_revisedAt{0};
    std::uint64_t m_fingerprint = 0;
    std::uint64_t m_fingerprintOf = 0; ///< The change sequence that the fingerprint belongs to.
    std::uint64_t m_ownRevisionSent = 0;
    std::uint64_t m_toldChanges = 0; ///< The urgent changes that the watched VMs were last told of.
    Millis m_toldAt{0};
    configuration::Offset m_toldOffset = 0; ///< The offset that the watched VMs were last told of.
    std::size_t m_bridgeTurn = 0;
    std::string m_aheadAddress; ///< A VM that is known to have more of the configuration.
    Millis m_servedAt{Millis::min() / 2};
};

} // namespace ibislock::node
