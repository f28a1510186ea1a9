// How an entry VM finds, refuses and reports prompts that crash engines.

#include "call.h"
#include "front.h"
#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

void logReleased(const std::vector<std::uint64_t> &parts)
{
    for (const std::uint64_t part : parts) {
        logInfo(LogComponent::Front, "A part of prompts has left quarantine.", {{"part", hexNumber(part)}});
    }
}

void logQuarantined(const std::vector<std::uint64_t> &parts, std::string_view from)
{
    for (const std::uint64_t part : parts) {
        logWarning(LogComponent::Front, "A part of prompts crashes engines.",
                   {{"part", hexNumber(part)}, {"from", std::string(from)}});
    }
}

} // namespace

void Front::recordAnsweredParts(const std::vector<std::uint64_t> &parts)
{
    logReleased(recordAnswer(quarantine, parts, bootMillis()));
}

bool Front::refuseQuarantined(const std::shared_ptr<Call> &call)
{
    // A stream that has started can't be the cause of a crash.
    const auto part = call->responseStarted() ? std::nullopt : findQuarantined(quarantine, call->request.sharedParts);
    const Millis now = bootMillis();
    if (!part || tryProbe(quarantine, *part, now)) {
        return false;
    }
    call->refuse(CallOutcome::Quarantined, timeUntilProbe(quarantine, *part, now));
    return true;
}

void Front::applyQuarantine(const peer::QuarantineMessage &message)
{
    const serving::ReportChanges changes = applyReport(quarantine, message.report, bootMillis());
    logQuarantined(changes.quarantined, "report");
    logReleased(changes.released);
}

void Front::updateQuarantine()
{
    const Millis now = bootMillis();
    if (now < m_nextQuarantineUpdateAt) {
        return;
    }
    m_nextQuarantineUpdateAt = now + serving::EntryReportInterval;
    logQuarantined(quarantineSuspects(quarantine, now), "crashes");
    logReleased(expireQuarantine(quarantine, now));
    if (const auto report = makeReport(quarantine, now)) {
        sendQuarantine(*report);
    }
}

void Front::sendQuarantine(const serving::QuarantineReport &report)
{
    std::vector<std::string> addresses;
    const Millis now = steadyMillis();
    for (const auto &[id, target] : table.targets) {
        if (hasFreshLoad(target, now)) {
            addresses.push_back(target.entry.address);
        }
    }
    std::shuffle(addresses.begin(), addresses.end(), random);
    addresses.resize(std::min(addresses.size(), serving::EntryReportFanout));
    const std::string message = peer::encode(peer::QuarantineMessage{.report = report});
    for (const std::string &address : addresses) {
        const auto endpoint = platform::parseEndpoint(address);
        asio::error_code ec;
        const auto ip = asio::ip::make_address_v4(endpoint ? endpoint->ip : "", ec);
        if (!ec) {
            m_loads.send_to(asio::buffer(message), {ip, settings.firstPeerPort}, 0, ec);
            // A failure to send is ignored; other reports contain the same.
        }
    }
}

} // namespace ibislock::front
