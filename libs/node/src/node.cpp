#include "ibislock/node/node.h"

#include "ibislock/base/log.h"

#include <algorithm>

namespace ibislock::node
{

namespace
{

using configuration::FoldOutcome;
using configuration::Offset;

constexpr unsigned SchedulerThreads = 2;
constexpr Millis LogRetryInterval{200};

void count(Counters &counters, FoldOutcome outcome)
{
    counters.add(Counter::LogRecordsRead);
    switch (outcome) {
    case FoldOutcome::Accepted:
        counters.add(Counter::TicketsAccepted);
        break;
    case FoldOutcome::Refused:
        counters.add(Counter::TicketsRefused);
        break;
    case FoldOutcome::Skipped:
        counters.add(Counter::LogRecordsSkipped);
        break;
    default:
        break;
    }
}

platform::EndpointOptions withWait(platform::EndpointOptions options, Millis wait)
{
    options.callTimeout += wait;
    return options;
}

} // namespace

Node::Node(NodeOptions options, Counters &counters, rpc::Client &client)
    : m_options(std::move(options))
    , m_counters(counters)
    , m_client(client)
    , m_incarnation(newIncarnation())
    , m_started(static_cast<std::uint64_t>(wallMillis().count()))
    , m_state(std::make_shared<const configuration::State>())
    , m_reader(withWait(m_options.log, m_options.logWait))
    , m_writer(m_options.log)
    , m_vmList(m_options.vmList)
    , m_random(systemRandom())
    , m_scheduler(SchedulerThreads)
{
}

Node::~Node()
{
    stop();
}

void Node::addHandlers(rpc::Handlers &handlers)
{
    handlers.exchange = [this](const rpc::StateSummary &received) {
        applySummary(received);
        return summary();
    };
    handlers.state = [this](std::uint64_t after) -> std::optional<std::string> {
        const StatePointer known = state();
        if (known->next <= after) {
            return std::nullopt;
        }
        return configuration::encodeState(*known);
    };
}

void Node::setReportSource(std::function<void(membership::Report &)> source)
{
    m_reportSource = std::move(source);
}

void Node::every(Millis interval, std::function<void()> job)
{
    m_scheduler.every(interval, std::move(job));
}

void Node::start(std::uint16_t rpcPort)
{
    m_rpcAddress = m_options.address + ":" + std::to_string(rpcPort);
    m_follower = std::thread([this] { followLog(); });
    m_scheduler.every(m_options.listInterval, [this] { refreshList(); });
    m_scheduler.every(m_options.gossipInterval, [this] { gossip(); });
}

void Node::stop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    m_reader.stop();
    m_scheduler.stop();
    if (m_follower.joinable()) {
        m_follower.join();
    }
}

StatePointer Node::state() const
{
    const std::lock_guard lock(m_stateMutex);
    return m_state;
}

bool Node::waitForOffset(Offset offset, Millis timeout) const
{
    std::unique_lock lock(m_stateMutex);
    return m_stateChanged.wait_for(lock, timeout, [&] { return m_state->next > offset; });
}

void Node::waitForChange(const StatePointer &known, Millis timeout) const
{
    std::unique_lock lock(m_stateMutex);
    m_stateChanged.wait_for(lock, timeout, [&] { return m_state != known || m_stopping; });
}

Result<Offset> Node::append(const configuration::Record &record)
{
    const std::lock_guard lock(m_writerMutex);
    m_counters.add(Counter::LogAppends);
    return m_writer.append(configuration::encodeRecord(record));
}

Millis Node::logReadAt() const
{
    return m_logReadAt;
}

bool Node::isLogReachable() const
{
    return m_logReachable;
}

const NodeOptions &Node::options() const
{
    return m_options;
}

std::uint64_t Node::incarnation() const
{
    return m_incarnation;
}

