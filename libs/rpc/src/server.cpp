#include "ibislock/rpc/server.h"

#include "convert.h"
#include "peer_limits.h"
#include "tls_contexts.h"

#include "ibislock/base/descriptors.h"

#include "chunks.capnp.h"
#include "node.capnp.h"

#include <algorithm>
#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <mutex>

namespace ibislock::rpc
{

namespace
{

/// How often a waiting `have` call looks for a change.
constexpr Millis HavePollInterval{100};

/// Connections take one of so many descriptors that the system allows the process.
constexpr std::size_t DescriptorsForEach = 5;

constexpr kj::Duration AcceptRetryInterval = 100 * kj::MILLISECONDS;

/// How often an accepted connection without room looks for some.
constexpr kj::Duration RoomInterval = 20 * kj::MILLISECONDS;

void refusePeer(const Handlers &handlers, const std::string &reason)
{
    if (handlers.peerRefused) {
        handlers.peerRefused(reason);
    }
}

class StateExchangeServer final : public wire::StateExchange::Server
{
public:
    explicit StateExchangeServer(const Handlers &handlers)
        : m_handlers(handlers)
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        KJ_REQUIRE(m_handlers.exchange != nullptr, "reports are not accepted here");
        write(context.getResults(), m_handlers.exchange(read(context.getParams())));
        noteTraffic(context);
        return kj::READY_NOW;
    }

    kj::Promise<void> state(StateContext context) override
    {
        KJ_REQUIRE(m_handlers.state != nullptr, "the state is not handed out here");
        write(context.getResults(), m_handlers.state(context.getParams().getAfter()));
        noteTraffic(context);
        return kj::READY_NOW;
    }

private:
    template <typename Context>
    void noteTraffic(Context &context) const
    {
        if (m_handlers.traffic) {
            m_handlers.traffic(bytesOnWire(context.getParams()) + bytesOnWire(context.getResults().asReader()));
        }
    }

    const Handlers &m_handlers;
};

class ChunksServer final : public wire::Chunks::Server
{
public:
    ChunksServer(const Handlers &handlers, kj::Timer &timer)
        : m_handlers(handlers)
        , m_timer(timer)
    {
    }

    kj::Promise<void> chunk(ChunkContext context) override
    {
        KJ_REQUIRE(m_handlers.chunk != nullptr, "chunks are not held here");
        ChunkReply reply =
            m_handlers.chunk(digestOf(context.getParams().getDigest()), digestOf(context.getParams().getRoot()));
        const auto delay = reply.delay.count() * kj::MILLISECONDS;
        context.releaseParams();
        return m_timer.afterDelay(delay).then([context, reply = std::move(reply)]() mutable {
            auto results = context.getResults();
            results.setFound(reply.bytes != nullptr || reply.busy);
            results.setBusy(reply.busy);
            results.setWaitMs(static_cast<std::uint32_t>(reply.wait.count()));
            results.setRevision(reply.held.revision);
            results.setBitmap(dataOf(reply.held.bitmap));
            if (reply.bytes) {
                results.setBytes(dataOf(*reply.bytes));
            }
        });
    }

    kj::Promise<void> have(HaveContext context) override
    {
        KJ_REQUIRE(m_handlers.have != nullptr, "chunks are not held here");
        const auto params = context.getParams();
        const Digest root = digestOf(params.getRoot());
        context.allowCancellation();
        return answerHave(context, root, params.getKnown(), Millis(params.getHoldMs()));
    }

    kj::Promise<void> manifest(ManifestContext context) override
    {
        KJ_REQUIRE(m_handlers.manifest != nullptr, "manifests are not held here");
        const auto manifest = m_handlers.manifest(digestOf(context.getParams().getRoot()));
        auto results = context.getResults();
        results.setFound(manifest.has_value());
        if (manifest) {
            results.setManifest(manifest->c_str());
        }
        return kj::READY_NOW;
    }

private:
    /// Answers once the revision differs from the one that the caller knows, or the time is up.
    kj::Promise<void> answerHave(HaveContext context, Digest root, std::uint64_t known, Millis hold)
    {
        const auto held = m_handlers.have(root);
        const std::uint64_t revision = held ? held->revision : 0;
        if (revision == known && hold > Millis(0)) {
            return m_timer.afterDelay(HavePollInterval.count() * kj::MILLISECONDS)
                .then([this, context, root, known, hold]() mutable {
                    return answerHave(context, root, known, hold - HavePollInterval);
                });
        }
        auto results = context.getResults();
        results.setFound(held.has_value());
        results.setRevision(revision);
        if (held) {
            results.setBitmap(dataOf(held->bitmap));
        }
        return kj::READY_NOW;
    }

