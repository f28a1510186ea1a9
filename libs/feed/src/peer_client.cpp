#include "ibislock/feed/peer_client.h"

namespace ibislock::feed
{

PeerClient::PeerClient(asio::io_context &loop, std::uint16_t port, PeerClientEvents events)
    : m_loop(loop)
    , m_port(port)
    , m_events(std::move(events))
{
}

PeerClient::~PeerClient()
{
    close();
}

const std::string &PeerClient::vm() const
{
    return m_vm;
}

Millis PeerClient::lastReceivedAt() const
{
    return m_lastReceivedAt;
}

void PeerClient::send(const std::string &vm, std::string bytes)
{
    if (m_connection && m_connection->isOpen() && vm == m_vm) {
        m_connection->write(bytes);
        return;
    }
    close();
    m_vm = vm;
    connect(std::move(bytes));
}

void PeerClient::connect(std::string bytes)
{
    asio::error_code ec;
    const auto address = asio::ip::make_address_v4(m_vm, ec);
    if (ec) {
        return; // The request times out.
    }
    m_connecting = std::make_shared<asio::ip::tcp::socket>(m_loop);
    m_connecting->async_connect(
        {address, m_port},
        [this, socket = m_connecting, bytes = std::move(bytes)](const asio::error_code &connectError) {
            if (m_connecting != socket) {
                return; // Closed or replaced meanwhile.
            }
            m_connecting.reset();
            if (connectError) {
                m_events.onLost("not connected");
                return;
            }
            m_reader = {};
            m_connection = net::Connection::adopt(std::move(*socket));
            m_connection->start({
                .data = [this](std::string_view data) { onData(data); },
                .closed = [this](net::CloseReason) { m_events.onLost("connection lost"); },
            });
            m_connection->write(bytes);
        });
}

void PeerClient::onData(std::string_view bytes)
{
    m_lastReceivedAt = steadyMillis();
    m_reader.add(bytes);
    const auto connection = m_connection; // Keeps the connection alive: a callback may close the client.
    while (m_connection == connection) {
        const auto body = m_reader.next();
        if (!body && body.error().code == ErrorCode::NotFound) {
            return;
        }
        if (!body) {
            m_events.onLost("unreadable frame");
            return;
        }
        m_events.onFrame(*body);
    }
}

void PeerClient::close()
{
    m_connecting.reset();
    if (m_connection) {
        m_connection->close();
        m_connection.reset();
    }
}

} // namespace ibislock::feed
