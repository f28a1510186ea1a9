// Stand-ins for a model runner with its stage, and for the origin of weights, on loopback.

#pragma once

#include "record.h"
#include "store.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace ibislock::review
{

inline constexpr int Pieces = 64;
inline constexpr std::size_t PieceBytes = 4096;

/// The bytes of a piece.
std::string pieceBytes(std::int64_t version, int piece);

/// Serves manifests and pieces of all versions.
class Origin
{
public:
    Origin(asio::io_context &loop, const std::string &ip);
    ~Origin();
    Origin(const Origin &) = delete;
    Origin &operator=(const Origin &) = delete;

    std::string address() const;

private:
    std::string m_ip;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
};

/// The runner. It holds version 1, which is also staged.
class Engine
{
public:
    Engine(asio::io_context &loop, Store &store, Record &record, const std::string &ip);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    std::string address() const;

    /// Turns a staged piece bad.
    void turnBad(int piece);

    /// Stands still for a time; then handles what has come meanwhile, in its order.
    void freeze(Millis time);

    std::function<void()> onOrder; ///< Called when an order arrives, before it is handled.
    int loads = 0;
    int violating = 0; ///< Loads with a piece that was missing, of another version, or bad for more than 3 s.
    int servedViolating = 0; ///< Requests that were run with such weights.
    int served = 0; ///< Requests that were run.

private:
    struct Staged
    {
        std::string bytes;
        std::optional<Millis> badSince;
    };

    void serve(const std::shared_ptr<net::Connection> &connection);
    void handle(const std::shared_ptr<net::Connection> &connection, const http::RequestHead &request,
                const std::string &body);
    void run(net::Connection &connection, const http::RequestHead &request);
    int acceptOrder(const std::string &body);
    std::string report() const;
    void beat();

    asio::io_context &m_loop;
    Store &m_store;
    Record &m_record;
    std::string m_ip;
    std::int64_t m_born;
    std::int64_t m_version = 1;
    bool m_usable = true;
    bool m_loading = false;
    bool m_frozen = false;
    int m_orders = 0;
    int m_writes = 0;
    std::map<int, Staged> m_stage;
    std::deque<std::function<void()>> m_arrived;
    std::vector<std::shared_ptr<net::Connection>> m_connections;
    net::Listener m_listener;
    net::Timer m_thaw;
    net::Timer m_load;
    net::Timer m_beat;
};

} // namespace ibislock::review
