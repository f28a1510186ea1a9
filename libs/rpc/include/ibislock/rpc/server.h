// Accepts RPC from other processes and hands it to the daemon.
//
// Handlers run on the event loop and must not block. A request is handed over together with a writer; the daemon
// answers from a thread of its own.
//
//     Server server(loop, {.address = "127.0.0.1:0"}, handlers);
//     server.port();

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/error.h"
#include "ibislock/membership/report.h"
#include "ibislock/requests/request.h"
#include "ibislock/rpc/event_loop.h"
#include "ibislock/security/tls.h"
#include "ibislock/weights/chunk_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibislock::rpc
{

/// How old the word on a failure domain is.
struct DomainAge
{
    std::string domain;
    Millis age{0};
};

/// What two VMs swap: signs of life, and what changed since the last exchange.
struct Exchange
{
    membership::Heartbeat from;
    std::uint64_t peerIncarnation = 0; ///< The life of the receiver that `taken` belongs to.
    std::uint64_t taken = 0; ///< The receiver's changes up to here are known to the sender.
    std::uint64_t fingerprint = 0; ///< Of all that the sender knows of the VMs.
    std::uint64_t upTo = 0; ///< The sender's changes up to here are in `news`, or known to the receiver.
    std::vector<membership::MembershipUpdate> news;
    std::vector<DomainAge> domains;
    bool wantsReport = false; ///< The sender lacks the receiver's report.
    bool wantsNews = true; ///< Whether the sender takes news from the receiver.
};

/// What a VM that is behind lacks: records from some offset on, or the whole state, or nothing.
struct StateDelta
{
    std::uint64_t first = 0; ///< The offset of the first record.
    std::vector<std::string> records;
    std::string state; ///< The encoded state; empty when the records suffice.
};

/// Which chunks of a version a process holds.
struct HaveReply
{
    std::uint64_t revision = 0; ///< Differs whenever the bitmap does; zero when nothing is told.
    std::string bitmap; ///< Bit i stands for chunk i.
};

/// A chunk to send, after a delay that the sender's rate limit asks for.
struct ChunkReply
{
    weights::ChunkBytes bytes; ///< Null when the chunk is not held, or not sent.
    Millis delay{0};
    bool busy = false; ///< The chunk is held and not sent, since too many others wait for the link.
    Millis wait{0}; ///< How long the queue for the link is.
    HaveReply held; ///< What else is held of the version.
};

/// Writes the answer to one request. Usable from any thread but the event loop's.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    /// Sends the next part, and waits while the receiver is behind.
    /// @return false once the caller has gone.
    virtual bool part(std::string_view data) = 0;

    /// Ends the answer; parts and bytes are filled in. Only the first call counts.
    virtual void finish(requests::ResponseEnd end) = 0;

    /// Tells whether the caller has gone.
    virtual bool isCancelled() const = 0;
};

/// What a daemon does with the calls that it receives. A handler that is not set refuses its call.
struct Handlers
{
    std::function<Exchange(const Exchange &)> exchange;
    std::function<StateDelta(std::uint64_t after)> state;
    std::function<void(std::uint64_t bytes)> traffic; ///< Told of the bytes of each call of the two above.
    std::function<ChunkReply(const Digest &chunk, const Digest &root)> chunk;
    std::function<std::optional<std::string>(const Digest &root)> manifest;
    std::function<std::optional<HaveReply>(const Digest &root)> have;
    std::function<void(requests::Request, std::shared_ptr<AnswerWriter>)> submit;
    /// Withdraws a request; true only when it has not started and never will.
    std::function<bool(const std::string &id, std::uint64_t incarnation)> revoke;
    /// Is told why a connection or a call of another process was refused.
    std::function<void(const std::string &reason)> peerRefused;
};

/// Where to listen, and how peers prove who they are.
struct ServerOptions
{
    std::string address = "127.0.0.1"; ///< The IP number to listen on.
    std::uint16_t port = 0; ///< Zero lets the system choose.
    std::shared_ptr<const security::TlsStore> tls; ///< Null for plain text.
    Millis handshakeTimeout{5000};
    std::size_t connectionsMax = 4096; ///< Open at the same time; others wait in the system's queue.
    std::uint64_t unfinishedBytesMax = 512ULL << 20; ///< Of large messages that haven't come whole, in all.
};

/// Listens until destroyed.
class Server
{
public:
    Server(const EventLoop &loop, const ServerOptions &options, Handlers handlers);
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Gives the port that the server listens on.
    std::uint16_t port() const;

private:
    struct Impl;

    const EventLoop &m_loop;
    std::unique_ptr<Impl> m_impl;
    std::uint16_t m_port = 0;
};

} // namespace ibislock::rpc
