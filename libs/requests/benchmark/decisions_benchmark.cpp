// Benchmarks of a routing decision, of admission to the fair queue, of a key lookup and of hashing a prompt.

#include "ibislock/requests/fair_queue.h"
#include "ibislock/requests/idempotency_key_table.h"
#include "ibislock/requests/prefix_index.h"
#include "ibislock/requests/routing.h"

#include <benchmark/benchmark.h>

namespace ibislock::requests
{

namespace
{

constexpr std::size_t PromptBytes = 4096;
constexpr std::size_t Prompts = 256;
constexpr std::uint64_t Workspaces = 10;

/// Routes a prompt: looks up the index, builds the candidates, chooses a target and records the send.
void routing(benchmark::State &state)
{
    const auto policy = static_cast<RoutingPolicy>(state.range(0));
    const auto targets = static_cast<std::size_t>(state.range(1));
    RouteState route{.random = Random(1)};
    PrefixIndex index;
    std::vector<std::vector<std::uint64_t>> prompts;
    for (std::size_t i = 0; i < Prompts; ++i) {
        prompts.push_back(prefixBlocks("dala/forecast", std::string(PromptBytes, static_cast<char>(i))));
    }
    std::vector<std::uint32_t> loads(targets);
    std::size_t n = 0;
    for (auto _ : state) {
        const auto &blocks = prompts[++n % Prompts];
        const Millis now(static_cast<std::int64_t>(n));
        const auto matches = findMatches(index, blocks, now);
        std::vector<Candidate> candidates(targets);
        for (std::size_t i = 0; i < targets; ++i) {
            candidates[i] = {.sameDomain = i % 6 == 0, .load = loads[i], .affinity = affinityOf(blocks.front(), i)};
            for (const PrefixMatch &match : matches) {
                candidates[i].prefixBlocks = match.target == i ? match.blocks : candidates[i].prefixBlocks;
            }
        }
        const std::size_t chosen = *chooseTarget(policy, candidates, route);
        loads[chosen] = (loads[chosen] + 1) % 8;
        recordSend(index, blocks, static_cast<std::uint32_t>(chosen), now);
    }
    state.SetLabel(std::string(nameOf(RoutingPolicyNames, policy)));
}

void routingArguments(benchmark::internal::Benchmark *benchmark)
{
    for (const auto &[policy, name] : RoutingPolicyNames) {
        for (const int targets : {16, 160, 760}) {
            benchmark->Args({static_cast<int>(policy), targets});
        }
    }
}

BENCHMARK(routing)->Apply(routingArguments);

/// Adds two requests to the queue and removes one, so that the queue is full and sheds, as under overload.
void admission(benchmark::State &state)
{
    FairQueue queue{.options = {.capacity = static_cast<std::size_t>(state.range(0))}};
    std::uint64_t id = 0;
    for (auto _ : state) {
        for (int i = 0; i < 2; ++i) {
            ++id;
            benchmark::DoNotOptimize(push(queue,
                                          {.id = id,
                                           .workspace = "workspace" + std::to_string(id % Workspaces),
                                           .priority = static_cast<Priority>(id % PriorityCount),
                                           .cost = 100,
                                           .expiresAt = Millis(1000)}));
        }
        benchmark::DoNotOptimize(pop(queue));
    }
}

BENCHMARK(admission)->Arg(16)->Arg(160)->Arg(760);

void keyDecision(benchmark::State &state)
{
    IdempotencyKeyTable keys{.options = {.vm = "target", .incarnation = 1, .keysMax = 1000000000}};
    std::uint64_t n = 0;
    for (auto _ : state) {
        ++n;
        const Millis now(static_cast<std::int64_t>(n) * 10);
        const std::string key =
            formatIdempotencyKey({.vm = "target", .incarnation = 1, .mintedAt = now, .nonce = std::to_string(n)});
        benchmark::DoNotOptimize(beginCall(keys, "dala", key, now));
    }
}

BENCHMARK(keyDecision);

void hashingAPrompt(benchmark::State &state)
{
    const std::string prompt(PromptBytes, 'p');
    for (auto _ : state) {
        benchmark::DoNotOptimize(prefixBlocks("dala/forecast", prompt));
    }
}

BENCHMARK(hashingAPrompt);

} // namespace

} // namespace ibislock::requests
