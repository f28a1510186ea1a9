// Calls to other processes. Connections are made on first use, shared, and dropped when they fail.
//
//     Client client(loop, {});
//     Result<Exchange> reply = client.exchange("127.0.0.1:7100", exchange);
//     std::shared_ptr<AnswerStream> answer = client.submit("127.0.0.1:7100", request);
//
// Every call blocks its thread until it ends or its deadline passes, but for those that take a handler. No call may be
// made from the event loop.

#pragma once

#include "ibislock/requests/request.h"
#include "ibislock/rpc/server.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <variant>

namespace ibislock::rpc
{

/// Deadlines of the calls, and how this process proves who it is.
struct ClientOptions
{
    Millis connectTimeout{500};
    Millis exchangeTimeout{2000};
    Millis revokeTimeout{300};
    std::shared_ptr<const security::TlsStore> tls; ///< Null for plain text.
};

/// The answer to a call for a chunk.
struct ChunkAnswer
{
    bool found = false;
    bool busy = false; ///< Held there, and refused for now.
    Millis wait{0}; ///< How long the sender's queue is.
    std::string bytes; ///< Not yet verified.
    HaveReply held; ///< What else the sender holds of the version.
};

/// Takes the result of a call. It runs on the event loop and must not block.
template <typename T>
using ResultHandler = std::function<void(Result<T>)>;

/// Tells whether an address may be connected to.
using Reachable = std::function<bool(const std::string &address)>;

/// The next thing that an answer brings.
using AnswerEvent = std::variant<requests::ResponsePart, requests::ResponseEnd, Error>;

/// An answer as it arrives. Parts queue up here; the sender waits while too many do.
class AnswerStream
{
public:
    virtual ~AnswerStream() = default;

    /// Waits for the next event.
    /// @param timeout how long to wait.
    /// @return the event; a DeadlineExceeded error when none came in time.
    virtual AnswerEvent next(Millis timeout) = 0;

    /// Withdraws the request.
    virtual void cancel() = 0;
};

/// Calls to other processes.
class Client
{
public:
    Client(const EventLoop &loop, const ClientOptions &options);
    ~Client();

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Swaps signs of life and news with another process.
    Result<Exchange> exchange(const std::string &address, const Exchange &exchange);

    /// Asks for what lies beyond an offset.
    Result<StateDelta> state(const std::string &address, std::uint64_t after);

    /// Sets who is told of the bytes of each call of the two above. Call before the first of them.
    void setTraffic(std::function<void(std::uint64_t bytes)> traffic);

    /// Asks for a chunk of a version without blocking.
    /// @param timeout when to give up.
    /// @param handler takes the result, unless the client is destroyed before.
    void chunkAsync(const std::string &address, const Digest &digest, const Digest &root, Millis timeout,
                    ResultHandler<ChunkAnswer> handler);

    /// Asks which chunks of a version are held, without blocking.
    /// @param known the revision that the caller has.
    /// @param hold how long the other may wait for a change.
    /// @param handler takes the result, unless the client is destroyed before. NotFound: the version is not known
    /// there.
    void haveAsync(const std::string &address, const Digest &root, std::uint64_t known, Millis hold,
                   ResultHandler<HaveReply> handler);

    /// Asks for a manifest.
    /// @return the document, not yet verified; NotFound; or Unavailable.
    Result<std::string> manifest(const std::string &address, const Digest &root);

    /// Submits a request. An Unavailable error as the first event proves that it was not sent.
    std::shared_ptr<AnswerStream> submit(const std::string &address, const requests::Request &request);

    /// Withdraws a request whose outcome is open.
    /// @param incarnation the life of the process that the request was sent to.
    /// @return true only when the target confirms that the request has not started and never will.
    bool revoke(const std::string &address, const std::string &id, std::uint64_t incarnation);

    /// Refuses connections to the addresses for which a predicate is false, and breaks those that are open. Experiments
    /// cut failure domains off with it.
    void setReachable(Reachable reachable);

private:
    struct Impl;

    const EventLoop &m_loop;
    std::shared_ptr<Impl> m_impl;
};

} // namespace ibislock::rpc
