#include "ibislock/standins/log_stand_in.h"

#include <nlohmann/json.hpp>

namespace ibislock::standins
{

namespace
{

using nlohmann::json;

std::uint64_t numberParameter(const httplib::Request &request, const char *name, std::uint64_t fallback)
{
    return request.has_param(name) ? std::strtoull(request.get_param_value(name).c_str(), nullptr, 10) : fallback;
}

} // namespace

LogStandIn::LogStandIn(std::uint64_t seed, unsigned threads)
    : m_seed(seed)
    , m_server(threads, seed)
{
    addRoutes(m_server);
}

void LogStandIn::addRoutes(StandInServer &server)
{
    server.post("/log/records", [this](const httplib::Request &request, httplib::Response &response) {
        handleAppend(request, response);
    });
    server.get("/log/records", [this, &server](const httplib::Request &request, httplib::Response &response) {
        handleRead(server, request, response);
    });
}

std::size_t LogStandIn::addFront(unsigned threads)
{
    m_fronts.push_back(std::make_unique<StandInServer>(threads, m_seed + m_fronts.size() + 1));
    addRoutes(*m_fronts.back());
    m_fronts.back()->start();
    return m_fronts.size() - 1;
}

std::string LogStandIn::frontUrl(std::size_t front) const
{
    return m_fronts.at(front)->url();
}

Faults &LogStandIn::frontFaults(std::size_t front)
{
    return m_fronts.at(front)->faults();
}

LogStandIn::~LogStandIn()
{
    stop();
}

void LogStandIn::start()
{
    m_server.start();
}

void LogStandIn::stop()
{
    for (const auto &front : m_fronts) {
        front->stop();
    }
    m_server.stop();
}

std::string LogStandIn::url() const
{
    return m_server.url();
}

Faults &LogStandIn::faults()
{
    return m_server.faults();
}

void LogStandIn::setRetention(std::size_t records)
{
    const std::lock_guard lock(m_mutex);
    m_retention = records;
}

void LogStandIn::setDuplicates(double probability)
{
    m_duplicates = probability;
}

std::uint64_t LogStandIn::append(const std::string &data)
{
    const std::lock_guard lock(m_mutex);
    return appendLocked(data);
}

std::uint64_t LogStandIn::appendLocked(const std::string &data)
{
    m_records.push_back(data);
    const std::uint64_t offset = m_first + m_records.size() - 1;
    while (m_retention != 0 && m_records.size() > m_retention) {
        m_records.pop_front();
        ++m_first;
    }
    m_appended.notify_all();
    return offset;
}

std::uint64_t LogStandIn::next() const
{
    const std::lock_guard lock(m_mutex);
    return m_first + m_records.size();
}

std::uint64_t LogStandIn::first() const
{
    const std::lock_guard lock(m_mutex);
    return m_first;
}

std::uint64_t LogStandIn::reads() const
{
    return m_reads;
}

std::uint64_t LogStandIn::appends() const
{
    return m_appends;
}

void LogStandIn::handleAppend(const httplib::Request &request, httplib::Response &response)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("data") || !body["data"].is_string()) {
        response.status = 400;
        return;
    }
    ++m_appends;
    const std::string data = body["data"];
    const bool twice = m_server.happens(m_duplicates);
    const std::lock_guard lock(m_mutex);
    const std::uint64_t offset = appendLocked(data);
    if (twice) {
        appendLocked(data);
    }
    response.set_content(json{{"offset", offset}}.dump(), "application/json");
}

void LogStandIn::handleRead(StandInServer &server, const httplib::Request &request, httplib::Response &response)
{
    ++m_reads;
    const std::uint64_t from = numberParameter(request, "from", 0);
    const std::uint64_t limit = numberParameter(request, "limit", 256);
    const Millis deadline = steadyMillis() + Millis(numberParameter(request, "wait_ms", 0));
    std::unique_lock lock(m_mutex);
    // Waits in short steps, so that an outage or a stop is noticed.
    while (m_first + m_records.size() <= from && steadyMillis() < deadline && !server.isStopping()
           && !server.faults().outage) {
        m_appended.wait_for(lock, Millis(50));
    }
    json records = json::array();
    const std::uint64_t next = m_first + m_records.size();
    for (std::uint64_t i = std::max(from, m_first); i < next && records.size() < limit; ++i) {
        records.push_back({{"offset", i}, {"data", m_records[i - m_first]}});
    }
    response.set_content(json{{"first", m_first}, {"next", next}, {"records", std::move(records)}}.dump(),
                         "application/json");
}

} // namespace ibislock::standins
