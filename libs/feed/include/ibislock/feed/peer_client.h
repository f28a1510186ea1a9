// A connection to one other VM at a time, over which requests are sent and frames are received.
//
//     PeerClient client(loop, 7715, {.onFrame = [](const std::string &body) {...},
//                                    .onLost = [](std::string_view cause) {...}});
//     client.send("10.0.0.1", encode(request));

#pragma once

#include "ibislock/net/connection.h"
#include "ibislock/peer/frames.h"

namespace ibislock::feed
{

/// Callbacks of a client.
struct PeerClientEvents
{
    std::function<void(const std::string &body)> onFrame;
    /// The VM can't be reached, the connection ended, or a frame is invalid.
    std::function<void(std::string_view cause)> onLost;
};

/// Sends requests to one VM at a time and delivers the frames that it sends back.
class PeerClient
{
public:
    /// @param port the port on which the VMs listen.
    PeerClient(asio::io_context &loop, std::uint16_t port, PeerClientEvents events);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Sends bytes to a VM, over the current connection if that is open and leads there, else over a new one. Nothing
    /// is sent to an invalid address: the request then times out.
    /// @param vm the IPv4 address of the VM.
    void send(const std::string &vm, std::string bytes);

    /// Closes the connection, also one that is being established.
    void close();

    /// Returns the address of the VM for which `send` was last called.
    const std::string &vm() const;

    /// Returns when bytes were last received, in monotonic time.
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
