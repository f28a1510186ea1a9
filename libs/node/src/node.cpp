#include "ibislock/node/node.h"

#include "upkeep.h"

#include "ibislock/stores/vm_list_client.h"

namespace ibislock::node
{

namespace
{

constexpr unsigned SchedulerThreads = 5; ///< Enough for the exchanges that may block at the same time.
constexpr int SlowFactor = 2;
constexpr Millis UrgentInterval{50};
constexpr Millis WatchInterval{400};
constexpr Millis UpkeepInterval{100};

} // namespace

struct Node::Impl
{
    Impl(NodeOptions nodeOptions, Counters &nodeCounters, rpc::Client &client)
        : options(std::move(nodeOptions))
        , counters(nodeCounters)
        , holder(counters)
        , follower(options, counters, holder)
        , gossip(options, counters, client, holder, follower)
        , upkeep(options, counters, holder, follower, gossip,
                 [this](const configuration::Record &record) { return append(record); })
        , writer(options.log)
        , vmList(options.vmList)
        , scheduler(SchedulerThreads)
    {
        client.setTraffic([this](std::uint64_t bytes) { counters.add(Counter::GossipBytes, bytes); });
    }

    Result<configuration::Offset> append(const configuration::Record &record)
    {
        const std::lock_guard lock(writerMutex);
        counters.add(Counter::LogAppends);
        return writer.append(configuration::encodeRecord(record));
    }

    void readList()
    {
        gossip.countMembers();
        const auto listed = vmList.read();
        if (listed) {
            gossip.applyList(*listed);
        }
    }

    void schedule()
    {
        scheduler.once([this] {
            readList();
            gossip.watch();
            scheduler.every(options.listInterval, [this] { readList(); });
        });
        for (std::size_t slot = 0; slot < options.delegates; ++slot) {
            // The first delegate brings most news; the others mainly have to know that the VM lives.
            const Millis interval = slot > 0 ? options.gossipInterval * SlowFactor : options.gossipInterval;
            scheduler.every(interval, [this, slot] { gossip.exchangeWithDelegate(slot); });
        }
        scheduler.every(UrgentInterval, [this] { gossip.sendUrgent(); });
        if (options.kind != membership::VmKind::Entry) {
            return;
        }
        scheduler.every(options.gossipInterval * SlowFactor, [this] { gossip.exchangeWithBridge(); });
        scheduler.every(WatchInterval, [this] { gossip.watch(); });
        scheduler.every(UpkeepInterval, [this] {
            upkeep.appendSnapshot();
            upkeep.noteInForce();
        });
    }

    NodeOptions options;
    Counters &counters;
    StateHolder holder;
    LogFollower follower;
    Gossip gossip;
    Upkeep upkeep;
    std::mutex writerMutex;
    stores::LogClient writer;
    stores::VmListClient vmList;
    std::atomic<bool> stopping = false;
    Scheduler scheduler;
};

Node::Node(NodeOptions options, Counters &counters, rpc::Client &client)
    : m_impl(std::make_unique<Impl>(std::move(options), counters, client))
{
}

Node::~Node()
{
    stop();
}

void Node::addHandlers(rpc::Handlers &handlers)
{
    Impl *impl = m_impl.get();
    handlers.exchange = [impl](const rpc::Exchange &received) {
        return impl->gossip.answer(received);
    };
    handlers.state = [impl](std::uint64_t after) {
        return impl->holder.deltaAfter(after);
    };
    handlers.traffic = [impl](std::uint64_t bytes) {
        impl->counters.add(Counter::GossipBytes, bytes);
    };
}

void Node::setReportSource(std::function<void(membership::Report &)> source)
{
    m_impl->gossip.setReportSource(std::move(source));
}

void Node::every(Millis interval, std::function<void()> job)
{
    m_impl->scheduler.every(interval, std::move(job));
}

void Node::start(std::uint16_t rpcPort)
{
    m_impl->gossip.setAddress(m_impl->options.address + ":" + std::to_string(rpcPort));
    m_impl->follower.start([impl = m_impl.get()] { return impl->gossip.isServedByOthers(); });
    m_impl->schedule();
}

void Node::stop()
{
    if (m_impl->stopping.exchange(true)) {
        return;
    }
    m_impl->holder.wake();
    m_impl->scheduler.stop();
    m_impl->follower.stop();
}

StatePointer Node::state() const
{
    return m_impl->holder.state();
}

bool Node::waitForOffset(configuration::Offset offset, Millis timeout) const
{
    return m_impl->holder.waitForOffset(offset, timeout);
}

void Node::waitForChange(const StatePointer &known, Millis timeout) const
{
    m_impl->holder.waitForChange(known, timeout);
}

Result<configuration::Offset> Node::append(const configuration::Record &record)
{
    return m_impl->append(record);
}

Result<Millis> Node::confirm()
{
    return m_impl->follower.confirm();
}

Millis Node::logReadAt() const
{
    return m_impl->follower.readAt();
}

bool Node::isLogReachable() const
{
    return m_impl->follower.isReachable();
}

bool Node::hasGap() const
{
    return m_impl->follower.hasGap();
}

const NodeOptions &Node::options() const
{
    return m_impl->options;
}

std::uint64_t Node::incarnation() const
{
    return m_impl->gossip.incarnation();
}

void Node::readView(const std::function<void(const membership::View &)> &function) const
{
    m_impl->gossip.withView(function);
}

} // namespace ibislock::node
