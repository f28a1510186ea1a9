#include "platform/engine_stand_in.h"

#include "ibislock/base/digest.h"

#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

/// How long a load takes.
constexpr Millis LoadTime{20};

using Handler = std::function<void(net::Connection &, const http::RequestHead &, const std::string &body)>;

/// Reads requests of a connection and hands each over.
void serveRequests(const std::shared_ptr<net::Connection> &connection, Handler handler)
{
    auto reader = std::make_shared<http::MessageReader>(http::MessageKind::Request, http::ReaderLimits{});
    connection->start({.data = [raw = connection.get(), reader, handler = std::move(handler)](std::string_view bytes) {
        while (!bytes.empty()) {
            const auto used = reader->feed(bytes);
            if (!used || !reader->complete()) {
                return;
            }
            bytes.remove_prefix(*used);
            handler(*raw, reader->request(), reader->takeBody());
            reader->next();
        }
    }});
}

/// Connections and their handlers hold each other until they are closed.
void closeAll(const std::vector<std::shared_ptr<net::Connection>> &connections)
{
    for (const auto &connection : connections) {
        connection->close();
    }
}

int queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::stoi(target.substr(at + name.size() + 1));
}

void reply(net::Connection &connection, int status, const std::string &body)
{
    connection.write(http::writeResponse({.status = status}, body));
}

/// @param wrongPiece the piece whose digest is wrong; below 0 for none.
/// @param pieces how many pieces are listed.
std::string manifestOf(const WeightsStandIn &weights, int wrongPiece, int pieces)
{
    nlohmann::json digests = nlohmann::json::array();
    for (int piece = 0; piece < pieces; ++piece) {
        digests.push_back(toHex(sha256(pieceBytes(weights, piece == wrongPiece ? piece + 1000 : piece))));
    }
    return nlohmann::json{
        {"Model", weights.model}, {"Version", weights.version}, {"ChunkBytes", 64}, {"Digests", digests}}
        .dump();
}

} // namespace

OriginStandIn::OriginStandIn(asio::io_context &loop, const std::string &ip)
    : m_loop(loop)
    , m_ip(ip)
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) {
        m_connections.push_back(connection);
        serveRequests(connection, [this](net::Connection &to, const http::RequestHead &request, const std::string &) {
            WeightsStandIn asked = weights;
            asked.version = queryNumber(request.target, "Version");
            const bool known = asked.version == weights.version || asked.version == weights.version - 1;
            if (away || !known) {
                refused += away ? 1 : 0;
                reply(to, away ? 503 : 410, "");
            } else if (request.target.find("/manifest/") != std::string::npos) {
                ++manifestsServed;
                const int wrongPiece = wrongManifests > 0 ? --wrongManifests % asked.pieces : -1;
                const int missing = shortManifests > 0 && shortManifests-- > 0 ? 1 : 0;
                reply(to, 200, manifestOf(asked, wrongPiece, asked.pieces - missing));
            } else {
                ++piecesServed;
                const bool bad = spoilt > 0 && spoilt-- > 0;
                const std::string bytes = bad ? "spoilt" : pieceBytes(asked, queryNumber(request.target, "Num"));
                auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
                timer->async_wait([timer, bytes, connection = to.shared_from_this()](const asio::error_code &ec) {
                    if (!ec && connection->isOpen()) {
                        reply(*connection, 200, bytes);
                    }
                });
            }
        });
    })
{
    m_listener.open(ip, 0);
}

OriginStandIn::~OriginStandIn()
{
    closeAll(m_connections);
}

std::string OriginStandIn::address() const
{
    return m_ip + ":" + std::to_string(m_listener.port());
}

EngineStandIn::EngineStandIn(asio::io_context &loop, const std::string &ip, std::uint16_t port)
    : m_loop(loop)
    , m_listener(loop,
                 [this](const std::shared_ptr<net::Connection> &connection) {
                     m_connections.push_back(connection);
                     serveRequests(connection,
                                   [this](net::Connection &to, const http::RequestHead &request,
                                          const std::string &body) { answer(to, request, body); });
                 })
    , m_load(loop)
    , m_thaw(loop)
{
    m_listener.open(ip, port);
}

