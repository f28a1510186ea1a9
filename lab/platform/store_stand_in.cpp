#include "store_stand_in.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace ibislock::lab
{

namespace
{

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

std::size_t queryNumber(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::stoul(target.substr(at + name.size() + 1));
}

std::string queryText(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    const std::size_t begin = at + name.size() + 1;
    const std::string raw = at == std::string::npos ? "" : target.substr(begin, target.find('&', begin) - begin);
    constexpr std::size_t EscapeSize = 3; // A percent sign and two hexadecimal digits.
    constexpr int HexBase = 16;
    std::string out;
    for (std::size_t n = 0; n < raw.size(); n += raw[n] == '%' ? EscapeSize : 1) {
        out += raw[n] == '%' ? static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, HexBase)) : raw[n];
    }
    return out;
}

} // namespace

StoreStandIn::StoreStandIn(asio::io_context &loop)
    : m_loop(loop)
    , m_listener(loop, [this](const std::shared_ptr<net::Connection> &connection) { serve(connection); })
{
    m_listener.open("127.0.0.1", 0);
}

StoreStandIn::~StoreStandIn()
{
    for (const auto &connection : m_connections) {
        connection->close();
    }
}

std::uint16_t StoreStandIn::port() const
{
    return m_listener.port();
}

void StoreStandIn::append(const std::string &key, const std::string &value)
{
    m_records.emplace_back(key, value);
    std::vector<Waiting> waiting;
    waiting.swap(m_waiting);
    for (const Waiting &item : waiting) {
        const auto connection = item.connection.lock();
        if (!connection || !connection->isOpen()) {
            continue;
        }
        if (item.from < m_records.size()) {
            answerReadLater(connection, item.topic, item.from);
        } else {
            m_waiting.push_back(item);
        }
    }
}

void StoreStandIn::trim(std::size_t before)
{
    m_first = before;
}

std::size_t StoreStandIn::size() const
{
    return m_records.size();
}

void StoreStandIn::restore(std::size_t n)
{
    m_records.resize(n);
    ++era;
    m_waiting.clear();
    for (const auto &connection : std::exchange(m_connections, {})) {
        connection->close();
    }
}

http::ResponseHead StoreStandIn::headWith(int status) const
{
    http::ResponseHead out{.status = status};
    if (era > 0) {
        out.headers.add("Store-Era", std::to_string(era));
    }
    return out;
}

void StoreStandIn::serve(const std::shared_ptr<net::Connection> &connection)
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
            answer(*raw, reader->request());
            reader->next();
        }
    }});
}

void StoreStandIn::answer(net::Connection &connection, const http::RequestHead &request)
{
    lastWait = queryNumber(request.target, "WaitMs");
    if (silent || losses > 0) {
        losses -= silent ? 0 : 1;
        return;
    }
    if (refusals > 0) {
        --refusals;
        connection.write(http::writeResponse(headWith(503), ""));
        return;
    }
    const std::string topic = queryText(request.target, "Topic");
    if (request.target.find("log-newest") != std::string::npos) {
        ++snapshots;
        const std::string page = snapshot(topic, queryText(request.target, "After"));
        if (snapshotDelay == Millis{0}) {
            connection.write(http::writeResponse(headWith(200), page));
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_loop, snapshotDelay);
        timer->async_wait([timer, bytes = http::writeResponse(headWith(200), page),
                           to = connection.shared_from_this()](const asio::error_code &) { to->write(bytes); });
        return;
    }
    ++reads;
    const std::size_t from = queryNumber(request.target, "From");
    if (from < m_first || (era > 0 && from > m_records.size())) {
        connection.write(http::writeResponse(headWith(410), "{\"First\":" + std::to_string(m_first) + "}"));
    } else if (from < m_records.size()) {
        answerReadLater(connection.shared_from_this(), topic, from);
    } else if (lastWait == 0) {
        answerRead(connection, topic, from);
    } else {
        hold(connection, topic, from, Millis{static_cast<std::int64_t>(lastWait)});
    }
}

void StoreStandIn::hold(net::Connection &connection, const std::string &topic, std::size_t from, Millis time)
{
    const std::uint64_t number = ++m_holds;
    m_waiting.push_back({.connection = connection.weak_from_this(), .topic = topic, .from = from, .number = number});
    auto timer = std::make_shared<asio::steady_timer>(m_loop, time);
    timer->async_wait([this, timer, number](const asio::error_code &ec) {
        const auto it = std::find_if(m_waiting.begin(), m_waiting.end(),
                                     [&](const Waiting &item) { return item.number == number; });
        if (ec || it == m_waiting.end()) {
            return;
        }
        const auto to = it->connection.lock();
        const std::string topicHeld = it->topic;
        const std::size_t at = it->from;
        m_waiting.erase(it);
        if (to && to->isOpen() && !silent) {
            answerRead(*to, topicHeld, at);
        }
    });
}

void StoreStandIn::answerReadLater(const std::shared_ptr<net::Connection> &connection, const std::string &topic,
                                   std::size_t from)
{
    if (delay == Millis{0}) {
        answerRead(*connection, topic, from);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
    timer->async_wait(
        [this, timer, connection, topic, from](const asio::error_code &) { answerRead(*connection, topic, from); });
}

void StoreStandIn::answerRead(net::Connection &connection, const std::string &topic, std::size_t from)
{
    std::string body = bigEndian(m_records.size(), 8) + bigEndian(m_first, 8);
    for (std::size_t n = from; n < m_records.size(); ++n) {
        const auto &[key, value] = m_records[n];
        body += bigEndian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size());
        body += key + value;
        ++recordsSent[{topic, key}];
    }
    const std::string answer = http::writeResponse(headWith(200), body);
    const auto parts = static_cast<std::size_t>(spread / PartPause);
    writeInParts(connection.shared_from_this(), answer, parts == 0 ? answer.size() : answer.size() / parts + 1);
}

void StoreStandIn::writeInParts(const std::shared_ptr<net::Connection> &connection, std::string bytes, std::size_t part)
{
    connection->write(bytes.substr(0, part));
    bytes.erase(0, part);
    if (bytes.empty() || !connection->isOpen()) {
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop, PartPause);
    timer->async_wait([this, timer, connection, rest = std::move(bytes), part](const asio::error_code &ec) {
        if (!ec) {
            writeInParts(connection, rest, part);
        }
    });
}

std::string StoreStandIn::snapshot(const std::string &topic, const std::string &after)
{
    std::map<std::string, std::size_t> newest;
    for (std::size_t n = 0; n < m_records.size(); ++n) {
        newest[m_records[n].first] = n;
    }
    nlohmann::json items = nlohmann::json::array();
    bool hasMore = false;
    for (const auto &[key, offset] : newest) {
        if ((!after.empty() && key <= after) || (omitsDeleted && m_records[offset].second.empty())) {
            continue;
        }
        hasMore = snapshotPageSize > 0 && items.size() == snapshotPageSize;
        if (hasMore) {
            break;
        }
        ++recordsSent[{topic, key}];
        items.push_back({{"Key", key}, {"Value", base64(m_records[offset].second)}, {"Offset", offset}});
    }
    return nlohmann::json{{"Items", items}, {"HasMore", hasMore}, {"EndOffset", m_records.size()}}.dump();
}

} // namespace ibislock::lab
