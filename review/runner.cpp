#include "runner.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <random>
#include <thread>

namespace review
{

namespace
{

constexpr int Layers = 16;

std::string hex(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string out;
    for (const char byte : bytes) {
        out += Digits[static_cast<unsigned char>(byte) >> 4U];
        out += Digits[static_cast<unsigned char>(byte) & 0xfU];
    }
    return out;
}

std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    const std::uint64_t value = random();
    return "i-" + hex(std::string_view(reinterpret_cast<const char *>(&value), 5));
}

/// Returns what follows a prefix of a path; empty if the path doesn't begin with it.
std::string behind(const std::string &path, std::string_view prefix)
{
    return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string();
}

const std::vector<std::pair<std::string, std::string>> JsonFields{{"Content-Type", "application/json"}};

} // namespace

void Runs::add(Run run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
}

std::vector<Run> Runs::all()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

Runner::Runner(Store &store, Record &record, Runs &runs, RunnerOptions options)
    : m_store(store)
    , m_record(record)
    , m_runs(runs)
    , m_options(std::move(options))
    , m_id(newId())
    , m_born(unixMs())
    , m_server(std::make_unique<HttpServer>(
          m_options.ip, [this](const Message &request, Channel &channel) { handle(request, channel); }))
{
}

void Runner::start()
{
    writeListing();
    std::thread([this] {
        while (true) {
            sleepMs(m_options.heartbeatMs);
            writeListing();
        }
    }).detach();
}

nlohmann::json Runner::listing()
{
    nlohmann::json entry{{"Service", m_options.service},
                         {"Address", address()},
                         {"Zone", m_options.zone},
                         {"Version", "v1"},
                         {"Slots", m_options.slots},
                         {"State", leaving ? "draining" : "ready"},
                         {"ColdLeftMs", 0},
                         {"Sequence", ++m_writes},
                         {"born", m_born}};
    const std::int64_t version = listedVersion();
    if (version >= 0) {
        entry["Phase"] = "mixed";
        entry["Models"] = nlohmann::json::array();
        if (version > 0) {
            entry["Models"].push_back({{"Name", "m0"}, {"Version", version}, {"Adapters", nlohmann::json::array()}});
        }
    }
    return entry;
}

void Runner::writeListing()
{
    m_store.append("keyed.servers", m_id, listing().dump());
}

std::string Runner::id() const
{
    return m_id;
}

std::string Runner::address() const
{
    return m_server->address();
}

const RunnerOptions &Runner::options() const
{
    return m_options;
}

std::int64_t Runner::listedVersion()
{
    return -1;
}

bool Runner::refuseMisdirected(const Message &request, Channel &channel)
{
    const std::string expected = request.field("X-Ibislock-Expect-Instance");
    if (expected.empty() || expected == m_id) {
        return false;
    }
    channel.write(response(
        421, {{"X-Ibislock-Instance-Id", m_id}, {"X-Ibislock-Attempt-Id", request.field("X-Ibislock-Attempt-Id")}},
        ""));
    return true;
}

std::vector<std::pair<std::string, std::string>> Runner::signedFields(const Message &request)
{
    std::vector<std::pair<std::string, std::string>> out{
        {"X-Ibislock-Attempt-Id", request.field("X-Ibislock-Attempt-Id")},
        {"X-Ibislock-Response-Signature", m_id + "." + std::to_string(++m_answers)}};
    if (leaving) {
        out.emplace_back("Server-Leaving", "1");
    }
    return out;
}

void PlainRunner::handle(const Message &request, Channel &channel)
{
    if (request.path() == "/health") {
        channel.write(response(200, {{"X-Ibislock-Instance-Id", m_id}}, ""));
        return;
    }
    if (refuseMisdirected(request, channel)) {
        return;
    }
    const std::string attempt = request.field("X-Ibislock-Attempt-Id");
    m_runs.add({.attempt = attempt, .runner = m_id, .tenant = request.field("X-Ibislock-Tenant"), .at = nowMs()});
    m_record.line("run " + attempt + " by " + m_id + " " + request.start
                  + " tenant=" + request.field("X-Ibislock-Tenant"));
    sleepMs(workMs);
    channel.write(response(200, signedFields(request), "answer to " + attempt));
}

