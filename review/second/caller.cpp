#include "caller.h"

#include <algorithm>
#include <array>
#include <asio/write.hpp>

namespace ibislock::review
{

namespace
{

/// Interval between two reads.
constexpr Millis ReadTime{10};

/// Receive buffer of a caller, in bytes.
constexpr int ReceiveBuffer = 16 * 1024;

} // namespace

Caller::Caller(asio::io_context &loop, Record &record, CallerOptions options)
    : m_record(record)
    , m_options(std::move(options))
    , m_socket(loop)
    , m_reader(http::MessageKind::Response, {})
    , m_timer(loop)
{
}

Caller::~Caller() = default;

const CallerRequest &Caller::request() const
{
    return m_request;
}

bool Caller::isDone() const
{
    return m_request.whole || m_request.closed;
}

bool Caller::connect()
{
    if (m_socket.is_open()) {
        return true;
    }
    asio::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(m_options.ip, ec), m_options.port);
    m_socket.open(endpoint.protocol(), ec);
    m_socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer), ec);
    m_socket.connect(endpoint, ec);
    if (ec) {
        m_record.write(m_options.name, "can't connect: " + ec.message());
        return false;
    }
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    return true;
}

void Caller::send(const std::string &path, Millis deadline, std::size_t bytesPerSecond, Millis pause)
{
    m_request = {
        .attempt = m_options.name + "-" + std::to_string(++m_requests), .sentAt = steadyMillis(), .deadline = deadline};
    m_bytesPerSecond = bytesPerSecond;
    m_bytesRead = 0;
    m_readFrom = steadyMillis() + pause;
    m_reader.next();
    if (!connect()) {
        onEnd("has no connection");
        return;
    }
    http::RequestHead head{.method = "GET", .target = path};
    head.headers.add("Host", "h");
    head.headers.add("X-Ibislock-Attempt-Id", m_request.attempt);
    head.headers.add("X-Ibislock-Deadline-Ms", std::to_string(deadline.count()));
    asio::error_code ec;
    asio::write(m_socket, asio::buffer(http::writeRequest(head, "")), ec);
    m_record.write(m_options.name,
                   "sends " + m_request.attempt + " (" + path + "), time limit " + std::to_string(deadline.count())
                       + " ms" + (ec ? ", which fails: " + ec.message() : ""));
    m_timer.start(std::max(pause, ReadTime), [this] { read(); });
}

void Caller::read()
{
    std::array<char, 64 * 1024> buffer{};
    const auto elapsed = static_cast<std::size_t>((steadyMillis() - m_readFrom).count());
    std::size_t allowed = buffer.size();
    if (m_bytesPerSecond > 0) {
        const std::size_t due = m_bytesPerSecond * elapsed / 1000;
        allowed = due > m_bytesRead ? std::min(due - m_bytesRead, buffer.size()) : 0;
    }
    if (allowed > 0) {
        asio::error_code ec;
        const std::size_t n = m_socket.read_some(asio::buffer(buffer.data(), allowed), ec);
        m_bytesRead += n;
        if (ec == asio::error::would_block || ec == asio::error::try_again) {
            // Nothing has come: the time of waiting doesn't count as time of reading.
            m_readFrom = steadyMillis();
            m_bytesRead = 0;
        } else if (ec) {
            onEnd("sees its connection end (" + ec.message() + ")");
            return;
        } else {
            onBytes(std::string_view(buffer.data(), n));
        }
    }
    if (!isDone()) {
        m_timer.start(m_bytesPerSecond == 0 && allowed > 0 ? Millis{1} : ReadTime, [this] { read(); });
    }
}

void Caller::onBytes(std::string_view bytes)
{
    const auto used = m_reader.feed(bytes);
    m_request.bodyBytes += m_reader.takeBody().size();
    if (!used) {
        onEnd("gets bytes that are no answer");
        return;
    }
    m_request.status = m_reader.headComplete() ? m_reader.response().status : 0;
    if (m_reader.complete()) {
        m_request.whole = true;
        m_request.endedAt = steadyMillis();
        m_record.write(m_options.name,
                       "has the whole answer to " + m_request.attempt + ", status " + std::to_string(m_request.status)
                           + ", " + std::to_string(m_request.bodyBytes) + " bytes");
        if (!m_reader.response().keepAlive) {
            asio::error_code ec;
            m_socket.close(ec);
        }
    }
}

void Caller::onEnd(const std::string &how)
{
    m_request.closed = true;
    m_request.endedAt = steadyMillis();
    asio::error_code ec;
    m_socket.close(ec);
    m_record.write(m_options.name,
                   how + " without the whole answer to " + m_request.attempt + ", "
                       + std::to_string((m_request.endedAt - m_request.sentAt).count())
                       + " ms after it was sent; status " + std::to_string(m_request.status) + ", "
                       + std::to_string(m_request.bodyBytes) + " bytes");
}

} // namespace ibislock::review
