// A stand-in for the platform's store: one keyed topic in memory, served over HTTP on loopback. It can be restored from
// an older copy. What the contract leaves open: the connections are closed at that moment, and a read from behind the
// end gets 410.

#pragma once

#include "ibislock/http/reader.h"
#include "ibislock/net/connection.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

namespace ibislock::lab
{

/// The store.
class StoreStandIn
{
public:
    explicit StoreStandIn(asio::io_context &loop);

    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    std::uint16_t port() const;

    /// Appends a record; a read that waits gets it at once.
    void append(const std::string &key, const std::string &value);

    /// Drops all records before an offset.
    void trim(std::size_t before);

    /// Returns the number of records that have been appended, less those that were lost.
    std::size_t size() const;

    /// Comes back from a copy that has the first `n` records only, in the next era. All connections are closed.
    void restore(std::size_t n);

    std::int64_t era = 0; ///< Sent with each response; none is sent while it is 0.
    int snapshots = 0;
    int reads = 0;
    std::map<std::pair<std::string, std::string>, int>
        recordsSent; ///< How often a record was part of an answer, by the topic that was asked for and the key.
    int refusals = 0; ///< Calls that are still to be refused with 503.
    bool silent = false; ///< Calls get no answer.
    int losses = 0; ///< Calls that are still to get no answer.
    std::size_t lastWait = 0; ///< How long the last read allowed to be held back, in milliseconds.
    Millis delay{0}; ///< Until a read is answered.
    bool omitsDeleted = false; ///< Snapshots leave out keys whose newest record has no value.
    std::size_t snapshotPageSize = 0; ///< How many records a page of a snapshot has at most; 0 for all.
    Millis snapshotDelay{0}; ///< Until a page of a snapshot is sent.
    Millis spread{0}; ///< The answer to a read comes in over this time, a part each `PartPause`.

    /// Between two parts of an answer that is spread.
    static constexpr Millis PartPause{50};

private:
    struct Waiting
    {
        std::weak_ptr<net::Connection> connection;
        std::string topic;
        std::size_t from = 0;
        std::uint64_t number = 0; ///< Counts the reads that were held back.
    };

    void serve(const std::shared_ptr<net::Connection> &connection);
    void answer(net::Connection &connection, const http::RequestHead &request);
    void answerReadLater(const std::shared_ptr<net::Connection> &connection, const std::string &topic,
                         std::size_t from);
    void answerRead(net::Connection &connection, const std::string &topic, std::size_t from);
    void hold(net::Connection &connection, const std::string &topic, std::size_t from, Millis time);
    void writeInParts(const std::shared_ptr<net::Connection> &connection, std::string bytes, std::size_t part);
    std::string snapshot(const std::string &topic, const std::string &after);
    http::ResponseHead headWith(int status) const;

    asio::io_context &m_loop;
    std::vector<std::pair<std::string, std::string>> m_records;
    std::size_t m_first = 0;
    std::vector<Waiting> m_waiting;
    std::uint64_t m_holds = 0;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
};

} // namespace ibislock::lab