std::string Weights::piece(std::int64_t version, int number) const
{
    std::mt19937 random(static_cast<unsigned>(version * 1000 + number));
    std::string out(pieceBytes, '\0');
    std::generate(out.begin(), out.end(), [&] { return static_cast<char>(random()); });
    return out;
}

std::string Weights::digest(std::int64_t version, int number) const
{
    const std::string bytes = piece(version, number);
    unsigned char out[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), out);
    return hex(std::string_view(reinterpret_cast<const char *>(out), sizeof out));
}

Engine::Engine(Store &store, Record &record, Runs &runs, RunnerOptions options, Weights weights)
    : Runner(store, record, runs, std::move(options))
    , m_weights(std::move(weights))
{
    for (int n = 0; n < m_weights.pieces; ++n) {
        m_staged[n] = m_weights.piece(1, n);
    }
}

std::int64_t Engine::version()
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

std::int64_t Engine::listedVersion()
{
    return version();
}

std::string Engine::report()
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json out{{"Phase", "mixed"},  {"Models", nlohmann::json::array()},
                       {"Busy", m_loading}, {"Sequence", m_orders},
                       {"Queued", 0},       {"Running", m_running},
                       {"KvUsed", 0},       {"KvTotal", 317000},
                       {"Handles", 0},      {"pace", 1.0},
                       {"born", m_born},    {"layers", nlohmann::json::array()}};
    if (m_version > 0) {
        out["Models"].push_back(
            {{"Name", m_weights.model}, {"Version", m_version}, {"Adapters", nlohmann::json::array()}});
        out["layers"].push_back({{"From", 0}, {"To", Layers}, {"Version", m_version}});
    }
    return out.dump();
}

void Engine::handle(const Message &request, Channel &channel)
{
    const std::string path = request.path();
    if (path == "/ibislock/report") {
        channel.write(response(200, JsonFields, report()));
    } else if (path == "/ibislock/order") {
        order(request, channel);
    } else if (path.starts_with("/ibislock/stage-")) {
        stage(request, channel);
    } else if (path == "/health") {
        channel.write(response(200, {{"X-Ibislock-Instance-Id", m_id}}, ""));
    } else if (!refuseMisdirected(request, channel)) {
        stream(request, channel);
    }
}

void Engine::order(const Message &request, Channel &channel)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    std::unique_lock lock(m_mutex);
    const std::int64_t wanted = body.value("Version", std::int64_t{0});
    int status = 202;
    if (body.value("Operation", "") != "start") {
        status = 400;
    } else if (m_version == wanted && !m_loading) {
        status = 200;
    } else if (m_loading || body.value("Expected", m_orders) != m_orders) {
        status = 409;
    }
    if (status == 202) {
        bool whole = static_cast<int>(m_staged.size()) == m_weights.pieces;
        for (int n = 0; whole && n < m_weights.pieces; ++n) {
            whole = m_staged[n] == m_weights.piece(wanted, n);
        }
        m_record.line("engine " + m_id + " accepts an order to load version " + std::to_string(wanted)
                      + (whole ? ", all pieces match" : ", PIECES DO NOT MATCH"));
        ++m_orders;
        m_loading = true;
        std::thread([this, wanted, born = m_born] {
            sleepMs(loadMs);
            const std::lock_guard loaded(m_mutex);
            if (m_born == born) {
                m_loading = false;
                m_version = wanted;
            }
        }).detach();
    }
    lock.unlock();
    channel.write(response(status, JsonFields, "{}"));
}

void Engine::stage(const Message &request, Channel &channel)
{
    const std::string number = request.query("Num");
    const int piece = std::atoi(number.c_str());
    if (endlessStage && request.path().starts_with("/ibislock/stage-get/")) {
        m_record.line("engine " + m_id + " answers a read of its stage with bytes without end");
        const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
        bool open = channel.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (open) {
            open = channel.write(chunk);
        }
        channel.reset();
        return;
    }
    std::unique_lock lock(m_mutex);
    if (request.path().starts_with("/ibislock/stage-put/")) {
        m_staged[piece] = request.body;
        lock.unlock();
        channel.write(response(200, JsonFields, "{}"));
        return;
    }
    if (number.empty()) {
        nlohmann::json held = nlohmann::json::array();
        for (const auto &[key, bytes] : m_staged) {
            held.push_back(key);
        }
        lock.unlock();
        channel.write(response(200, JsonFields, nlohmann::json{{"held", held}}.dump()));
        return;
    }
    const auto it = m_staged.find(piece);
    const bool found = it != m_staged.end();
    const std::string bytes = found ? it->second : std::string();
    lock.unlock();
    channel.write(response(found ? 200 : 404, {}, bytes));
}