EngineStandIn::~EngineStandIn()
{
    closeAll(m_connections);
}

std::uint16_t EngineStandIn::port() const
{
    return m_listener.port();
}

bool EngineStandIn::holdsWhole(const WeightsStandIn &weights) const
{
    const LoadFaults faults = loadFaults(staged, m_bad, weights, steadyMillis());
    return !breaksRule(faults) && faults.badInTime == 0;
}

void EngineStandIn::turnBad(const std::vector<int> &pieces)
{
    for (const int piece : pieces) {
        m_bad.emplace(piece, steadyMillis());
    }
}

void EngineStandIn::restart()
{
    m_load.cancel();
    m_loading = false;
    m_bad.clear();
    m_verification.reset();
    m_usable = true;
    staged.clear();
    version = 0;
    orders = 0;
    ++startedAt;
}

void EngineStandIn::freeze(Millis length)
{
    m_frozen = true;
    m_thaw.expires_after(length);
    m_thaw.async_wait([this](const asio::error_code &ec) {
        if (!ec) {
            m_frozen = false;
            for (const auto &waiting : std::exchange(m_waiting, {})) {
                waiting();
            }
        }
    });
}

std::vector<int> EngineStandIn::verifiedPieces() const
{
    return m_verification.readPieces();
}

const LoadCounts &EngineStandIn::loadCounts() const
{
    return m_counts;
}

void EngineStandIn::emitStage(StageEvent event)
{
    if (onStage) {
        onStage(event);
    }
}

void EngineStandIn::answer(net::Connection &connection, const http::RequestHead &request, const std::string &body)
{
    if (request.target == "/ibislock/order" && !m_frozen) {
        emitStage(StageEvent::OrderArrives);
    }
    if (m_frozen) {
        m_waiting.push_back(
            [this, kept = connection.shared_from_this(), request, body] { handle(*kept, request, body); });
        return;
    }
    handle(connection, request, body);
}

void EngineStandIn::handle(net::Connection &connection, const http::RequestHead &request, const std::string &body)
{
    if (away) {
        connection.close();
        return;
    }
    if (request.target == "/ibislock/report") {
        nlohmann::json models = nlohmann::json::array();
        if (version > 0) {
            models.push_back({{"Name", "m"}, {"Version", version}});
        }
        reply(connection, 200,
              nlohmann::json{{"Models", models},
                             {"Busy", m_loading},
                             {"Sequence", orders},
                             {"born", startedAt},
                             {"Queued", 0},
                             {"Running", running}}
                  .dump());
    } else if (request.target.find("/stage-put/") != std::string::npos) {
        const int piece = queryNumber(request.target, "Num");
        if (holdsWrites) {
            m_heldWrites[piece] = body;
            return;
        }
        stageReads = 0;
        staged[piece] = body;
        m_bad.erase(piece);
        m_verification.reset();
        reply(connection, 200, "");
    } else if (request.target.find("/stage-get/") != std::string::npos) {
        readStage(connection, queryNumber(request.target, "Num"));
    } else if (request.target == "/ibislock/order") {
        order(connection, body);
    } else {
        serve(connection, request);
    }
}

void EngineStandIn::applyHeldWrites()
{
    for (auto &[piece, bytes] : std::exchange(m_heldWrites, {})) {
        staged[piece] = std::move(bytes);
    }
}

void EngineStandIn::applyHeldOrders()
{
    for (const std::string &body : std::exchange(m_heldOrders, {})) {
        acceptOrder(body);
    }
}

