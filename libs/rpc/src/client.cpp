#include "ibislock/rpc/client.h"

#include "convert.h"
#include "tls_contexts.h"

#include "chunks.capnp.h"
#include "node.capnp.h"

#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <map>

namespace ibislock::rpc
{

namespace
{

/// A connection to one process. It lives on the loop.
struct Connection
{
    explicit Connection(kj::Own<kj::AsyncIoStream> &&connected)
        : stream(kj::mv(connected))
        , client(*stream)
        , node(client.bootstrap().castAs<wire::Node>())
        , chunks(node.chunksRequest().send().getChunks())
        , stateExchange(node.stateExchangeRequest().send().getStateExchange())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    wire::Node::Client node;
    wire::Chunks::Client chunks;
    wire::StateExchange::Client stateExchange; ///< Asked for once, since it is called often.
};

std::string messageOf(const kj::Exception &exception)
{
    const kj::StringPtr text = exception.getDescription();
    return {text.cStr(), text.size()};
}

} // namespace

struct Client::Impl : std::enable_shared_from_this<Client::Impl>
{
    Impl(const EventLoop &eventLoop, const ClientOptions &clientOptions)
        : loop(eventLoop)
        , options(clientOptions)
    {
        if (options.tls) {
            contexts.emplace(options.tls, timer(), options.connectTimeout);
        }
    }

    kj::Timer &timer() const
    {
        return loop.io().provider->getTimer();
    }

    /// Gives the connection to an address, and makes it when there is none.
    kj::Promise<std::shared_ptr<Connection>> connect(const std::string &address)
    {
        if (reachable && !reachable(address)) {
            return KJ_EXCEPTION(DISCONNECTED, "the address is cut off");
        }
        const auto it = connections.find(address);
        if (it != connections.end()) {
            return it->second;
        }
        auto connecting =
            loop.io()
                .provider->getNetwork()
                .parseAddress(address.c_str())
                .then([](kj::Own<kj::NetworkAddress> &&parsed) { return parsed->connect().attach(kj::mv(parsed)); })
                .then([self = shared_from_this()](kj::Own<kj::AsyncIoStream> &&stream) {
                    return self->protect(kj::mv(stream));
                });
        return timer()
            .timeoutAfter(options.connectTimeout.count() * kj::MILLISECONDS, kj::mv(connecting))
            .then([self = shared_from_this(), address](kj::Own<kj::AsyncIoStream> &&stream) {
                return self->remember(address, kj::mv(stream));
            });
    }

    /// Proves to each side who the other is, where the settings ask for it.
    kj::Promise<kj::Own<kj::AsyncIoStream>> protect(kj::Own<kj::AsyncIoStream> &&stream)
    {
        if (!contexts) {
            return kj::mv(stream);
        }
        return contexts->current().wrapClient(kj::mv(stream), contexts->peerName().c_str());
    }

    std::shared_ptr<Connection> remember(const std::string &address, kj::Own<kj::AsyncIoStream> &&stream)
    {
        const auto known = connections.find(address);
        if (known != connections.end()) {
            return known->second;
        }
        auto connection = std::make_shared<Connection>(kj::mv(stream));
        connections[address] = connection;
        watchers.add(
            connection->client.onDisconnect().then([this, address, raw = connection.get()] { forget(address, raw); }));
        return connection;
    }

    void forget(const std::string &address, const Connection *connection)
    {
        const auto it = connections.find(address);
        if (it == connections.end() || it->second.get() != connection) {
            return;
        }
        // The connection is in use by the promise that called this, so it is destroyed in a later turn.
        watchers.add(kj::evalLast([dropped = std::move(it->second)]() mutable { dropped.reset(); }));
        connections.erase(it);
    }

    /// Breaks the connections to addresses that are cut off.
    void breakUnreachable()
    {
        for (auto &[address, connection] : connections) {
            if (!reachable(address)) {
                // A TLS stream whose end was sent before refuses to send it again.
                kj::runCatchingExceptions([&stream = connection->stream] {
                    stream->shutdownWrite();
                    stream->abortRead();
                });
            }
        }
    }

    /// Runs one call with a deadline on the loop and waits for it.
    template <typename Function>
    auto blockingCall(const std::string &address, Millis timeout, Function &&function)
        -> decltype(function(std::declval<Connection &>()).wait(std::declval<kj::WaitScope &>()))
    {
        return loop.call([&] {
            return connect(address).then([&, timeout](std::shared_ptr<Connection> connection) {
                auto promise = function(*connection);
                return timer()
                    .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(promise))
                    .attach(kj::mv(connection));
            });
        });
    }

