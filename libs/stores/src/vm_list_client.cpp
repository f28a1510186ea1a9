#include "ibislock/stores/vm_list_client.h"

#include <nlohmann/json.hpp>

namespace ibislock::stores
{

namespace
{

using nlohmann::json;

Result<std::vector<membership::ListedVm>> vmsFrom(const std::string &text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("vms") || !value["vms"].is_array()) {
        return failure(ErrorCode::Corrupt, "the list of VMs is malformed");
    }
    std::vector<membership::ListedVm> vms;
    for (const json &item : value["vms"]) {
        for (const char *name : {"vm", "domain", "address", "kind", "state"}) {
            if (!item.is_object() || !item.contains(name) || !item[name].is_string()) {
                return failure(ErrorCode::Corrupt, "the list of VMs is malformed");
            }
        }
        const auto kind = valueOf(membership::VmKindNames, item["kind"].get_ref<const std::string &>());
        if (!kind) {
            continue;
        }
        vms.push_back({.vm = item["vm"],
                       .domain = item["domain"],
                       .address = item["address"],
                       .kind = *kind,
                       .leaving = item["state"] == "leaving"});
    }
    return vms;
}

} // namespace

VmListClient::VmListClient(const EndpointOptions &options)
    : m_endpoint(options)
{
}

Result<std::vector<membership::ListedVm>> VmListClient::read()
{
    return m_endpoint.get("/vms").and_then(vmsFrom);
}

} // namespace ibislock::stores
