#include "experiments/peers.h"

#include "child_process.h"
#include "chunks.capnp.h"
#include "ibislock/net/connection.h"
#include "ibislock/peer/messages.h"
#include "ibislock/rpc/event_loop.h"
#include "process_usage.h"

#include <capnp/rpc-twoparty.h>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <kj/async-io.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace ibislock::lab
{

namespace
{

/// The ways that are compared.
enum class PeerWay { Messages, Rpc };

constexpr NameTable<PeerWay, 2> PeerWayNames{{
    {PeerWay::Messages, "messages"},
    {PeerWay::Rpc, "rpc"},
}};

/// How long the asked process may take to listen, and between two tries to reach it.
constexpr Millis Patience{5000};
constexpr Millis TryPause{20};

/// Asks before the measurement begins: connections are open and buffers have their size.
constexpr int WarmUpAsks = 200;

/// Answers RPC asks with bytes that it gets from the daemon's own loop, as a daemon would.
class ChunkServer final : public rpc::wire::Chunks::Server
{
public:
    ChunkServer(asio::io_context &loop, std::string bytes)
        : m_loop(loop)
        , m_bytes(std::move(bytes))
    {
    }

protected:
    kj::Promise<void> chunk(ChunkContext context) override
    {
        auto read = kj::newPromiseAndCrossThreadFulfiller<void>();
        asio::post(m_loop,
                   [fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(
                        kj::mv(read.fulfiller))] { (*fulfiller)->fulfill(); });
        return read.promise.then([this, context]() mutable {
            auto results = context.getResults();
            results.setFound(true);
            results.setBytes({reinterpret_cast<const kj::byte *>(m_bytes.data()), m_bytes.size()});
        });
    }

private:
    asio::io_context &m_loop;
    std::string m_bytes;
};

/// Runs the asked process until it gets a signal.
int serveRpc(std::uint16_t port, const std::string &bytes)
{
    asio::io_context loop;
    const auto work = asio::make_work_guard(loop);
    const rpc::EventLoop rpcLoop;
    std::vector<kj::Own<kj::AsyncIoStream>> streams;
    kj::Own<capnp::TwoPartyServer> server;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::Promise<void> listening = nullptr;
    rpcLoop.call([&] {
        server = kj::heap<capnp::TwoPartyServer>(kj::heap<ChunkServer>(loop, bytes));
        return rpcLoop.io().provider->getNetwork().parseAddress("127.0.0.1", port).then([&](auto &&address) {
            receiver = address->listen();
            listening = server->listen(*receiver).eagerlyEvaluate(nullptr);
        });
    });
    loop.run();
    return 0;
}

int serveMessages(std::uint16_t port, const std::string &bytes)
{
    asio::io_context loop;
    std::vector<std::shared_ptr<net::Connection>> connections;
    net::Listener listener(loop, [&](const std::shared_ptr<net::Connection> &connection) {
        connections.push_back(connection);
        auto reader = std::make_shared<peer::PieceReader>();
        connection->start({.data = [raw = connection.get(), reader, &bytes](std::string_view part) {
            reader->add(part);
            for (auto ask = reader->next(); ask; ask = reader->next()) {
                ask->content = peer::PieceContent::Bytes;
                ask->bytes = bytes;
                raw->write(peer::encode(*ask));
            }
        }});
    });
    const asio::error_code ec = listener.open("127.0.0.1", port);
    if (ec) {
        std::cerr << "the port can't be opened: " << ec.message() << "\n";
        return 1;
    }
    loop.run();
    return 0;
}

/// Asks one after another over one connection.
class Asker
{
public:
    Asker() = default;
    virtual ~Asker() = default;
    Asker(const Asker &) = delete;
    Asker &operator=(const Asker &) = delete;

    /// @return whether all were answered with bytes.
    virtual bool ask(int times) = 0;
};

class RpcAsker final : public Asker
{
public:
    explicit RpcAsker(std::uint16_t port)
        : m_io(kj::setupAsyncIo())
        , m_stream(m_io.provider->getNetwork()
                       .parseAddress("127.0.0.1", port)
                       .wait(m_io.waitScope)
                       ->connect()
                       .wait(m_io.waitScope))
        , m_client(*m_stream)
        , m_chunks(m_client.bootstrap().castAs<rpc::wire::Chunks>())
    {
    }

    ~RpcAsker() noexcept override = default;
    RpcAsker(const RpcAsker &) = delete;
    RpcAsker &operator=(const RpcAsker &) = delete;

    bool ask(int times) override
    {
        for (int n = 0; n < times; ++n) {
            const auto answer = m_chunks.chunkRequest().send().wait(m_io.waitScope);
            if (!answer.getFound()) {
                return false;
            }
        }
        return true;
    }

private:
    kj::AsyncIoContext m_io;
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyClient m_client;
    rpc::wire::Chunks::Client m_chunks;
};

class MessageAsker final : public Asker
{
public:
    explicit MessageAsker(std::uint16_t port)
    {
        asio::ip::tcp::socket socket(m_loop);
        socket.connect({asio::ip::address_v4::loopback(), port});
        m_connection = net::Connection::adopt(std::move(socket));
        m_connection->start({.data =
                                 [this](std::string_view part) {
                                     m_reader.add(part);
                                     for (auto answer = m_reader.next(); answer; answer = m_reader.next()) {
                                         ++m_answers;
                                     }
                                 },
                             .closed =
                                 [this](net::CloseReason) {
                                     m_closed = true;
                                 }});
    }

    ~MessageAsker() override
    {
        m_connection->close();
    }

    MessageAsker(const MessageAsker &) = delete;
    MessageAsker &operator=(const MessageAsker &) = delete;

    bool ask(int times) override
    {
        for (int n = 0; n < times && !m_closed; ++n) {
            const int before = m_answers;
            m_connection->write(peer::encode(peer::PieceMessage{.model = "m", .version = 1, .index = n}));
            while (m_answers == before && !m_closed) {
                m_loop.run_one();
            }
        }
        return !m_closed;
    }

private:
    asio::io_context m_loop;
    std::shared_ptr<net::Connection> m_connection;
    peer::PieceReader m_reader;
    int m_answers = 0;
    bool m_closed = false;
};

bool waitForPort(std::uint16_t port)
{
    const Millis end = steadyMillis() + Patience;
    while (steadyMillis() < end) {
        asio::io_context loop;
        asio::ip::tcp::socket socket(loop);
        asio::error_code ec;
        socket.connect({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec) {
            return true;
        }
        std::this_thread::sleep_for(TryPause);
    }
    return false;
}

std::unique_ptr<Asker> askerFor(PeerWay way, std::uint16_t port)
{
    if (way == PeerWay::Rpc) {
        return std::make_unique<RpcAsker>(port);
    }
    return std::make_unique<MessageAsker>(port);
}

/// Measures one way and prints its line.
bool measure(const std::string &program, PeerWay way, int asks, int bytes)
{
    const std::uint16_t port = freePort();
    const std::string name(nameOf(PeerWayNames, way));
    ChildProcess process(
        {program, "peers", "--serve", name, "--port", std::to_string(port), "--bytes", std::to_string(bytes)},
        "/dev/null");
    if (!waitForPort(port)) {
        std::cerr << "the asked process does not listen\n";
        return false;
    }
    const auto asker = askerFor(way, port);
    bool ok = asker->ask(WarmUpAsks);
    const ProcessUsage before = usageOf(process.pid());
    ok = ok && asker->ask(asks);
    const ProcessUsage after = usageOf(process.pid());
    std::cout << nlohmann::json{{"experiment", "peers"},
                                {"way", name},
                                {"asks", asks},
                                {"bytes", bytes},
                                {"ok", ok},
                                {"processor_us_an_ask", (after.processorMs - before.processorMs) * 1000 / asks},
                                {"resident_bytes", after.residentBytes},
                                {"threads", after.threads}}
                     .dump()
              << "\n";
    process.kill();
    return ok;
}

} // namespace

int runPeers(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab peers", "Cap'n Proto RPC and messages between daemons, compared");
    options.add_options()("asks", "asks to measure, one after another", cxxopts::value<int>()->default_value("20000"))(
        "bytes", "bytes of each answer", cxxopts::value<int>()->default_value("64"))(
        "serve", "run the asked process: rpc or messages", cxxopts::value<std::string>())(
        "port", "of the asked process", cxxopts::value<std::uint16_t>()->default_value("0"))("help", "show this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const int bytes = parsed["bytes"].as<int>();
    if (parsed.count("serve") > 0) {
        const auto way = valueOf(PeerWayNames, parsed["serve"].as<std::string>());
        if (!way) {
            std::cerr << "--serve takes rpc or messages\n";
            return 2;
        }
        const std::string answer(static_cast<std::size_t>(bytes), 'x');
        const auto port = parsed["port"].as<std::uint16_t>();
        return *way == PeerWay::Rpc ? serveRpc(port, answer) : serveMessages(port, answer);
    }
    const bool ok = measure("/proc/self/exe", PeerWay::Messages, parsed["asks"].as<int>(), bytes)
        && measure("/proc/self/exe", PeerWay::Rpc, parsed["asks"].as<int>(), bytes);
    return ok ? 0 : 1;
}

} // namespace ibislock::lab