    /// Starts one call with a deadline on the loop; a handler takes its result there.
    template <typename T, typename Function>
    void asyncCall(const std::string &address, Millis timeout, Function function, ResultHandler<T> handler)
    {
        loop.call([&] {
            auto promise = connect(address).then(
                [this, timeout, function = std::move(function)](std::shared_ptr<Connection> connection) mutable {
                    auto call = function(*connection);
                    return timer()
                        .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(call))
                        .attach(kj::mv(connection));
                });
            calls->add(promise.then([handler](Result<T> &&result) { handler(std::move(result)); },
                                    [handler](kj::Exception &&exception) {
                                        handler(failure(ErrorCode::Unavailable, messageOf(exception)));
                                    }));
        });
    }

    void noteTraffic(std::uint64_t bytes) const
    {
        if (traffic) {
            traffic(bytes);
        }
    }

    class IgnoreErrors final : public kj::TaskSet::ErrorHandler
    {
    public:
        void taskFailed(kj::Exception &&) override
        {
        }
    };

    const EventLoop &loop;
    ClientOptions options;
    std::optional<TlsContexts> contexts;
    Reachable reachable;
    std::function<void(std::uint64_t)> traffic;
    IgnoreErrors ignoreErrors;
    std::map<std::string, std::shared_ptr<Connection>> connections;
    kj::TaskSet watchers{ignoreErrors};
    kj::Own<kj::TaskSet> calls = kj::heap<kj::TaskSet>(ignoreErrors);
};

namespace
{

/// The events of one answer, filled on the loop and read by the daemon's thread.
class AnswerQueue
{
public:
    void push(AnswerEvent event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_one();
    }

    AnswerEvent pop(Millis timeout)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, timeout, [this] { return !m_events.empty(); })) {
            return Error{ErrorCode::DeadlineExceeded, "no part of the answer came in time"};
        }
        AnswerEvent event = std::move(m_events.front());
        m_events.pop_front();
        return event;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<AnswerEvent> m_events;
};

class QueueSink final : public wire::AnswerSink::Server
{
public:
    explicit QueueSink(std::shared_ptr<AnswerQueue> queue)
        : m_queue(std::move(queue))
    {
    }

    kj::Promise<void> part(PartContext context) override
    {
        m_queue->push(read(context.getParams().getPart()));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<AnswerQueue> m_queue;
};

/// A submitted call. The loop cleans up after a call that has ended, so that its caller need not wait for the loop.
struct SubmittedCall
{
    std::shared_ptr<AnswerQueue> queue = std::make_shared<AnswerQueue>();
    kj::Canceler canceler;
    std::atomic<bool> ended = false;
};

class RemoteAnswerStream final : public AnswerStream
{
public:
    RemoteAnswerStream(const EventLoop &loop, std::shared_ptr<SubmittedCall> call)
        : m_loop(loop)
        , m_call(std::move(call))
    {
    }

    ~RemoteAnswerStream() noexcept override
    {
        cancel();
    }

    AnswerEvent next(Millis timeout) override
    {
        return m_call->queue->pop(timeout);
    }

    void cancel() override
    {
        if (!m_call->ended) {
            m_loop.call([this] { m_call->canceler.cancel("the request was withdrawn"); });
        }
    }

private:
    const EventLoop &m_loop;
    std::shared_ptr<SubmittedCall> m_call;
};

} // namespace

namespace
{

/// Runs a call and turns a failure of the connection into an error.
template <typename Function>
auto unlessBroken(Function &&call) -> Result<decltype(call())>
{
    try {
        return call();
    } catch (const kj::Exception &exception) {
        return failure(ErrorCode::Unavailable, messageOf(exception));
    }
}

} // namespace

Client::Client(const EventLoop &loop, const ClientOptions &options)
    : m_loop(loop)
    , m_impl(m_loop.call([&] { return std::make_shared<Impl>(loop, options); }))
{
}

Client::~Client()
{
    m_loop.call([this] {
        m_impl->calls = nullptr;
        m_impl->connections.clear();
        m_impl.reset();
    });
}

Result<Exchange> Client::exchange(const std::string &address, const Exchange &exchange)
{
    return unlessBroken([&] {
        return m_impl->blockingCall(address, m_impl->options.exchangeTimeout, [&](Connection &connection) {
            auto request = connection.stateExchange.exchangeRequest();
            write(request, exchange);
            const std::uint64_t sent = bytesOnWire(request.asReader());
            return request.send().then([impl = m_impl, sent](auto &&response) {
                impl->noteTraffic(sent + bytesOnWire(response));
                return read(response);
            });
        });
    });
}

Result<StateDelta> Client::state(const std::string &address, std::uint64_t after)
{
    return unlessBroken([&] {
        return m_impl->blockingCall(address, m_impl->options.exchangeTimeout, [&](Connection &connection) {
            auto request = connection.stateExchange.stateRequest();
            request.setAfter(after);
            return request.send().then([impl = m_impl](auto &&response) {
                impl->noteTraffic(bytesOnWire(response));
                return read(response);
            });
        });
    });
}

