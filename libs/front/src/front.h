// The state of an entry VM's daemon, which its calls and connections share, and the dispatch of calls to targets.

#pragma once

#include "counters.h"
#include "ibislock/base/loop_stalls.h"
#include "ibislock/base/start_steps.h"
#include "ibislock/feed/listings_follower.h"
#include "ibislock/feed/operators_follower.h"
#include "ibislock/feed/operators_view.h"
#include "ibislock/feed/send_time.h"
#include "ibislock/front/daemon.h"
#include "ibislock/net/http_client.h"
#include "ibislock/net/recent_connections.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/messages.h"
#include "ibislock/platform/listings.h"
#include "ibislock/serving/admission.h"
#include "ibislock/serving/entry_vm_count.h"
#include "ibislock/serving/load_subscriptions.h"
#include "ibislock/serving/memory_budget.h"
#include "ibislock/serving/quarantine_report.h"
#include "ibislock/serving/retry_budget_share.h"
#include "ibislock/serving/workspace_shares.h"

#include <asio/ip/udp.hpp>
#include <map>
#include <set>

namespace ibislock::front
{

/// How long a request may take to start at its target: network latency and the queue of the engine. It is sent only to
/// targets whose weights aren't retired before then.
inline constexpr Millis MaxQueueTime{1500};

/// Connections for readiness and metrics that are kept; the platform and each collector has one or two.
inline constexpr std::size_t MaxAdminConnections = 16;

/// What was known of the listings of targets when one was chosen.
struct ListingsUsed
{
    Millis age{-1}; ///< Since they were the present ones in the store; -1 ms if no target was chosen.
    std::string source = "none"; ///< Who confirmed them: the address of a relay, or the store.
    Millis unlistedFor{-1}; ///< Since this VM learned that the target's listing was removed; -1 ms if it is listed.
};

class Call;
class CallerConnection;

/// Calls that wait for a slot, in the order in which they are dispatched.
using WaitingCalls = std::map<serving::WaitingRank, std::shared_ptr<Call>>;

/// The implementation of `FrontDaemon`.
class Front
{
public:
    Front(asio::io_context &loop, platform::DaemonSettings settings, FrontOptions options);
    ~Front();
    Front(const Front &) = delete;
    Front &operator=(const Front &) = delete;

    Result<void> start();
    void stop();
    std::uint16_t callerPort() const;

    /// Handles a call whose request has been read completely.
    void accept(const std::shared_ptr<Call> &call);

    /// Sends a call to a target, queues it, or refuses it.
    void dispatch(const std::shared_ptr<Call> &call);

    /// Chooses a target for a call by the newest desired state. All attempts go to targets that were chosen here.
    /// @param maxSilence leaves out targets that have been silent for longer and don't report; none to use them as
    /// well.
    serving::Placement findPlacement(Call &call, Millis now, std::optional<Millis> maxSilence = std::nullopt);

    /// Records that a target was chosen by the listings as they are known.
    /// @return what was known of them.
    ListingsUsed recordListingsUse(const serving::Target &target, Millis now);

    /// Dispatches the calls that wait for a slot; called when a target may have a free one.
    void dispatchWaiting();

    /// Records the first event of a response, which shows that neither the request nor a part of its prompt crashes
    /// targets.
    void recordAnswered(const std::vector<serving::Suspect> &suspects);

    /// Returns the oldest version of weights on which a request may start; 0 if any may.
    /// @param ahead how long after `now` it starts.
    std::int64_t minVersionOf(const std::string &model, Millis now, Millis ahead) const;

    /// Returns whether each desired state that must be in effect is known here. Otherwise a route or key that the known
    /// one lacks may exist.
    bool isStateCurrent() const;

    /// Returns for how long records of the operators' topic have been known to be unread; 0 if there are none.
    Millis stateLag() const;

    /// Returns for how long newer desired states may have existed; -1 ms before the first snapshot.
    Millis stateAge() const;

    /// Sets how much a caller's connection holds, and closes those that give way for it.
    /// @return whether there is room.
    bool reserveMemory(serving::HolderId holder, std::size_t bytes);

    /// Returns whether a rejected request may be logged; callers that nobody controls send any number of them.
    bool mayLogRejection();

    /// Removes and releases a caller's connection.
    void removeConnection(const CallerConnection *connection);

    asio::io_context &loop;
    platform::DaemonSettings settings;
    FrontOptions options;
    net::HttpClient client;
    serving::TargetTable table;
    feed::OperatorsView operators;
    serving::RetryBudgetShare retries;
    serving::PromptQuarantine quarantine; ///< Its times are of the boot clock.
    Random random;
    serving::MemoryBudget memory; ///< What callers' connections hold.
    FrontCounters counters;
    StartSteps startSteps{steadyMillis()};
    bool draining = false;
    bool refusingRequests = false; ///< Shutdown has advanced too far for new requests to finish in time.
    bool operatorsUnreachable = false; ///< The operators' topic can't be read, so the desired state may be stale.
    Millis drainingSince{0};

private:
    void applyOperatorRecord(const platform::KeyedRecord &record, bool live);
    void recordRecovery(Millis at);

