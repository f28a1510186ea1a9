// A stand-in for the platform's store on loopback, for readers: the topics `keyed.op` and `keyed.servers`, which the
// operator and the runners write to. It is linearizable and loses nothing.

#pragma once

#include "ibislock/http/reader.h"
#include "ibislock/net/connection.h"

#include <map>
#include <string>
#include <vector>

namespace ibislock::review
{

/// The store.
class Store
{
public:
    Store(asio::io_context &loop, const std::string &ip);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::string address() const;

    /// Appends a record; an empty value deletes the key.
    void append(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Stored
    {
        std::string key;
        std::string value;
    };

    struct Waiting
    {
        std::shared_ptr<net::Connection> connection;
        std::string topic;
        std::size_t from = 0;
        Millis until{0};
    };

    void serve(const std::shared_ptr<net::Connection> &connection);
    void answer(const std::shared_ptr<net::Connection> &connection, const http::RequestHead &request);
    void answerRead(net::Connection &connection, const std::string &topic, std::size_t from);
    std::string snapshot(const std::string &topic, const std::string &after) const;
    void answerWaiting();
    void tick();

    asio::io_context &m_loop;
    std::string m_ip;
    std::map<std::string, std::vector<Stored>> m_topics;
    std::vector<Waiting> m_waiting;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
    net::Timer m_tick;
};

} // namespace ibislock::review
