#include "engine.h"

#include "ibislock/base/digest.h"

#include <nlohmann/json.hpp>

namespace ibislock::review
{

namespace
{

constexpr Millis HeartbeatTime{1200};
constexpr Millis LoadTime{300};

/// How long a piece may have been bad when it is taken.
constexpr Millis BadPieceAllowance{3000};

using Handler = std::function<void(const std::shared_ptr<net::Connection> &, const http::RequestHead &, std::string)>;

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
            handler(raw->shared_from_this(), reader->request(), reader->takeBody());
            reader->next();
        }
    }});
}

int numberOf(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::stoi(target.substr(at + name.size() + 1));
}

void reply(net::Connection &connection, int status, const std::string &body)
{
    if (connection.isOpen()) {
        connection.write(http::writeResponse({.status = status}, body));
    }
}

} // namespace

std::string pieceBytes(std::int64_t version, int piece)
{
    const std::string name = "v" + std::to_string(version) + " p" + std::to_string(piece) + ";";
    std::string out;
    while (out.size() < PieceBytes) {
        out += name;
    }
    return out.substr(0, PieceBytes);
}

Origin::Origin(asio::io_context &loop, const std::string &ip)
    : m_ip(ip)
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) {
        m_connections.push_back(connection);
        serveRequests(
            connection,
            [](const std::shared_ptr<net::Connection> &to, const http::RequestHead &request, const std::string &) {
                const int version = numberOf(request.target, "Version");
                if (request.target.find("/manifest/") == std::string::npos) {
                    reply(*to, 200, pieceBytes(version, numberOf(request.target, "Num")));
                    return;
                }
                nlohmann::json digests = nlohmann::json::array();
                for (int piece = 0; piece < Pieces; ++piece) {
                    digests.push_back(toHex(sha256(pieceBytes(version, piece))));
                }
                reply(*to, 200,
                      nlohmann::json{{"Model", "m"},
                                     {"Version", version},
                                     {"ChunkBytes", PieceBytes},
                                     {"layers", 16},
                                     {"Digests", digests}}
                          .dump());
            });
    })
{
    m_listener.open(ip, 0);
}