    /// Returns whether a target may be chosen, as far as its listing and its own signals tell.
    bool mayGetRequests(const std::string &id, Millis now) const;
    void applyListing(const std::string &id, const std::optional<serving::TargetEntry> &entry);
    /// Returns whether a caller's connection may be accepted; closes others to make room for it.
    bool admitCaller();
    void serveCaller(const std::shared_ptr<net::Connection> &connection);
    void closeEvicted(const std::vector<serving::HolderId> &evicted);

    /// Returns whether a descriptor is left for a connection to a target.
    bool mayConnect();
    void logGiveWay(Millis now);
    void writeMemoryBudget(std::string &out) const;
    void serveReadiness(const std::shared_ptr<net::Connection> &connection);
    void serveMetrics(const std::shared_ptr<net::Connection> &connection);
    void tick();
    void sendSubscriptions(Millis now);
    bool isEngine(const serving::TargetEntry &entry) const;

    /// Returns the engines in domains that aren't evacuated, as only these get requests.
    std::vector<serving::SubscriptionCandidate> openEngines(std::vector<serving::SubscriptionCandidate> engines) const;
    void receiveLoads();
    void applyWatermark(const feed::OperatorsWatermark &level);
    void applyDatagram(const std::string &ip, std::string_view bytes);
    void applyLoad(const std::string &ip, const peer::LoadMessage &load);

    /// Applies what the desired state says of cold targets.
    void updateColdTerms();

    /// Records the incarnation that a target VM reports of its engine.
    void applyEngineStart(serving::Target &target, const peer::LoadMessage &load, Millis now);

    /// Records for targets without reports that their listings are confirmed, and logs which targets became cold or
    /// warm.
    void updateColdTargets(Millis now);

    /// Records the number of entry VMs that a target VM knows, for what they share.
    void applyEntryVmCount(int reported);
    void applyQuarantine(const peer::QuarantineMessage &message);

    /// Quarantines requests and parts of prompts that crash targets, and reports what is known of them to other VMs.
    void updateQuarantine();
    void sendQuarantine(const serving::QuarantineReport &report);
    bool refuseQuarantined(const std::shared_ptr<Call> &call);
    void finishDrainIfIdle(Millis now);
    bool isReady() const;

    /// Records which steps of the start are reached.
    void updateStartSteps(Millis now);
    std::string metricsText();

    net::Listener m_callers;
    net::Listener m_readiness;
    net::Listener m_metrics;
    std::unique_ptr<feed::OperatorsFollower> m_operatorsFollower;
    feed::OperatorsWatermark
        m_operatorsWatermark; ///< Highest watermark of the operators' topic that this VM or another one has reported.
    std::unique_ptr<feed::ListingsFollower> m_listings;
    net::Timer m_tick;
    Millis m_tickDueAt{0}; ///< 0 before the first tick.
    LoopStalls m_stalls;
    asio::ip::udp::socket m_loads;
    asio::ip::udp::endpoint m_loadSender;
    std::array<char, 1500> m_loadBuffer{};
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        m_loadSequence; ///< Incarnation and sequence of the last load report, by IP address.
    feed::SendTimeClock m_sendTimeClock; ///< Its times are of the boot clock.
    serving::EntryVmCount m_entryVms; ///< As target VMs report it.
    serving::EntryVmCount m_sharers; ///< The same over a longer time, for the turns at cold targets.
    std::map<std::string, feed::SendTimePeer> m_loadSenders; ///< Target VMs that report loads, by IP address.
    std::map<const CallerConnection *, std::shared_ptr<CallerConnection>> m_connections;
    std::map<serving::HolderId, CallerConnection *> m_holders; ///< Those of `m_connections`.
    std::optional<serving::HolderId> m_nextHolder; ///< Has room in the budget for the next connection.
    net::RecentConnections m_adminConnections{MaxAdminConnections}; ///< For readiness and metrics.
    std::array<std::uint64_t, serving::GiveWayReasonCount> m_loggedGiveWay{}; ///< As of the last log line.
    Millis m_nextGiveWayLogAt{0};
    Millis m_rejectionsCountedFrom{0};
    int m_loggedRejections = 0; ///< Since then.
    std::map<std::string, serving::DemandMeter, std::less<>> m_demand; ///< By service.
    serving::WorkspaceShares m_workspaces;
    WaitingCalls m_waiting; ///< Calls whose targets are full.
    std::uint64_t m_arrivalCount = 0;
    std::map<std::string, serving::ColdPhase> m_coldPhases; ///< As logged; targets that aren't warm, by id.
    Millis m_nextQuarantineUpdateAt{0}; ///< By the boot clock.
    Millis m_nextSubscriptionAt{0};
    Millis m_nextPresenceAt{0}; ///< When target VMs without a load subscription are next sent a presence message.
};

} // namespace ibislock::front
