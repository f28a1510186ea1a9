// A connection to one other VM at a time, over which asks go out and frames come back.
//
//     PeerLink link(loop, 7715, {.frame = [](const std::string &body) {...}, .lost = [](std::string_view cause)
//     {...}}); link.send("10.0.0.1", encode(ask));

#pragma once

#include "ibislock/net/connection.h"
#include "ibislock/peer/frames.h"

namespace ibislock::feed
{

/// What the owner of a link is told.
struct PeerClientEvents
{
    std::function<void(const std::string &body)> onFrame;
    std::function<void(std::string_view cause)> onLost; ///< The other VM can't be reached, or sent what is no frame.
};

/// The link.
class PeerClient
{
public:
    /// @param port at which VMs are asked.
    PeerClient(asio::io_context &loop, std::uint16_t port, PeerClientEvents events);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends bytes to a VM, over the connection that is there or a new one.
    /// @param vm its address.
    void send(const std::string &vm, std::string bytes);

    /// Ends the connection.
    void close();

    /// The VM that was sent something last.
    const std::string &vm() const;

    /// When bytes came in last; monotonic time.
    Millis lastReceivedAt() const;

private:
    void connect(std::string bytes);
    void onData(std::string_view bytes);

    asio::io_context &m_loop;
    std::uint16_t m_port;
    PeerClientEvents m_events;
    std::string m_vm;
    std::shared_ptr<asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<net::Connection> m_connection;
    peer::FrameReader m_reader;
    Millis m_lastReceivedAt{0};
};

} // namespace ibislock::feed