Origin::~Origin()
{
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

std::string Origin::address() const
{
    return m_ip + ":" + std::to_string(m_listener.port());
}

Engine::Engine(asio::io_context &loop, Store &store, Record &record, const std::string &ip)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_ip(ip)
    , m_born(wallMillis().count())
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
    , m_thaw(loop)
    , m_load(loop)
    , m_beat(loop)
{
    for (int piece = 0; piece < Pieces; ++piece) {
        m_stage[piece] = {.bytes = pieceBytes(m_version, piece), .badSince = {}};
    }
    m_listener.open(ip, 0);
    beat();
}

Engine::~Engine()
{
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

std::string Engine::address() const
{
    return m_ip + ":" + std::to_string(m_listener.port());
}

void Engine::turnBad(int piece)
{
    m_stage[piece].badSince = steadyMillis();
    m_record.write("engine", "piece " + std::to_string(piece) + " in its stage has turned bad");
}

void Engine::freeze(Millis time)
{
    m_record.write("engine", "stands still");
    m_frozen = true;
    m_thaw.start(time, [this] {
        m_record.write("engine", "goes on");
        m_frozen = false;
        for (const auto &arrived : std::exchange(m_arrived, {})) {
            arrived();
        }
    });
}

std::string Engine::report() const
{
    return nlohmann::json{{"Phase", "mixed"},
                          {"Models", {{{"Name", "m"}, {"Version", m_version}, {"Adapters", nlohmann::json::array()}}}},
                          {"Busy", m_loading},
                          {"Sequence", m_orders},
                          {"Queued", 0},
                          {"Running", 0},
                          {"KvUsed", 0},
                          {"KvTotal", 317000},
                          {"Handles", 0},
                          {"born", m_born}}
        .dump();
}

void Engine::beat()
{
    if (!m_frozen) {
        m_store.append(
            "keyed.servers", "i-1",
            nlohmann::json{{"Service", "s"},
                           {"Address", address()},
                           {"Zone", "a"},
                           {"Version", "v1"},
                           {"Slots", 16},
                           {"State", "ready"},
                           {"ColdLeftMs", 0},
                           {"Sequence", ++m_writes},
                           {"born", m_born},
                           {"Models", {{{"Name", "m"}, {"Version", m_version}, {"Adapters", nlohmann::json::array()}}}}}
                .dump());
    }
    m_beat.start(HeartbeatTime, [this] { beat(); });
}

void Engine::serve(const std::shared_ptr<net::Connection> &connection)
{
    m_connections.push_back(connection);
    serveRequests(connection,
                  [this](const std::shared_ptr<net::Connection> &from, const http::RequestHead &request,
                         const std::string &body) {
                      if (request.target == "/ibislock/order" && onOrder) {
                          m_record.write("engine", "an order arrives: " + body);
                          onOrder();
                      }
                      if (m_frozen) {
                          m_arrived.emplace_back([this, from, request, body] { handle(from, request, body); });
                      } else {
                          handle(from, request, body);
                      }
                  });
}

void Engine::handle(const std::shared_ptr<net::Connection> &connection, const http::RequestHead &request,
                    const std::string &body)
{
    if (request.target == "/ibislock/report") {
        reply(*connection, 200, report());
    } else if (request.target.find("/stage-put/") != std::string::npos) {
        m_stage[numberOf(request.target, "Num")] = {.bytes = body, .badSince = {}};
        reply(*connection, 200, "");
    } else if (request.target.find("/stage-get/") != std::string::npos) {
        const auto it = m_stage.find(numberOf(request.target, "Num"));
        const bool bad = it != m_stage.end() && it->second.badSince;
        reply(*connection, it == m_stage.end() ? 404 : 200,
              it == m_stage.end() ? "" : it->second.bytes + (bad ? "bad" : ""));
    } else if (request.target == "/ibislock/order") {
        const int status = acceptOrder(body);
        m_record.write("engine", "answers the order with " + std::to_string(status));
        reply(*connection, status, "");
    } else {
        run(*connection, request);
    }
}

int Engine::acceptOrder(const std::string &body)
{
    const nlohmann::json order = nlohmann::json::parse(body);
    const auto wanted = order.value("Version", std::int64_t{0});
    if (m_loading || order.value("Expected", m_orders) != m_orders) {
        return 409;
    }
    if (wanted == m_version) {
        return 200;
    }
    ++m_orders;
    ++loads;
    m_loading = true;
    int faulty = 0;
    for (int piece = 0; piece < Pieces; ++piece) {
        const Staged &staged = m_stage[piece];
        const bool badForLong = staged.badSince && steadyMillis() - *staged.badSince > BadPieceAllowance;
        faulty += staged.bytes != pieceBytes(wanted, piece) || badForLong ? 1 : 0;
    }
    violating += faulty > 0 ? 1 : 0;
    m_record.write("engine",
                   "loads version " + std::to_string(wanted) + " with " + std::to_string(faulty)
                       + " pieces that are missing, of another version or bad for more than 3 s");
    m_load.start(LoadTime, [this, wanted, faulty] {
        m_version = wanted;
        m_usable = faulty == 0;
        m_loading = false;
    });
    return 202;
}

void Engine::run(net::Connection &connection, const http::RequestHead &request)
{
    const std::string attempt(request.headers.find("X-Ibislock-Attempt-Id").value_or(""));
    http::ResponseHead head{.status = 200};
    head.headers.add("X-Ibislock-Attempt-Id", attempt);
    if (m_loading || !connection.isOpen()) {
        head.status = 503;
        head.headers.add("X-Ibislock-Not-Executed", "1");
        connection.write(http::writeResponse(head, ""));
        return;
    }
    ++served;
    servedViolating += m_usable ? 0 : 1;
    m_record.write("engine",
                   "runs " + attempt + " on version " + std::to_string(m_version)
                       + (m_usable ? "" : ", WITH A BAD PIECE"));
    head.headers.add("X-Ibislock-Response-Signature", "s-" + attempt);
    connection.write(http::writeResponse(head, "answer to " + attempt));
}

} // namespace ibislock::review
