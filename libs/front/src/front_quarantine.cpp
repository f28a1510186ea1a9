// How an entry VM finds, refuses and reports requests and prompts that crash targets.

#include "call.h"
#include "front.h"
#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

void logReleased(const std::vector<serving::Suspect> &suspects)
{
    for (const serving::Suspect &suspect : suspects) {
        if (suspect.kind == serving::SuspectKind::Part) {
            logInfo(LogComponent::Front, "A part of prompts has left quarantine.", {{"part", hexNumber(suspect.id)}});
        } else {
            logInfo(LogComponent::Front, "A request has left quarantine.", {{"request", hexNumber(suspect.id)}});
        }
    }
}

void logQuarantined(const std::vector<serving::Suspect> &suspects, std::string_view from)
{
    for (const serving::Suspect &suspect : suspects) {
        if (suspect.kind == serving::SuspectKind::Part) {
            logWarning(LogComponent::Front, "A part of prompts crashes engines.",
                       {{"part", hexNumber(suspect.id)}, {"from", std::string(from)}});
        } else {
            logWarning(LogComponent::Front, "A request crashes targets.",
                       {{"request", hexNumber(suspect.id)}, {"from", std::string(from)}});
        }
    }
}

} // namespace

void Front::recordAnswered(const std::vector<serving::Suspect> &suspects)
{
    logReleased(recordAnswer(quarantine, suspects, bootMillis()));
}

bool Front::refuseQuarantined(const std::shared_ptr<Call> &call)
{
    // A stream that has started can't be the cause of a crash.
    const auto suspect = call->responseStarted() ? std::nullopt : findQuarantined(quarantine, call->suspects);
    const Millis now = bootMillis();
    if (!suspect) {
        return false;
    }
    call->isProbe = tryProbe(quarantine, *suspect, now);
    if (call->isProbe) {
        return false;
    }
    call->refuse(CallOutcome::Quarantined, timeUntilProbe(quarantine, *suspect, now));
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
