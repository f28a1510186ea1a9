#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace review
{

namespace
{

constexpr std::size_t PageItems = 500;

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int n = bytes - 1; n >= 0; --n) {
        out += static_cast<char>(value >> (8 * n) & 0xffU);
    }
    return out;
}

std::string base64(const std::string &text)
{
    std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                  reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

} // namespace

Store::Store(const std::string &ip)
    : m_server(ip, [this](const Message &request, Channel &channel) { answer(request, channel); })
{
}

std::string Store::address() const
{
    return m_server.address();
}

std::int64_t Store::append(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    if (m_away) {
        return -1;
    }
    std::vector<StoredRecord> &records = m_content[topic];
    records.push_back({.key = key, .value = value});
    m_changed.notify_all();
    return static_cast<std::int64_t>(records.size()) - 1;
}

StoreContent Store::copy()
{
    const std::lock_guard lock(m_mutex);
    return m_content;
}

void Store::goAway()
{
    {
        const std::lock_guard lock(m_mutex);
        m_away = true;
        m_changed.notify_all();
    }
    m_server.setAway(true);
}

void Store::comeBack(const StoreContent &content)
{
    const std::lock_guard lock(m_mutex);
    m_content = content;
    ++m_era;
    m_away = false;
    m_server.setAway(false);
}

std::int64_t Store::endOf(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::int64_t>(m_content[topic].size());
}

bool Store::isAway()
{
    const std::lock_guard lock(m_mutex);
    return m_away;
}

std::string Store::snapshot(const std::string &topic, const std::string &after)
{
    const std::vector<StoredRecord> &records = m_content[topic];
    std::map<std::string, std::size_t> newest;
    for (std::size_t n = 0; n < records.size(); ++n) {
        newest[records[n].key] = n;
    }
    nlohmann::json items = nlohmann::json::array();
    bool more = false;
    for (const auto &[key, offset] : newest) {
        if (key <= after || !records[offset].value) {
            continue;
        }
        more = items.size() == PageItems;
        if (more) {
            break;
        }
        items.push_back({{"Key", key}, {"Value", base64(*records[offset].value)}, {"Offset", offset}});
    }
    return nlohmann::json{{"Items", items}, {"HasMore", more}, {"EndOffset", records.size()}}.dump();
}

void Store::answer(const Message &request, Channel &channel)
{
    std::unique_lock lock(m_mutex);
    const std::int64_t era = m_era;
    const std::vector<std::pair<std::string, std::string>> json{{"Content-Type", "application/json"},
                                                                {"Store-Era", std::to_string(era)}};
    const std::string topic = request.query("Topic");
    if (request.path() == "/ibislock/log-newest") {
        const std::string page = snapshot(topic, request.query("After"));
        lock.unlock();
        channel.write(response(200, json, page));
        return;
    }
    if (request.path() != "/ibislock/log-read") {
        lock.unlock();
        channel.write(response(404, json, "{}"));
        return;
    }
    const std::size_t from = std::strtoul(request.query("From").c_str(), nullptr, 10);
    const std::int64_t wait = std::min(30000L, std::strtol(request.query("WaitMs").c_str(), nullptr, 10));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    m_changed.wait_until(lock, until, [&] { return m_away || m_era != era || from != m_content[topic].size(); });
    if (m_away || m_era != era) {
        return; // The connection was reset.
    }
    const std::vector<StoredRecord> &records = m_content[topic];
    if (from > records.size()) {
        lock.unlock();
        channel.write(response(410, json, R"({"First":0})"));
        return;
    }
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t n = from; n < records.size(); ++n) {
        const std::string value = records[n].value.value_or("");
        body += bigEndian(1 + records[n].key.size() + value.size(), 4) + static_cast<char>(records[n].key.size());
        body += records[n].key + value;
    }
    lock.unlock();
    channel.write(response(200, {{"Store-Era", std::to_string(era)}}, body));
}

} // namespace review
