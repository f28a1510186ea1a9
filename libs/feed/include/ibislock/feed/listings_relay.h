// Answers other VMs that ask for listings of targets, from what this VM knows.
//
//     ListingsRelay relay(loop, cache);
//     relay.open("10.0.0.1", 7715);
//     relay.answerWaiting();              // after each change of the cache

#pragma once

#include "ibislock/feed/listings_cache.h"
#include "ibislock/net/connection.h"

namespace ibislock::feed
{

/// The relay.
class ListingsRelay
{
public:
    /// @param cache is read for each answer; outlives the relay.
    /// @param level is asked for each answer.
    ListingsRelay(asio::io_context &loop, const ListingsCache &cache, std::function<peer::TopicLevel()> level);
    ~ListingsRelay();
    ListingsRelay(const ListingsRelay &) = delete;
    ListingsRelay &operator=(const ListingsRelay &) = delete;

    /// Begins to listen.
    /// @return nothing, or what failed.
    asio::error_code open(const std::string &ip, std::uint16_t port);

    /// Answers those whose changes are known now, and those who have waited for long enough.
    void answerWaiting();

    /// Notes that the store came back from an outage, by the boot clock.
    void noteStoreBack(Millis at);

    /// How many asks have been answered.
    std::uint64_t answers() const;

private:
    struct Waiting
    {
        std::weak_ptr<net::Connection> connection;
        peer::ListingsAsk ask;
        Millis since{0}; ///< By the boot clock.
    };

    void serve(const std::shared_ptr<net::Connection> &connection);
    bool isDue(const Waiting &waiting, Millis now) const;
    peer::ListingsUpdate answerTo(const Waiting &waiting, Millis now) const;
    void tick();

    const ListingsCache &m_cache;
    std::function<peer::TopicLevel()> m_level;
    net::Listener m_listener;
    asio::steady_timer m_tick;
    std::vector<Waiting> m_waiting;
    std::map<const net::Connection *, std::shared_ptr<net::Connection>> m_connections;
    std::optional<Millis> m_storeBackAt;
    std::uint64_t m_answers = 0;
};

} // namespace ibislock::feed
