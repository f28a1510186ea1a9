#include "ibislock/feed/peer_link.h"

namespace ibislock::feed
{

PeerLink::PeerLink(asio::io_context &loop, std::uint16_t port, PeerLinkEvents events)
    : m_loop(loop)
    , m_port(port)
    , m_events(std::move(events))
{
}

PeerLink::~PeerLink()
{
    close();
}

const std::string &PeerLink::vm() const
{
    return m_vm;
}

Millis PeerLink::heardAt() const
{
    return m_heardAt;
}

void PeerLink::send(const std::string &vm, std::string bytes)
{
    if (m_connection && m_connection->isOpen() && vm == m_vm) {
        m_connection->write(bytes);
        return;
    }
    close();
    m_vm = vm;
    connect(std::move(bytes));
}

void PeerLink::connect(std::string bytes)
{
    asio::error_code ec;
    const auto address = asio::ip::make_address_v4(m_vm, ec);
    if (ec) {
        return; // The ask runs out of time.
    }
    m_connecting = std::make_shared<asio::ip::tcp::socket>(m_loop);
    m_connecting->async_connect(
        {address, m_port}, [this, socket = m_connecting, bytes = std::move(bytes)](const asio::error_code &failed) {
            if (m_connecting != socket) {
                return; // Given up meanwhile.
            }
            m_connecting.reset();
            if (failed) {
                m_events.lost("not connected");
                return;
            }
            m_reader = {};
            m_connection = net::Connection::adopt(std::move(*socket));
            m_connection->start({
                .data = [this](std::string_view data) { onData(data); },
                .closed = [this](net::ClosedBy) { m_events.lost("connection lost"); },
            });
            m_connection->write(bytes);
        });
}

void PeerLink::onData(std::string_view bytes)
{
    m_heardAt = steadyMillis();
    m_reader.add(bytes);
    const auto connection = m_connection; // Kept while its bytes are read; the link may be closed meanwhile.
    while (m_connection == connection) {
        const auto body = m_reader.next();
        if (!body && body.error().code == ErrorCode::NotFound) {
            return;
        }
        if (!body) {
            m_events.lost("unreadable frame");
            return;
        }
        m_events.frame(*body);
    }
}

void PeerLink::close()
{
    m_connecting.reset();
    if (m_connection) {
        m_connection->close();
        m_connection.reset();
    }
}

} // namespace ibislock::feed
