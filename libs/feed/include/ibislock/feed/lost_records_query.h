// At the start of a process, asks other VMs for records that are in force there and that the topic lacks, as the store
// was restored from an older copy.
//
//     LostRecordsQuery query(loop, {.ip = "10.0.0.1", .port = 7715}, [](auto records) {...});
//     query.setVms(entryVms);                 // whenever they are reported
//     query.start(feed.position());           // after the first snapshot
//     if (query.completed()) { ... }          // what was read is as new as what others go by

#pragma once

#include "ibislock/feed/peer_client.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/records.h"

#include <optional>
#include <set>

namespace ibislock::feed
{

/// How many VMs are asked; one that was started behind the restore itself may have nothing to send.
inline constexpr std::size_t MaxVmsAskedForLostRecords = 3;

/// Settings of a query.
struct LostRecordsQueryOptions
{
    std::string ip; ///< The address of this VM.
    std::uint16_t port = 0; ///< The port on which other VMs listen.
    Millis responseTime{200}; ///< How long a VM may take to respond, and how long a response may stall.
    Millis maxWait{1000}; ///< The query counts as completed after this time, though no VM may have responded.
};

/// Asks other VMs for lost records.
class LostRecordsQuery
{
public:
    /// @param deliver is called with the records that a VM has sent; their positions mean nothing.
    LostRecordsQuery(asio::io_context &loop, LostRecordsQueryOptions options,
                     std::function<void(const std::string &vm, const std::vector<peer::TopicRecord> &records)> deliver);

    /// Starts to ask, unless the store has never reported an era, and so was never restored. Only the first call has
    /// an effect.
    /// @param position the end of the first snapshot.
    void start(const TopicPosition &position);

    /// Sets the VMs that may be asked, as reported by the relay, whose own records have been delivered. Those that are
    /// reported only after `maxWait` are asked, too.
    void setVms(const std::vector<std::string> &vms);

    /// Returns whether the relay of the listings is to be asked, too: it may be the only VM that has the records.
    bool wantsRelay() const;

    /// Returns whether the VMs that are known have been asked, or `maxWait` has passed since the start.
    bool completed() const;

private:
    void askNext();
    void awaitResponse(Millis time);
    void handleFrame(const std::string &body);
    void finishRequest();

    LostRecordsQueryOptions m_options;
    std::function<void(const std::string &, const std::vector<peer::TopicRecord> &)> m_deliver;
    PeerClient m_client;
    net::Timer m_responseTimer;
    net::Timer m_waitTimer;
    std::vector<std::string> m_vms; ///< In the order in which they are asked.
    std::set<std::string, std::less<>> m_asked;
    std::optional<TopicPosition> m_position; ///< The end of the first snapshot; none before.
    std::size_t m_responses = 0;
    std::uint32_t m_sequence = 0;
    bool m_vmsKnown = false;
    bool m_asking = false;
    bool m_waitOver = false;
};

} // namespace ibislock::feed
