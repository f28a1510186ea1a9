// A stand-in for an entry VM, for the tests of the target daemon.

#pragma once

#include "ibislock/peer/messages.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <optional>
#include <string>

namespace ibislock::side
{

/// A stand-in for an entry VM that receives the loads of one target VM.
class LoadListener
{
public:
    LoadListener(asio::io_context &loop, const std::string &ip, std::uint16_t port)
        : m_socket(loop, {asio::ip::make_address_v4(ip), port})
    {
        m_socket.non_blocking(true);
    }

    /// Subscribes to the loads of a VM, or renews the subscription.
    void subscribe(const std::string &vm)
    {
        const asio::ip::udp::endpoint to(asio::ip::make_address_v4(vm), m_socket.local_endpoint().port());
        m_socket.send_to(asio::buffer(peer::encode(peer::SubscribeMessage{.wantsLoads = true})), to);
    }

    /// Returns the latest load; nothing if none has arrived.
    std::optional<peer::LoadMessage> latest()
    {
        std::array<char, 1500> buf{};
        asio::error_code ec;
        for (std::size_t n = m_socket.receive(asio::buffer(buf), 0, ec); !ec;
             n = m_socket.receive(asio::buffer(buf), 0, ec)) {
            const auto message = peer::decodeDatagram({buf.data(), n});
            if (message && std::holds_alternative<peer::LoadMessage>(*message)) {
                m_latest = std::get<peer::LoadMessage>(*message);
            }
        }
        return m_latest;
    }

private:
    asio::ip::udp::socket m_socket;
    std::optional<peer::LoadMessage> m_latest;
};

} // namespace ibislock::side