    const Handlers &m_handlers;
    kj::Timer &m_timer;
};

/// The state of one submitted request. The sink belongs to the loop; the flags belong to all threads.
struct Call
{
    kj::Maybe<wire::AnswerSink::Client> sink;
    std::string requestId;
    std::uint32_t parts = 0;
    std::uint64_t bytes = 0;
    std::atomic<bool> cancelled = false;
    std::atomic<bool> finished = false;
};

/// Clears what belongs to the loop when the call ends or the caller drops it.
class CallGuard
{
public:
    explicit CallGuard(std::shared_ptr<Call> call)
        : m_call(std::move(call))
    {
    }

    ~CallGuard()
    {
        if (m_call) {
            m_call->cancelled = true;
            m_call->sink = nullptr;
        }
    }

    CallGuard(CallGuard &&) = default;
    CallGuard(const CallGuard &) = delete;
    CallGuard &operator=(const CallGuard &) = delete;
    CallGuard &operator=(CallGuard &&) = delete;

private:
    std::shared_ptr<Call> m_call;
};

class RemoteAnswerWriter final : public AnswerWriter
{
public:
    RemoteAnswerWriter(const EventLoop &loop, std::shared_ptr<Call> call,
                       kj::Own<kj::CrossThreadPromiseFulfiller<requests::ResponseEnd>> fulfiller)
        : m_loop(loop)
        , m_call(std::move(call))
        , m_fulfiller(kj::mv(fulfiller))
    {
    }

    ~RemoteAnswerWriter() noexcept override = default;

    bool part(std::string_view data) override
    {
        if (m_call->cancelled || m_call->finished) {
            return false;
        }
        try {
            return m_loop.call([&]() -> kj::Promise<bool> { return sendPart(data); });
        } catch (const kj::Exception &) {
            m_call->cancelled = true;
            return false;
        }
    }

    void finish(requests::ResponseEnd end) override
    {
        if (m_call->finished.exchange(true)) {
            return;
        }
        end.parts = m_call->parts;
        end.bytes = m_call->bytes;
        m_fulfiller->fulfill(kj::mv(end));
    }

    bool isCancelled() const override
    {
        return m_call->cancelled;
    }

private:
    kj::Promise<bool> sendPart(std::string_view data)
    {
        KJ_IF_MAYBE (sink, m_call->sink) {
            auto request = sink->partRequest();
            write(request.initPart(), {.id = m_call->requestId, .index = m_call->parts, .data = std::string(data)});
            ++m_call->parts;
            m_call->bytes += data.size();
            return request.send().then([] { return true; });
        }
        return false;
    }

    const EventLoop &m_loop;
    std::shared_ptr<Call> m_call;
    kj::Own<kj::CrossThreadPromiseFulfiller<requests::ResponseEnd>> m_fulfiller;
};

class RequestsServer final : public wire::Requests::Server
{
public:
    RequestsServer(const Handlers &handlers, const EventLoop &loop, std::string peer)
        : m_handlers(handlers)
        , m_loop(loop)
        , m_peer(std::move(peer))
    {
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        KJ_REQUIRE(m_handlers.submit != nullptr, "requests are not accepted here");
        requests::Request request = read(context.getParams().getRequest());
        if (!m_peer.empty() && request.entryVm != m_peer) {
            refusePeer(m_handlers, "a request names a VM that is not its sender");
            KJ_FAIL_REQUIRE("the request names a VM that is not its sender");
        }
        auto call = std::make_shared<Call>();
        call->sink = context.getParams().getSink();
        call->requestId = request.id;
        auto end = kj::newPromiseAndCrossThreadFulfiller<requests::ResponseEnd>();
        m_handlers.submit(std::move(request),
                          std::make_shared<RemoteAnswerWriter>(m_loop, call, kj::mv(end.fulfiller)));
        context.allowCancellation();
        return end.promise
            .then([context](requests::ResponseEnd &&answer) mutable { write(context.getResults().initEnd(), answer); })
            .attach(CallGuard(call));
    }

    kj::Promise<void> revoke(RevokeContext context) override
    {
        KJ_REQUIRE(m_handlers.revoke != nullptr, "requests are not accepted here");
        const auto params = context.getParams();
        context.getResults().setNotRun(m_handlers.revoke(stringOf(params.getId()), params.getIncarnation()));
        return kj::READY_NOW;
    }

private:
    const Handlers &m_handlers;
    const EventLoop &m_loop;
    std::string m_peer; ///< The VM that the peer's certificate names; empty without TLS.
};

class NodeServer final : public wire::Node::Server
{
public:
    NodeServer(const Handlers &handlers, const EventLoop &loop, std::string peer)
        : m_stateExchange(kj::heap<StateExchangeServer>(handlers))
        , m_chunks(kj::heap<ChunksServer>(handlers, loop.io().provider->getTimer()))
        , m_requests(kj::heap<RequestsServer>(handlers, loop, std::move(peer)))
    {
    }

