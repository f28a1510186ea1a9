#include "limits/caller_crowd.h"

#include "ibislock/base/clock.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibislock::lab
{

namespace
{

/// Pause before a closed connection is opened again, so that a refusing daemon isn't kept busy with that alone.
constexpr std::int64_t ReopenMs = 100;

/// Wait for a socket that can go on.
constexpr int PollMs = 10;

/// Bytes that a connection sends at most before the next one has its turn.
constexpr std::size_t TurnBytes = 512 * 1024;

/// Receive buffer of a connection that doesn't read, so that little of a response fits into it.
constexpr int SmallBuffer = 4096;

} // namespace

CallerCrowd::CallerCrowd(std::vector<CrowdKind> kinds, std::uint16_t port)
    : m_kinds(std::move(kinds))
    , m_port(port)
{
    for (const CrowdKind &kind : m_kinds) {
        for (unsigned n = 0; n < kind.connections; ++n) {
            m_members.push_back({.kind = &kind});
        }
    }
}

CallerCrowd::~CallerCrowd()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    for (const Member &member : m_members) {
        if (member.fd >= 0) {
            ::close(member.fd);
        }
    }
}

void CallerCrowd::start()
{
    m_thread = std::thread([this] { run(); });
}

bool CallerCrowd::sentOnce() const
{
    return m_done == m_members.size();
}

void CallerCrowd::run()
{
    while (!m_stopping) {
        const std::int64_t now = steadyMillis().count();
        std::vector<pollfd> polled;
        for (Member &member : m_members) {
            if (member.fd < 0 && now >= member.openAgainAt) {
                open(member);
            }
            const bool hasMore =
                member.sent < member.kind->begin.size() + member.kind->piece.size() * member.kind->pieces;
            const int events = (hasMore ? POLLOUT : 0) | (member.kind->reads ? POLLIN : 0) | POLLRDHUP;
            polled.push_back({.fd = member.fd, .events = static_cast<short>(events), .revents = 0});
        }
        poll(polled.data(), polled.size(), PollMs);
        for (std::size_t n = 0; n < m_members.size(); ++n) {
            if (polled[n].revents != 0) {
                step(m_members[n], polled[n].revents);
            }
        }
    }
}

void CallerCrowd::open(Member &member) const
{
    member.sent = 0;
    member.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (!member.kind->reads) {
        setsockopt(member.fd, SOL_SOCKET, SO_RCVBUF, &SmallBuffer, sizeof SmallBuffer);
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(m_port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(connect(member.fd, reinterpret_cast<const sockaddr *>(&to), sizeof to)); // poll() tells the end
}

void CallerCrowd::close(Member &member)
{
    ::close(member.fd);
    member.fd = -1;
    member.openAgainAt = steadyMillis().count() + ReopenMs;
    markDone(member);
}

void CallerCrowd::markDone(Member &member)
{
    m_done += member.done ? 0 : 1;
    member.done = true;
}

bool CallerCrowd::send(Member &member) const
{
    const CrowdKind &kind = *member.kind;
    const std::size_t all = kind.begin.size() + kind.piece.size() * kind.pieces;
    for (std::size_t turn = 0; member.sent < all && turn < TurnBytes;) {
        const bool first = member.sent < kind.begin.size();
        const std::string &source = first ? kind.begin : kind.piece;
        const std::size_t from = first ? member.sent : (member.sent - kind.begin.size()) % kind.piece.size();
        const ssize_t n = ::send(member.fd, source.data() + from, source.size() - from, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            return errno == EAGAIN || errno == ENOTCONN;
        }
        member.sent += static_cast<std::size_t>(n);
        turn += static_cast<std::size_t>(n);
    }
    return true;
}

void CallerCrowd::step(Member &member, short events)
{
    if ((events & POLLIN) != 0) {
        std::array<char, 65536> buffer{};
        if (recv(member.fd, buffer.data(), buffer.size(), MSG_DONTWAIT) == 0) {
            close(member);
            return;
        }
    }
    const bool ended = (events & (POLLERR | POLLHUP)) != 0 || ((events & POLLRDHUP) != 0 && !member.kind->reads);
    if (ended || ((events & POLLOUT) != 0 && !send(member))) {
        close(member);
        return;
    }
    if (member.sent == member.kind->begin.size() + member.kind->piece.size() * member.kind->pieces) {
        markDone(member);
    }
}

} // namespace ibislock::lab
