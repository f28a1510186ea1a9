// The components of a target VM's daemon and their shared state.

#pragma once

#include "ibislock/base/loop_stalls.h"
#include "ibislock/base/random.h"
#include "ibislock/base/start_steps.h"
#include "ibislock/feed/listings_follower.h"
#include "ibislock/feed/operators_follower.h"
#include "ibislock/feed/operators_view.h"
#include "ibislock/feed/send_time.h"
#include "ibislock/net/recent_connections.h"
#include "ibislock/peer/messages.h"
#include "ibislock/platform/listings.h"
#include "ibislock/serving/announced_versions.h"
#include "ibislock/serving/quarantine_report.h"
#include "ibislock/side/daemon.h"
#include "port_limits.h"
#include "weights_agent.h"

#include <asio/ip/udp.hpp>

namespace ibislock::side
{

/// Connections for metrics that are kept; each collector has one or two.
inline constexpr std::size_t MaxMetricsConnections = 16;

/// Entry VMs that are known at a time; several times as many as a deployment has.
inline constexpr std::size_t MaxSubscribers = 2048;

/// The implementation of SideDaemon.
class Side
{
public:
    Side(asio::io_context &loop, platform::DaemonSettings settings, SideOptions options);
    ~Side();
    Side(const Side &) = delete;
    Side &operator=(const Side &) = delete;
    Result<void> start();
    void stop();

private:
    /// An entry VM from which messages arrive.
    struct Subscriber
    {
        Millis presentUntil{0};
        Millis loadsUntil{0}; ///< The load is reported to it until then.
        feed::SendTimePeer sender;
    };

    void applyOperatorRecord(const platform::KeyedRecord &record, bool live);
    std::vector<peer::Announcement> recentAnnouncements() const;

    /// Gives the agent the weights that the desired state and the announcements ask for, and steps the agent. Does
    /// nothing if the desired state is unknown, or if it has no model for the service of this VM.
    void updateDesiredWeights();
    void stepAgent();
    bool isListed() const;
    void receive();
    void publishLoad(bool force);
    void applyWatermark(const feed::OperatorsWatermark &level);
    void applySubscription(const peer::SubscribeMessage &message);

    /// Passes on what entry VMs know of prompts that crash engines.
    void shareQuarantine();
    void onEngineReport();

    /// Records which steps of the start are reached.
    void updateStartSteps(Millis now);
    void tick();
    std::string metricsText() const;
    void serveMetrics(const std::shared_ptr<net::Connection> &connection);

    asio::io_context &m_loop;
    platform::DaemonSettings m_settings;
    SideOptions m_options;
    net::HttpClient m_client;
    PortLimits m_portLimits;
    EngineMonitor m_engine;
    WeightsAgent m_agent;
    std::unique_ptr<feed::OperatorsFollower> m_operatorsFollower;
    std::unique_ptr<feed::ListingsFollower> m_listingsFollower;
    std::unique_ptr<net::Listener> m_metricsListener;
    asio::ip::udp::socket m_datagrams;
    asio::ip::udp::endpoint m_sender;
    std::array<char, 1500> m_buffer{};
    std::map<asio::ip::udp::endpoint, Subscriber> m_subscribers;
    feed::OperatorsView m_operators;
    Millis m_watermarkReadAt{0}; ///< When this VM itself last read the operators' topic.
    feed::OperatorsWatermark m_watermark; ///< The latest known end of the operators' topic.
    std::uint64_t m_incarnation;
    Random m_random;
    Millis m_startedAt = steadyMillis();
    StartSteps m_startSteps{m_startedAt};
    feed::SendTimeClock m_sendTimeClock; ///< Its times are of the boot clock.
    std::uint64_t m_sequence = 0;
    std::string m_lastPublished;
    Millis m_publishedAt{0};
    Millis m_reportSeenAt{0}; ///< When the engine's report arrived that was handled last.
    net::RecentConnections m_metricsConnections{MaxMetricsConnections};
    serving::PromptQuarantine m_quarantine; ///< What entry VMs report; its times are of the boot clock.
    Millis m_quarantineSharedAt{0};
    net::Timer m_tickTimer; ///< Detects stalls of the event loop.
    Millis m_tickDueAt{0}; ///< 0 before the first tick.
    LoopStalls m_stalls;
};

} // namespace ibislock::side
