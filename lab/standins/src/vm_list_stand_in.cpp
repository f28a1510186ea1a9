#include "ibislock/standins/vm_list_stand_in.h"

#include <nlohmann/json.hpp>

namespace ibislock::standins
{

VmListStandIn::VmListStandIn(std::uint64_t seed, unsigned threads)
    : m_server(threads, seed)
{
    m_server.get("/vms", [this](const httplib::Request &request, httplib::Response &response) {
        handleRead(request, response);
    });
}

VmListStandIn::~VmListStandIn()
{
    stop();
}

void VmListStandIn::start()
{
    m_server.start();
}

void VmListStandIn::stop()
{
    m_server.stop();
}

std::string VmListStandIn::url() const
{
    return m_server.url();
}

Faults &VmListStandIn::faults()
{
    return m_server.faults();
}

void VmListStandIn::setLag(Millis lag)
{
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
}

void VmListStandIn::set(const std::string &vm, const ListedVm &listed)
{
    const std::lock_guard lock(m_mutex);
    m_vms[vm] = listed;
    changed();
}

void VmListStandIn::remove(const std::string &vm)
{
    const std::lock_guard lock(m_mutex);
    m_vms.erase(vm);
    changed();
}

std::uint64_t VmListStandIn::reads() const
{
    return m_reads;
}

void VmListStandIn::changed()
{
    m_pending.emplace_back(steadyMillis() + m_lag, m_vms);
}

void VmListStandIn::handleRead(const httplib::Request &, httplib::Response &response)
{
    ++m_reads;
    nlohmann::json vms = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    while (!m_pending.empty() && m_pending.front().first <= steadyMillis()) {
        m_shown = std::move(m_pending.front().second);
        m_pending.pop_front();
    }
    for (const auto &[vm, listed] : m_shown) {
        vms.push_back({{"vm", vm},
                       {"domain", listed.domain},
                       {"address", listed.address},
                       {"kind", listed.kind},
                       {"state", listed.leaving ? "leaving" : "live"}});
    }
    response.set_content(nlohmann::json{{"vms", std::move(vms)}}.dump(), "application/json");
}

} // namespace ibislock::standins
