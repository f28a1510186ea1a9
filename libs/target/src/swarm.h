// Carries out one transfer: asks as the planner says, verifies what comes, and keeps it.

#pragma once

#include "fetcher.h"

#include <condition_variable>
#include <deque>
#include <variant>

namespace ibislock::target
{

/// What a source says that it holds.
struct HoldingsEvent
{
    std::string source;
    Result<rpc::HaveReply> reply;
};

/// How a call for a chunk ended.
struct ChunkEvent
{
    std::size_t chunk = 0;
    std::string source; ///< Empty for the origin.
    Result<rpc::ChunkAnswer> answer;
};

using SwarmEvent = std::variant<HoldingsEvent, ChunkEvent>;

/// Events from other threads for the transfer's thread. It outlives the transfer while calls are in progress.
class Inbox
{
public:
    void push(SwarmEvent event);

    /// Takes all events; waits for the first.
    std::deque<SwarmEvent> take(Millis timeout);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<SwarmEvent> m_events;
};

/// One transfer.
class Swarm
{
public:
    Swarm(const FetchContext &context, Links &links, OriginReader &origin, Random &random,
          const configuration::VmAssignment &duty, const weights::Manifest &manifest, const ChunkSink &sink);

    /// Runs until the version is complete.
    /// @return nothing, or why the transfer ended before.
    Result<void> run(const Withdrawn &withdrawn);

private:
    void refresh();
    void applyPairShare();
    void askHoldings(const std::string &source, Millis hold);
    void noteHoldings(const std::string &source, const rpc::HaveReply &held);
    void askQuietSources();
    void issueDraws();
    void issue(const weights::ChunkRequest &draw);
    void handle(HoldingsEvent &event);
    void handle(ChunkEvent &event);
    void keep(const ChunkEvent &event, std::string bytes);
    void fail(const ChunkEvent &event, weights::FetchFailure reason, Millis wait);
    void checkOrigin();
    Millis drawWait() const;
    std::string domainOf(const std::string &source) const;

    const FetchContext &m_context;
    Links &m_links;
    OriginReader &m_origin;
    Random &m_random;
    const configuration::VmAssignment &m_duty;
    const weights::Manifest &m_manifest;
    const ChunkSink &m_sink;
    std::shared_ptr<Inbox> m_inbox = std::make_shared<Inbox>();
    weights::Transfer m_transfer;
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::uint64_t> m_revisions; ///< By source: the revision of its holdings that is known.
    std::map<std::string, Millis> m_askAt; ///< By source without a call in progress: when to ask what it holds.
    Millis m_refreshedAt{0};
    Millis m_checkedAt{0};
    Result<void> m_outcome;
};

} // namespace ibislock::target