void Node::followLog()
{
    Random random = systemRandom();
    while (!m_stopping) {
        const Offset from = std::max(state()->next, m_scanned);
        const auto page = m_reader.read({.from = from, .wait = m_options.logWait});
        m_logReachable = page.has_value();
        m_logReadAt = page ? steadyMillis() : m_logReadAt.load();
        if (!page) {
            m_counters.add(Counter::LogReadFailures);
            std::this_thread::sleep_for(jittered(random, LogRetryInterval));
            continue;
        }
        foldPage(*page);
    }
}

void Node::foldPage(const platform::LogPage &page)
{
    if (page.records.empty()) {
        return;
    }
    configuration::State folded = *state();
    for (const platform::LogRecord &record : page.records) {
        const FoldOutcome outcome = configuration::fold(folded, record.offset, record.data);
        count(m_counters, outcome);
        m_scanned = record.offset + 1;
    }
    replaceState(std::move(folded));
}

void Node::replaceState(configuration::State folded)
{
    const std::lock_guard lock(m_stateMutex);
    if (folded.next <= m_state->next) {
        return;
    }
    m_counters.set(Counter::LogOffset, folded.next);
    m_state = std::make_shared<const configuration::State>(std::move(folded));
    m_stateChanged.notify_all();
}

void Node::refreshList()
{
    const auto listed = m_vmList.read();
    if (!listed) {
        return;
    }
    const std::lock_guard lock(m_viewMutex);
    membership::applyList(m_view, *listed, m_options.view, steadyMillis());
}

membership::Report Node::ownReport()
{
    membership::Report report{.vm = m_options.vm,
                              .domain = m_options.domain,
                              .address = m_rpcAddress,
                              .kind = m_options.kind,
                              .incarnation = m_incarnation,
                              .started = m_started,
                              .sequence = ++m_sequence,
                              .logOffset = state()->next};
    if (m_reportSource) {
        m_reportSource(report);
    }
    return report;
}

rpc::StateSummary Node::summary()
{
    const membership::Report own = ownReport();
    const Millis now = steadyMillis();
    rpc::StateSummary summary{.reports = {}, .next = own.logOffset};
    const std::lock_guard lock(m_viewMutex);
    membership::applyReport(m_view, own, now);
    std::uint64_t live = 0;
    for (const auto &[vm, member] : m_view.members) {
        if (member.hasReport && now - member.reportedAt <= m_options.view.reportLifetime) {
            summary.reports.push_back(member.report);
            ++live;
        }
    }
    m_counters.set(Counter::MembersLive, live);
    return summary;
}

void Node::applySummary(const rpc::StateSummary &received)
{
    const Millis now = steadyMillis();
    const std::lock_guard lock(m_viewMutex);
    for (const membership::Report &report : received.reports) {
        if (report.vm != m_options.vm) {
            membership::applyReport(m_view, report, now);
        }
    }
}

std::vector<std::string> Node::choosePeers()
{
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(m_viewMutex);
        for (const auto &[vm, member] : m_view.members) {
            if (vm != m_options.vm && !membership::addressOf(member).empty()) {
                addresses.push_back(membership::addressOf(member));
            }
        }
    }
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    if (addresses.size() > m_options.gossipFanout) {
        addresses.resize(m_options.gossipFanout);
    }
    return addresses;
}

void Node::gossip()
{
    for (const std::string &address : choosePeers()) {
        if (m_stopping) {
            return;
        }
        gossipWith(address);
    }
}

void Node::gossipWith(const std::string &address)
{
    const auto reply = m_client.exchange(address, summary());
    if (!reply) {
        return;
    }
    applySummary(*reply);
    const Offset own = state()->next;
    if (reply->next <= own || m_logReachable) {
        return;
    }
    const auto encoded = m_client.state(address, own);
    if (!encoded || !*encoded) {
        return;
    }
    auto decoded = configuration::decodeState(**encoded);
    if (decoded) {
        replaceState(std::move(*decoded));
    }
}

} // namespace ibislock::node
