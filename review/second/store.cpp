#include "store.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace ibislock::review
{

namespace
{

constexpr std::size_t SnapshotPage = 500;
constexpr Millis TickTime{20};

std::string base64(const std::string &text)
{
    std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                  reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int n = bytes - 1; n >= 0; --n) {
        out += static_cast<char>(value >> (8 * n) & 0xffU);
    }
    return out;
}

/// Returns a field of a query with its escapes decoded; empty if it isn't there.
std::string fieldOf(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string item = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (item.starts_with(name + "=")) {
            std::string out;
            for (std::size_t n = name.size() + 1; n < item.size(); ++n) {
                if (item[n] == '%' && n + 2 < item.size()) {
                    out += static_cast<char>(std::stoi(item.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                } else {
                    out += item[n];
                }
            }
            return out;
        }
        at = next;
    }
    return {};
}

std::size_t numberOf(const std::string &target, const std::string &name)
{
    const std::string text = fieldOf(target, name);
    return text.empty() ? 0 : std::stoul(text);
}

} // namespace

Store::Store(asio::io_context &loop, const std::string &ip)
    : m_loop(loop)
    , m_ip(ip)
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
    , m_tick(loop)
{
    m_listener.open(ip, 0);
    tick();
}

Store::~Store()
{
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

std::string Store::address() const
{
    return m_ip + ":" + std::to_string(m_listener.port());
}

void Store::append(const std::string &topic, const std::string &key, const std::string &value)
{
    m_topics[topic].push_back({.key = key, .value = value});
    answerWaiting();
}

void Store::serve(const std::shared_ptr<net::Connection> &connection)
{
    m_connections.push_back(connection);
    auto reader = std::make_shared<http::MessageReader>(http::MessageKind::Request, http::ReaderLimits{});
    connection->start({.data = [this, raw = connection.get(), reader](std::string_view bytes) {
        while (!bytes.empty()) {
            const auto used = reader->feed(bytes);
            if (!used || !reader->complete()) {
                return;
            }
            bytes.remove_prefix(*used);
            answer(raw->shared_from_this(), reader->request());
            reader->next();
        }
    }});
}

void Store::answer(const std::shared_ptr<net::Connection> &connection, const http::RequestHead &request)
{
    const std::string topic = fieldOf(request.target, "Topic");
    if (request.target.starts_with("/ibislock/log-newest")) {
        connection->write(http::writeResponse({.status = 200}, snapshot(topic, fieldOf(request.target, "After"))));
    } else if (request.target.starts_with("/ibislock/log-read")) {
        m_waiting.push_back({.connection = connection,
                             .topic = topic,
                             .from = numberOf(request.target, "From"),
                             .until = steadyMillis() + Millis{numberOf(request.target, "WaitMs")}});
        answerWaiting();
    } else {
        connection->write(http::writeResponse({.status = 404}, ""));
    }
}

void Store::answerRead(net::Connection &connection, const std::string &topic, std::size_t from)
{
    const std::vector<Stored> &records = m_topics[topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t n = from; n < records.size(); ++n) {
        body += bigEndian(1 + records[n].key.size() + records[n].value.size(), 4);
        body += static_cast<char>(records[n].key.size());
        body += records[n].key + records[n].value;
    }
    connection.write(http::writeResponse({.status = 200}, body));
}

std::string Store::snapshot(const std::string &topic, const std::string &after) const
{
    const auto it = m_topics.find(topic);
    const std::vector<Stored> none;
    const std::vector<Stored> &records = it == m_topics.end() ? none : it->second;
    std::map<std::string, std::size_t> newest;
    for (std::size_t n = 0; n < records.size(); ++n) {
        newest[records[n].key] = n;
    }
    nlohmann::json items = nlohmann::json::array();
    bool hasMore = false;
    for (const auto &[key, offset] : newest) {
        if (key <= after || records[offset].value.empty()) {
            continue;
        }
        hasMore = items.size() == SnapshotPage;
        if (hasMore) {
            break;
        }
        items.push_back({{"Key", key}, {"Value", base64(records[offset].value)}, {"Offset", offset}});
    }
    return nlohmann::json{{"Items", items}, {"HasMore", hasMore}, {"EndOffset", records.size()}}.dump();
}

void Store::answerWaiting()
{
    const Millis now = steadyMillis();
    std::vector<Waiting> waiting;
    waiting.swap(m_waiting);
    for (Waiting &item : waiting) {
        if (!item.connection->isOpen()) {
            continue;
        }
        if (item.from < m_topics[item.topic].size() || now >= item.until) {
            answerRead(*item.connection, item.topic, item.from);
        } else {
            m_waiting.push_back(std::move(item));
        }
    }
}

void Store::tick()
{
    answerWaiting();
    std::erase_if(m_connections, [](const auto &connection) { return !connection->isOpen(); });
    m_tick.start(TickTime, [this] { tick(); });
}

} // namespace ibislock::review
