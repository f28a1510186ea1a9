// The state that the parts of an entry VM's daemon share, and what they do together.

#pragma once

#include "counters.h"
#include "ibislock/base/loop_stalls.h"
#include "ibislock/feed/listings_follower.h"
#include "ibislock/feed/operators_follower.h"
#include "ibislock/feed/operators_view.h"
#include "ibislock/front/daemon.h"
#include "ibislock/net/http_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/platform/listings.h"
#include "ibislock/serving/admission.h"
#include "ibislock/serving/retry_budget_share.h"

#include <asio/ip/udp.hpp>
#include <map>
#include <set>

namespace ibislock::front
{

/// How long a request may take to begin at the target that it was sent to: the way and the queue at its engine. It is
/// sent only where the weights may still begin something then.
inline constexpr Millis QueueTime{1500};

class Call;
class CallerConnection;

/// Calls that wait, those that go first in front.
using WaitingCalls = std::map<serving::WaitingRank, std::shared_ptr<Call>>;

/// The daemon's state and parts.
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

    /// Takes a call that has been read whole.
    void accept(const std::shared_ptr<Call> &call);

    /// Sends a call to a target, lets it wait, or refuses it.
    void dispatch(const std::shared_ptr<Call> &call);

    /// Finds a target for a call as things stand.
    serving::Placement placementOf(const Call &call, Millis now);

    /// Tells that a target may have room.
    void pumpWaiting();

    /// The oldest weights with which a call may begin some time from now.
    /// @param ahead that time.
    std::int64_t minVersionOf(const std::string &model, Millis now, Millis ahead) const;

    /// Removes a caller's connection.
    void forget(const CallerConnection *connection);

    asio::io_context &loop;
    platform::DaemonSettings settings;
    FrontOptions options;
    net::HttpClient client;
    serving::TargetTable table;
    feed::OperatorsView operators;
    serving::RetryBudgetShare retries;
    Random random;
    FrontCounters counters;
    bool draining = false;
    bool refusing = false; ///< Too late in a stop for new requests to end in time.
    bool operatorsAway = false; ///< The operators' topic can't be read, so the state may be old.
    Millis drainingSince{0};

private:
    void applyOperatorRecord(const platform::KeyedRecord &record, bool live);
    void applyListing(const std::string &id, const std::optional<serving::TargetEntry> &entry);
    void serveReadiness(const std::shared_ptr<net::Connection> &connection);
    void serveMetrics(const std::shared_ptr<net::Connection> &connection);
    void tick();
    void subscribe(Millis now);
    bool isEngine(const serving::TargetEntry &entry) const;
    void receiveLoads();
    void takeLevel(const feed::OperatorsWatermark &level);
    void applyLoad(const std::string &ip, std::string_view bytes);
    void finishDrainIfIdle(Millis now);
    bool isReady() const;
    std::string metricsText();

    net::Listener m_callers;
    net::Listener m_readiness;
    net::Listener m_metrics;
    std::unique_ptr<feed::OperatorsFollower> m_operatorsFollower;
    feed::OperatorsWatermark m_level; ///< The end of the operators' topic, as far as any VM has told.
    std::unique_ptr<feed::ListingsFollower> m_listings;
    net::Timer m_tick;
    Millis m_tickDueAt{0}; ///< 0 before the first tick.
    LoopStalls m_stalls;
    asio::ip::udp::socket m_loads;
    asio::ip::udp::endpoint m_loadSender;
    std::array<char, 1500> m_loadBuffer{};
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_loadSequence; ///< By address: process, number.
    std::map<const CallerConnection *, std::shared_ptr<CallerConnection>> m_connections;
    std::map<const net::Connection *, std::shared_ptr<net::Connection>> m_administration;
    WaitingCalls m_waiting; ///< Calls to targets that are full.
    std::uint64_t m_arrivals = 0;
    Millis m_nextSubscription{0};
    Millis m_nextPresence{0}; ///< When target VMs that are not watched are told that this VM is there.
};

} // namespace ibislock::front