void Client::setTraffic(std::function<void(std::uint64_t)> traffic)
{
    m_impl->traffic = std::move(traffic);
}

void Client::chunkAsync(const std::string &address, const Digest &digest, const Digest &root, Millis timeout,
                        ResultHandler<ChunkAnswer> handler)
{
    const auto ask = [digest, root](Connection &connection) {
        auto request = connection.chunks.chunkRequest();
        request.setDigest(dataOf(bytesOf(digest)));
        request.setRoot(dataOf(bytesOf(root)));
        return request.send().then([](auto &&response) {
            return Result<ChunkAnswer>(
                ChunkAnswer{.found = response.getFound(),
                            .busy = response.getBusy(),
                            .wait = Millis(response.getWaitMs()),
                            .bytes = stringOf(response.getBytes()),
                            .held = {.revision = response.getRevision(), .bitmap = stringOf(response.getBitmap())}});
        });
    };
    m_impl->asyncCall<ChunkAnswer>(address, timeout, ask, std::move(handler));
}

void Client::haveAsync(const std::string &address, const Digest &root, std::uint64_t known, Millis hold,
                       ResultHandler<HaveReply> handler)
{
    const auto ask = [root, known, hold](Connection &connection) {
        auto request = connection.chunks.haveRequest();
        request.setRoot(dataOf(bytesOf(root)));
        request.setKnown(known);
        request.setHoldMs(static_cast<std::uint32_t>(hold.count()));
        return request.send().then([](auto &&response) -> Result<HaveReply> {
            if (!response.getFound()) {
                return failure(ErrorCode::NotFound, "the version is not known there");
            }
            return HaveReply{.revision = response.getRevision(), .bitmap = stringOf(response.getBitmap())};
        });
    };
    m_impl->asyncCall<HaveReply>(address, hold + m_impl->options.exchangeTimeout, ask, std::move(handler));
}

Result<std::string> Client::manifest(const std::string &address, const Digest &root)
{
    const auto found = unlessBroken([&] {
        return m_impl->blockingCall(address, m_impl->options.exchangeTimeout, [&](Connection &connection) {
            auto request = connection.node.chunksRequest().send().getChunks().manifestRequest();
            request.setRoot(dataOf(bytesOf(root)));
            return request.send().then([](auto &&response) -> std::optional<std::string> {
                if (!response.getFound()) {
                    return std::nullopt;
                }
                return std::string(response.getManifest().cStr());
            });
        });
    });
    if (found && !*found) {
        return failure(ErrorCode::NotFound, "the manifest is not held there");
    }
    return found.map([](const std::optional<std::string> &manifest) { return *manifest; });
}

std::shared_ptr<AnswerStream> Client::submit(const std::string &address, const requests::Request &request)
{
    auto call = std::make_shared<SubmittedCall>();
    m_loop.call([&] {
        auto sent = std::make_shared<bool>(false);
        auto running = m_impl->connect(address).then([call, request, sent](std::shared_ptr<Connection> connection) {
            auto submission = connection->node.requestsRequest().send().getRequests().submitRequest();
            write(submission.initRequest(), request);
            submission.setSink(kj::heap<QueueSink>(call->queue));
            *sent = true;
            return submission.send()
                .then([call](auto &&response) {
                    call->ended = true;
                    call->queue->push(read(response.getEnd()));
                })
                .attach(kj::mv(connection));
        });
        auto guarded = call->canceler.wrap(kj::mv(running)).catch_([call, sent](kj::Exception &&exception) {
            const auto code = *sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
            call->ended = true;
            call->queue->push(Error{code, messageOf(exception)});
        });
        auto kept = call;
        m_impl->calls->add(guarded.attach(kj::mv(kept)));
    });
    return std::make_shared<RemoteAnswerStream>(m_loop, std::move(call));
}

bool Client::revoke(const std::string &address, const std::string &id, std::uint64_t incarnation)
{
    const auto confirmed = unlessBroken([&] {
        return m_impl->blockingCall(address, m_impl->options.revokeTimeout, [&](Connection &connection) {
            auto request = connection.node.requestsRequest().send().getRequests().revokeRequest();
            request.setId(dataOf(id));
            request.setIncarnation(incarnation);
            return request.send().then([](auto &&response) { return bool(response.getNotRun()); });
        });
    });
    return confirmed.value_or(false);
}

void Client::setReachable(Reachable reachable)
{
    m_loop.call([&] {
        m_impl->reachable = std::move(reachable);
        if (m_impl->reachable) {
            m_impl->breakUnreachable();
        }
    });
}

} // namespace ibislock::rpc
