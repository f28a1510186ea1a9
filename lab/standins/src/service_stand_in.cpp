#include "ibislock/standins/service_stand_in.h"

#include <nlohmann/json.hpp>

namespace ibislock::standins
{

ServiceStandIn::ServiceStandIn(std::uint64_t seed, unsigned threads)
    : m_server(threads, seed)
{
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        handle(request, response);
    };
    m_server.get("/.*", handler);
    m_server.post("/.*", handler);
    m_server.put("/.*", handler);
}

ServiceStandIn::~ServiceStandIn()
{
    stop();
}

void ServiceStandIn::start()
{
    m_server.start();
}

void ServiceStandIn::stop()
{
    m_server.stop();
}

std::string ServiceStandIn::url() const
{
    return m_server.url();
}

Faults &ServiceStandIn::faults()
{
    return m_server.faults();
}

std::uint64_t ServiceStandIn::runsOf(const std::string &body) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(body);
    return it == m_runs.end() ? 0 : it->second;
}

std::uint64_t ServiceStandIn::mostRuns() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t most = 0;
    for (const auto &[body, runs] : m_runs) {
        most = std::max(most, runs);
    }
    return most;
}

void ServiceStandIn::handle(const httplib::Request &request, httplib::Response &response)
{
    std::uint64_t runs = 0;
    if (request.method != "GET") {
        const std::lock_guard lock(m_mutex);
        runs = ++m_runs[request.body];
    }
    response.set_header("X-Request-Id", request.get_header_value("X-Request-Id"));
    response.set_content(
        nlohmann::json{{"method", request.method}, {"path", request.path}, {"body", request.body}, {"runs", runs}}
            .dump(),
        "application/json");
}

} // namespace ibislock::standins
