// Stands in for the platform's lagging list of VMs.
//
//     GET /vms -> {"vms": [{"vm", "domain", "address", "kind", "state": "live" | "leaving"}]}

#pragma once

#include "ibislock/standins/stand_in_server.h"

#include <deque>
#include <map>

namespace ibislock::standins
{

/// One VM of the list.
struct ListedVm
{
    std::string domain;
    std::string address;
    std::string kind;
    bool leaving = false;
};

/// The list. Changes show after the lag.
class VmListStandIn
{
public:
    explicit VmListStandIn(std::uint64_t seed, unsigned threads = 256);
    ~VmListStandIn();

    void start();
    void stop();
    std::string url() const;
    Faults &faults();
    void setLag(Millis lag);

    /// Adds or changes a VM.
    void set(const std::string &vm, const ListedVm &listed);

    /// Removes a VM.
    void remove(const std::string &vm);

    /// Gives how often the list was read.
    std::uint64_t reads() const;

private:
    using Vms = std::map<std::string, ListedVm>;

    void handleRead(const httplib::Request &request, httplib::Response &response);
    void changed();

    StandInServer m_server;
    std::mutex m_mutex;
    Vms m_vms;
    std::deque<std::pair<Millis, Vms>> m_pending;
    Vms m_shown;
    Millis m_lag{0};
    std::atomic<std::uint64_t> m_reads = 0;
};

} // namespace ibislock::standins