    kj::Promise<void> stateExchange(StateExchangeContext context) override
    {
        context.getResults().setStateExchange(m_stateExchange);
        return kj::READY_NOW;
    }

    kj::Promise<void> chunks(ChunksContext context) override
    {
        context.getResults().setChunks(m_chunks);
        return kj::READY_NOW;
    }

    kj::Promise<void> requests(RequestsContext context) override
    {
        context.getResults().setRequests(m_requests);
        return kj::READY_NOW;
    }

private:
    wire::StateExchange::Client m_stateExchange;
    wire::Chunks::Client m_chunks;
    wire::Requests::Client m_requests;
};

} // namespace

/// What lives on the loop: the listener and the connections.
struct Server::Impl final : kj::TaskSet::ErrorHandler
{
    Impl(const EventLoop &eventLoop, const ServerOptions &options, Handlers serverHandlers)
        : loop(eventLoop)
        , handlers(std::move(serverHandlers))
        , limits(std::min(options.connectionsMax, descriptorLimit() / DescriptorsForEach), options.unfinishedBytesMax)
        , connections(*this)
    {
        if (options.tls) {
            contexts.emplace(options.tls, timer(), options.handshakeTimeout);
        }
    }

    kj::Timer &timer() const
    {
        return loop.io().provider->getTimer();
    }

    /// Accepts connections for ever. A failure to accept, as for want of descriptors, is tried again after a pause.
    kj::Promise<void> acceptAll()
    {
        return receiver->acceptAuthenticated().then(
            [this](kj::AuthenticatedStream &&stream) {
                return serveOnceThereIsRoom(kj::mv(stream)).then([this] { return acceptAll(); });
            },
            [this](kj::Exception &&) {
                return timer().afterDelay(AcceptRetryInterval).then([this] { return acceptAll(); });
            });
    }

    /// Begins to serve a connection. While there is no room for it, further ones stay in the system's queue.
    kj::Promise<void> serveOnceThereIsRoom(kj::AuthenticatedStream &&stream)
    {
        if (!limits.makeRoom()) {
            return timer().afterDelay(RoomInterval).then([this, stream = kj::mv(stream)]() mutable {
                return serveOnceThereIsRoom(kj::mv(stream));
            });
        }
        connections.add(limits.serve([this, &stream](PeerLimits::Peer &peer) { return admit(kj::mv(stream), peer); }));
        return kj::READY_NOW;
    }

    kj::Promise<void> admit(kj::AuthenticatedStream &&stream, PeerLimits::Peer &peer)
    {
        if (!contexts) {
            return serve(limits.guard(kj::mv(stream.stream), peer), {});
        }
        return contexts->current()
            .wrapServer(kj::mv(stream))
            .then(
                [this, &peer](kj::AuthenticatedStream &&wrapped) -> kj::Promise<void> {
                    auto &identity = kj::downcast<kj::TlsPeerIdentity>(*wrapped.peerIdentity);
                    if (!identity.hasCertificate()) {
                        refusePeer(handlers, "a peer shows no certificate");
                        return kj::READY_NOW;
                    }
                    return serve(limits.guard(kj::mv(wrapped.stream), peer), identity.getCommonName().cStr());
                },
                [this](kj::Exception &&) { refusePeer(handlers, "a peer did not complete the TLS handshake"); });
    }

    kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> &&stream, std::string peer)
    {
        auto server = kj::heap<capnp::TwoPartyServer>(kj::heap<NodeServer>(handlers, loop, std::move(peer)));
        auto done = server->accept(*stream);
        return done.attach(kj::mv(server), kj::mv(stream));
    }

    void taskFailed(kj::Exception &&) override
    {
        // The connection has ended; its peer makes a new one when it needs one.
    }

    const EventLoop &loop;
    Handlers handlers;
    std::optional<TlsContexts> contexts;
    kj::Own<kj::ConnectionReceiver> receiver;
    PeerLimits limits;
    kj::TaskSet connections;
    kj::Maybe<kj::Promise<void>> listening;
};

Server::Server(const EventLoop &loop, const ServerOptions &options, Handlers handlers)
    : m_loop(loop)
{
    m_port = m_loop.call([&]() -> kj::Promise<std::uint16_t> {
        m_impl = std::make_unique<Impl>(m_loop, options, std::move(handlers));
        auto &network = m_loop.io().provider->getNetwork();
        return network.parseAddress(options.address.c_str(), options.port)
            .then([this](kj::Own<kj::NetworkAddress> &&address) {
                m_impl->receiver = address->listen();
                m_impl->listening = m_impl->acceptAll().eagerlyEvaluate(nullptr);
                return static_cast<std::uint16_t>(m_impl->receiver->getPort());
            });
    });
}

Server::~Server()
{
    m_loop.call([this] { m_impl.reset(); });
}

std::uint16_t Server::port() const
{
    return m_port;
}

} // namespace ibislock::rpc