void Engine::stream(const Message &request, Channel &channel)
{
    const std::string attempt = request.field("X-Ibislock-Attempt-Id");
    const std::string expected = request.field("X-Ibislock-Expect-Version");
    std::unique_lock lock(m_mutex);
    const std::int64_t held = m_version;
    if (!expected.empty() && expected != std::to_string(held)) {
        lock.unlock();
        channel.write(response(421, {{"X-Ibislock-Attempt-Id", attempt}, {"X-Ibislock-Instance-Id", m_id}}, ""));
        return;
    }
    if (held == 0 || m_loading || m_running >= m_options.slots) {
        lock.unlock();
        channel.write(response(503, {{"X-Ibislock-Attempt-Id", attempt}, {"X-Ibislock-Not-Executed", "1"}}, ""));
        return;
    }
    ++m_running;
    lock.unlock();
    m_runs.add({.attempt = attempt, .runner = m_id, .tenant = "", .at = nowMs(), .version = held});
    m_record.line("run " + attempt + " by " + m_id + " on version " + std::to_string(held));
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : signedFields(request)) {
        head += name + ": " + value + "\r\n";
    }
    head += "X-Ibislock-Weight-Versions: " + std::to_string(held) + "\r\n\r\n";
    bool open = channel.write(head);
    for (int n = std::atoi(request.field("Last-Event-Id").c_str()) + 1; open && n <= events; ++n) {
        sleepMs(eventMs);
        const std::string event = "id: " + std::to_string(n) + "\ndata: part of " + attempt + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        open = !channel.closedByPeer() && channel.write(size + event + "\r\n");
    }
    if (open) {
        channel.write("0\r\n\r\n");
    }
    lock.lock();
    --m_running;
}

Origin::Origin(const std::string &ip, Record &record, Weights weights)
    : m_record(record)
    , m_weights(std::move(weights))
    , m_server(ip, [this](const Message &request, Channel &channel) { handle(request, channel); })
{
}

std::string Origin::address() const
{
    return m_server.address();
}

void Origin::handle(const Message &request, Channel &channel)
{
    const std::string text = request.query("Version");
    const std::int64_t version = text.empty() ? newest.load() : std::atol(text.c_str());
    if (version > newest || version < 1) {
        channel.write(response(404, JsonFields, "{}"));
    } else if (version + 2 <= newest) {
        channel.write(response(410, JsonFields, "{}"));
    } else if (!behind(request.path(), "/ibislock/manifest/").empty()) {
        nlohmann::json digests = nlohmann::json::array();
        for (int n = 0; n < m_weights.pieces; ++n) {
            digests.push_back(m_weights.digest(version, n));
        }
        std::string body = nlohmann::json{
            {"Model", m_weights.model},
            {"Version", version},
            {"ChunkBytes", m_weights.pieceBytes},
            {"layers", Layers},
            {"Digests",
             digests}}.dump();
        ++manifests;
        if (version == 2 && manifestsToSpoil > 0) {
            --manifestsToSpoil;
            char &digit = body[body.find("\"Digests\":[\"") + 12];
            digit = digit == '7' ? '6' : '7';
            m_record.say("the origin sends a manifest of version 2 with one wrong digit in the digest of piece 0");
        } else {
            m_record.line("the origin sends a sound manifest of version " + std::to_string(version));
        }
        send(channel, response(200, JsonFields, body));
    } else {
        ++pieces;
        const std::string bytes = m_weights.piece(version, std::atoi(request.query("Num").c_str()));
        send(channel, response(200, {}, bytes));
    }
}

void Origin::send(Channel &channel, const std::string &bytes)
{
    const std::lock_guard lock(m_link);
    sleepMs(static_cast<std::int64_t>(static_cast<double>(bytes.size()) * 8 / (linkMbps * 1000)));
    channel.write(bytes);
}

} // namespace review
