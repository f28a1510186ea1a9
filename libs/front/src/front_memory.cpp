// What an entry VM's daemon does so that callers can't use up its memory and descriptors.

#include "caller_connection.h"
#include "front.h"
#include "ibislock/base/log.h"
#include "ibislock/base/metrics_text.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

/// Interval of log lines on what gave way.
constexpr Millis GiveWayLogTime{5000};

/// Rejected requests that are logged in each interval of `RejectionLogTime`.
constexpr int LoggedRejections = 10;
constexpr Millis RejectionLogTime{1000};

} // namespace

bool Front::reserveMemory(serving::HolderId holder, std::size_t bytes)
{
    const serving::GrantResult grant = setBytes(memory, holder, bytes, steadyMillis());
    closeEvicted(grant.evicted);
    return grant.granted;
}

bool Front::admitCaller()
{
    if (!m_nextHolder) {
        const serving::OpenResult opened = openHolder(memory, steadyMillis());
        closeEvicted(opened.evicted);
        m_nextHolder = opened.id;
    }
    if (!m_nextHolder) {
        countGiveWay(memory, serving::GiveWayReason::PausedAccept);
    }
    return m_nextHolder.has_value();
}

void Front::serveCaller(const std::shared_ptr<net::Connection> &connection)
{
    const serving::HolderId holder = *std::exchange(m_nextHolder, std::nullopt);
    recordProgress(memory, holder, steadyMillis());
    auto caller = std::make_shared<CallerConnection>(*this, connection, holder);
    m_connections.emplace(caller.get(), caller);
    m_holders.emplace(holder, caller.get());
    caller->start();
}

void Front::closeEvicted(const std::vector<serving::HolderId> &evicted)
{
    for (const serving::HolderId holder : evicted) {
        const auto it = m_holders.find(holder);
        if (it != m_holders.end()) {
            const auto connection = m_connections.at(it->second);
            connection->giveWay();
        }
    }
}

bool Front::mayConnect()
{
    if (client.connections() >= memory.limits.targetConnections) {
        client.closeAllIdleConnections();
    }
    return client.connections() < memory.limits.targetConnections;
}

bool Front::mayLogRejection()
{
    const Millis now = steadyMillis();
    if (now - m_rejectionsCountedFrom >= RejectionLogTime) {
        m_rejectionsCountedFrom = now;
        m_loggedRejections = 0;
    }
    return m_loggedRejections++ < LoggedRejections;
}

void Front::logGiveWay(Millis now)
{
    if (now < m_nextGiveWayLogAt || m_loggedGiveWay == memory.gaveWay) {
        return;
    }
    m_nextGiveWayLogAt = now + GiveWayLogTime;
    std::string reasons;
    for (const auto &[reason, name] : serving::GiveWayReasonNames) {
        const auto n = static_cast<std::size_t>(reason);
        const std::uint64_t since = memory.gaveWay[n] - m_loggedGiveWay[n];
        if (since > 0) {
            reasons.append(reasons.empty() ? "" : ",").append(name).append(":").append(std::to_string(since));
        }
    }
    m_loggedGiveWay = memory.gaveWay;
    logWarning(LogComponent::Front, "Memory or descriptors are short; callers gave way.",
               {{"reasons", reasons},
                {"bytes", std::to_string(memory.used)},
                {"limit", std::to_string(memory.limits.bytes)},
                {"connections", std::to_string(memory.holders.size())},
                {"connection_limit", std::to_string(memory.limits.connections)}});
}

void Front::writeMemoryBudget(std::string &out) const
{
    writeGauge(out, "ibislock_caller_bytes", "Memory that callers' connections hold, as accounted.",
               static_cast<std::int64_t>(memory.used));
    writeGauge(out, "ibislock_caller_bytes_limit", "The most that they may hold.",
               static_cast<std::int64_t>(memory.limits.bytes));
    writeGauge(out, "ibislock_caller_connections_limit", "Connections of callers that are kept at most.",
               static_cast<std::int64_t>(memory.limits.connections));
    writeMetricHeader(out, "ibislock_gave_way_total", "counter",
                      "What gave way to the limits of memory and descriptors.");
    for (const auto &[reason, name] : serving::GiveWayReasonNames) {
        writeLabelled(out, "ibislock_gave_way_total", "reason", name,
                      static_cast<std::int64_t>(memory.gaveWay[static_cast<std::size_t>(reason)]));
    }
}

} // namespace ibislock::front
