// A listener whose accept queue is full: a connection to it is established once there is room, with the next
// retransmission of the system, a second or more after it was begun.

#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <string>

namespace ibislock::front
{

/// The listener; it accepts one connection, keeps what arrives there first, and closes it without a response.
class FullListener
{
public:
    explicit FullListener(asio::io_context &loop)
        : m_acceptor(loop)
        , m_filler(loop)
        , m_accepted(loop)
    {
        const asio::ip::tcp::endpoint any(asio::ip::make_address_v4("127.0.0.1"), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(0); // The system queues one connection.
        m_filler.connect(m_acceptor.local_endpoint());
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /// Accepts the next connection as soon as it is established.
    void makeRoom()
    {
        m_acceptor.accept();
        m_acceptor.async_accept(m_accepted, [this](const asio::error_code &ec) {
            if (!ec) {
                m_hasAccepted = true;
                read();
            }
        });
    }

    bool hasAccepted() const
    {
        return m_hasAccepted;
    }

    const std::string &received() const
    {
        return m_received;
    }

private:
    void read()
    {
        m_accepted.async_read_some(asio::buffer(m_buffer), [this](const asio::error_code &, std::size_t n) {
            m_received.append(m_buffer.data(), n);
            asio::error_code ec; // Nothing depends on how it is closed.
            m_accepted.close(ec);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_filler;
    asio::ip::tcp::socket m_accepted;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    bool m_hasAccepted = false;
};

} // namespace ibislock::front