void EngineStandIn::writeForever(const std::shared_ptr<net::Connection> &connection)
{
    constexpr std::size_t Part = 16 * 1024;
    if (!connection->isOpen()) {
        return;
    }
    if (connection->queuedBytes() < Part) {
        endlessBytes += Part;
        connection->write(http::writeChunk(std::string(Part, 'x')));
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop, Millis{1});
    timer->async_wait([this, timer, connection](const asio::error_code &ec) {
        if (!ec) {
            writeForever(connection);
        }
    });
}

void EngineStandIn::readStage(net::Connection &connection, int piece)
{
    ++stageReads;
    if (endlessReads) {
        ++endlessResponses;
        connection.write(http::writeChunkedHead({.status = 200}));
        writeForever(connection.shared_from_this());
        return;
    }
    const auto it = staged.find(piece);
    const int status = it == staged.end() ? 404 : 200;
    const std::string bytes = it == staged.end() ? "" : it->second + (m_bad.contains(piece) ? " turned bad" : "");
    const auto step = m_verification.read(piece, holdsWhole(expected), expected.pieces, steadyMillis());
    if (step == VerificationWatch::Step::Begins) {
        emitStage(StageEvent::VerificationBegins);
    }
    const auto finish = [this, kept = connection.shared_from_this(), status, bytes, step] {
        if (kept->isOpen()) {
            reply(*kept, status, bytes);
        }
        if (step == VerificationWatch::Step::Ends) {
            emitStage(StageEvent::VerificationEnds);
        }
    };
    if (readDelay == Millis{0}) {
        finish();
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop, readDelay);
    timer->async_wait([timer, finish](const asio::error_code &ec) {
        if (!ec) {
            finish();
        }
    });
}

void EngineStandIn::serve(net::Connection &connection, const http::RequestHead &request)
{
    const std::string attempt(request.headers.find("X-Ibislock-Attempt-Id").value_or(""));
    http::ResponseHead head{.status = 200};
    head.headers.add("X-Ibislock-Attempt-Id", attempt);
    if (version == 0 || m_loading) {
        head.status = 503;
        head.headers.add("X-Ibislock-Not-Executed", "1");
        connection.write(http::writeResponse(head, ""));
        return;
    }
    ++served;
    m_counts.servedViolating += m_usable ? 0 : 1;
    head.headers.add("X-Ibislock-Response-Signature", "s-" + attempt);
    connection.write(http::writeResponse(head, "answer to " + attempt));
}

void EngineStandIn::order(net::Connection &connection, const std::string &body)
{
    if (holdsOrders) {
        ++delayedOrders;
        m_heldOrders.push_back(body);
        return;
    }
    if (orderDelay > Millis{0}) {
        ++delayedOrders;
        auto timer = std::make_shared<asio::steady_timer>(m_loop, orderDelay);
        timer->async_wait([this, timer, body](const asio::error_code &) { acceptOrder(body); });
        return;
    }
    reply(connection, acceptOrder(body), "");
}

int EngineStandIn::acceptOrder(const std::string &body)
{
    const nlohmann::json wanted = nlohmann::json::parse(body);
    if (m_loading || wanted.value("Expected", orders) != orders) {
        ++refusedOrders;
        return 409;
    }
    if (wanted.value("Version", std::int64_t{0}) == version) {
        return 200;
    }
    if (onAccepted) {
        onAccepted();
    }
    ++orders;
    m_loading = true;
    WeightsStandIn weights = expected;
    weights.version = wanted.value("Version", std::int64_t{0});
    loadedSpoilt = loadedSpoilt || !holdsWhole(weights);
    const LoadFaults faults = loadFaults(staged, m_bad, weights, steadyMillis());
    const bool violating = breaksRule(faults);
    ++m_counts.loads;
    m_counts.violating += violating ? 1 : 0;
    m_counts.badInTime += !violating && faults.badInTime > 0 ? 1 : 0;
    m_load.expires_after(LoadTime);
    m_load.async_wait([this, violating, loaded = weights.version](const asio::error_code &ec) {
        if (!ec) {
            version = loaded;
            m_usable = !violating;
            m_loading = false;
        }
    });
    return 202;
}

} // namespace ibislock::lab
