#include "log_follower.h"

#include "ibislock/base/log.h"
#include "ibislock/base/random.h"

#include <algorithm>

namespace ibislock::node
{

namespace
{

constexpr Millis RetryInterval{200};
constexpr Millis IdleInterval{100};
constexpr unsigned ConfirmPagesMax = 16;

stores::EndpointOptions withWait(stores::EndpointOptions options, Millis wait)
{
    options.callTimeout += wait;
    return options;
}

} // namespace

LogFollower::LogFollower(const NodeOptions &options, Counters &counters, StateHolder &holder)
    : m_options(options)
    , m_counters(counters)
    , m_holder(holder)
    , m_reader(withWait(options.log, options.logWait))
    , m_confirmer(options.log)
{
}

LogFollower::~LogFollower()
{
    stop();
}

void LogFollower::start(std::function<bool()> isServedByOthers)
{
    m_isServedByOthers = std::move(isServedByOthers);
    m_thread = std::thread([this] { follow(); });
}

void LogFollower::stop()
{
    m_stopping = true;
    m_reader.stop();
    m_confirmer.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Millis LogFollower::readAt() const
{
    return m_readAt;
}

bool LogFollower::isReachable() const
{
    return m_reachable;
}

bool LogFollower::hasGap() const
{
    return m_gap;
}

void LogFollower::follow()
{
    Random random = systemRandom();
    while (!m_stopping) {
        if (m_isServedByOthers()) {
            std::this_thread::sleep_for(IdleInterval);
            continue;
        }
        const configuration::Offset known = m_holder.state()->next;
        const bool inGap = known < m_first;
        const configuration::Offset from = inGap ? std::max(known, m_scanned) : known;
        const auto page = m_reader.read({.from = from, .wait = m_options.logWait});
        m_reachable = page.has_value();
        if (!page) {
            m_counters.add(Counter::LogReadFailures);
            std::this_thread::sleep_for(jittered(random, RetryInterval));
            continue;
        }
        take(*page);
    }
}

void LogFollower::take(const stores::LogPage &page)
{
    m_first = page.first;
    m_readAt = steadyMillis();
    m_holder.notePage(page.first, page.next);
    const FoldSummary summary = m_holder.foldRecords(page.records);
    if (!page.records.empty()) {
        m_scanned = page.records.back().offset + 1;
    }
    if (summary.hasAdopted) {
        // The search goes on from the snapshot; a newer one may follow when this one's successors are trimmed.
        m_scanned = m_holder.state()->next;
    }
    const bool gap = m_holder.state()->next < m_first;
    if (gap && !m_gap) {
        logWarning(LogComponent::Node, "Log is trimmed beyond this VM's state.",
                   {{"vm", m_options.vm}, {"first", std::to_string(page.first)}});
    }
    m_gap = gap;
}

Result<Millis> LogFollower::confirm()
{
    const std::lock_guard lock(m_confirmMutex);
    for (unsigned i = 0; i < ConfirmPagesMax && !m_stopping; ++i) {
        const Millis began = steadyMillis();
        const auto page = m_confirmer.read({.from = m_holder.state()->next});
        if (!page) {
            return tl::unexpected(page.error());
        }
        m_holder.notePage(page->first, page->next);
        m_holder.foldRecords(page->records);
        if (m_holder.state()->next >= page->next) {
            return began;
        }
    }
    return failure(ErrorCode::Trimmed, "the end of the log was not reached");
}

} // namespace ibislock::node
