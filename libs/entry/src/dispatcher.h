// Finds a target for a request, submits it, checks the answer, and tries another target where that is safe.
//
//     RequestSession session(dispatcher, request, {.prefix = blocks});
//     SessionEvent event = session.next();       // a part of the answer, or its end

#pragma once

#include "routing_table.h"

#include "ibislock/base/counters.h"
#include "ibislock/entry/options.h"
#include "ibislock/requests/prefix_index.h"
#include "ibislock/requests/response_check.h"
#include "ibislock/requests/retry_budget.h"

#include <condition_variable>

namespace ibislock::entry
{

/// What all requests share. Safe from several threads.
class Dispatcher
{
public:
    Dispatcher(const EntryOptions &options, node::Node &node, rpc::Client &client, Counters &counters);

    /// Mints an idempotency key for a call of a role.
    /// @return the key, or nothing when no target serves the role now.
    std::optional<std::string> mintKey(const std::string &workspace, const std::string &role);

    /// Waits until no session is open.
    /// @return how many are left when the time has run out.
    std::uint32_t waitUntilIdle(Millis timeout);

private:
    friend class RequestSession;

    /// What narrows the choice of a target.
    struct Choice
    {
        const requests::Request &request;
        const std::vector<std::uint64_t> &prefix;
        const std::vector<std::string> &tried;
        bool sameVersion = false; ///< Only targets that serve the version named in the request.
    };

    /// A target and how much of the prompt it is believed to hold.
    struct Chosen
    {
        RoutedTarget target;
        std::uint32_t believedBlocks = 0;
    };

    std::optional<Chosen> choose(const Choice &choice);
    std::optional<RoutedTarget> find(const requests::Request &request, const std::string &vm);
    void noteCached(const Chosen &chosen, std::uint32_t cachedBytes);
    bool drawRetry();
    void open();
    void close();
    void count(requests::Outcome outcome);

    const EntryOptions &m_options;
    node::Node &m_node;
    rpc::Client &m_client;
    Counters &m_counters;
    TargetLoads m_loads;
    RoutingTables m_tables;
    std::mutex m_mutex;
    requests::RouteState m_route;
    requests::PrefixIndex m_index;
    requests::RetryBudget m_budget;
    std::mutex m_openMutex;
    std::condition_variable m_idle;
    std::uint32_t m_open = 0;
};

} // namespace ibislock::entry
