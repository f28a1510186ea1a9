// Benchmarks of algorithms that find the most frequent prefixes (heavy hitters), on the same stream: an exact table, a
// frequent-items summary that decrements all counters by a sampled quantile, and a min-heap (space-saving) of the same
// size in bytes. `recall` is the fraction of the true top 64 among the 64 that were found; `bytes` is the size of the
// counters.

#include "ibislock/base/random.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace ibislock::requests
{

namespace
{

using WeightTable = std::unordered_map<std::uint64_t, std::uint64_t>;

constexpr std::size_t StreamLength = 200000;
constexpr std::size_t DistinctItems = 100000;
constexpr std::size_t TopCount = 64;
constexpr std::size_t SummaryCounters = 768;
constexpr std::size_t SampleSize = 64;
/// Half of the summary's counters, because each has 16 bytes, an index node and a position in the heap.
constexpr std::size_t HeapCounters = SummaryCounters / 2;
constexpr std::size_t NodeBytes = 32;

struct Update
{
    std::uint64_t item = 0;
    std::uint64_t weight = 0;
};

const std::vector<Update> &stream()
{
    static const std::vector<Update> updates = [] {
        Random random(7);
        std::vector<double> weights;
        for (std::size_t i = 1; i <= DistinctItems; ++i) {
            weights.push_back(1.0 / static_cast<double>(i));
        }
        std::discrete_distribution<std::uint64_t> item(weights.begin(), weights.end());
        std::uniform_int_distribution<std::uint64_t> weight(1, 1000);
        std::vector<Update> generated;
        for (std::size_t i = 0; i < StreamLength; ++i) {
            generated.push_back({.item = item(random), .weight = weight(random)});
        }
        return generated;
    }();
    return updates;
}

/// Frequent-items summary: if it is full, subtracts the median of a sample from all counters and removes those at zero.
struct FrequentItemsSummary
{
    WeightTable table;
    Random random{1};

    void add(const Update &update)
    {
        table[update.item] += update.weight;
        if (table.size() > SummaryCounters) {
            decrement();
        }
    }

    void decrement()
    {
        std::vector<std::uint64_t> sample;
        auto it = table.begin();
        const std::size_t stride = table.size() / SampleSize;
        for (std::size_t i = 0; i < SampleSize; ++i) {
            sample.push_back(it->second);
            std::advance(it, stride);
        }
        std::nth_element(sample.begin(), sample.begin() + SampleSize / 2, sample.end());
        const std::uint64_t median = sample[SampleSize / 2];
        for (auto counter = table.begin(); counter != table.end();) {
            counter->second -= std::min(counter->second, median);
            counter = counter->second == 0 ? table.erase(counter) : std::next(counter);
        }
    }
};

/// Space-saving summary: a new item takes over the smallest counter, which is the top of a min-heap.
struct MinHeap
{
    std::vector<Update> heap;
    std::unordered_map<std::uint64_t, std::size_t> positions;

    void add(const Update &update)
    {
        const auto it = positions.find(update.item);
        if (it != positions.end()) {
            heap[it->second].weight += update.weight;
            siftDown(it->second);
        } else if (heap.size() < HeapCounters) {
            heap.push_back(update);
            positions[update.item] = heap.size() - 1;
            siftUp(heap.size() - 1);
        } else {
            positions.erase(heap[0].item);
            heap[0] = {.item = update.item, .weight = heap[0].weight + update.weight};
            positions[update.item] = 0;
            siftDown(0);
        }
    }

    void swapEntries(std::size_t a, std::size_t b)
    {
        std::swap(heap[a], heap[b]);
        positions[heap[a].item] = a;
        positions[heap[b].item] = b;
    }

    void siftUp(std::size_t i)
    {
        for (; i > 0 && heap[i].weight < heap[(i - 1) / 2].weight; i = (i - 1) / 2) {
            swapEntries(i, (i - 1) / 2);
        }
    }

    void siftDown(std::size_t i)
    {
        for (;;) {
            std::size_t least = i;
            for (const std::size_t child : {2 * i + 1, 2 * i + 2}) {
                least = child < heap.size() && heap[child].weight < heap[least].weight ? child : least;
            }
            if (least == i) {
                return;
            }
            swapEntries(i, least);
            i = least;
        }
    }
};

std::unordered_set<std::uint64_t> heaviestOf(std::vector<Update> counters)
{
    std::sort(counters.begin(), counters.end(), [](const Update &a, const Update &b) { return a.weight > b.weight; });
    std::unordered_set<std::uint64_t> items;
    for (std::size_t i = 0; i < std::min(TopCount, counters.size()); ++i) {
        items.insert(counters[i].item);
    }
    return items;
}

std::vector<Update> countersOf(const WeightTable &table)
{
    std::vector<Update> counters;
    for (const auto &[item, weight] : table) {
        counters.push_back({.item = item, .weight = weight});
    }
    return counters;
}

WeightTable exactWeights()
{
    WeightTable table;
    for (const Update &update : stream()) {
        table[update.item] += update.weight;
    }
    return table;
}

void report(benchmark::State &state, const std::vector<Update> &counters, std::size_t counterBytes)
{
    static const auto truth = heaviestOf(countersOf(exactWeights()));
    std::size_t found = 0;
    for (const std::uint64_t item : heaviestOf(counters)) {
        found += truth.contains(item) ? 1 : 0;
    }
    state.counters["recall"] = static_cast<double>(found) / static_cast<double>(TopCount);
    state.counters["bytes"] = static_cast<double>(counters.size() * counterBytes);
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(StreamLength));
}

void exactTable(benchmark::State &state)
{
    stream();
    WeightTable table;
    for (auto _ : state) {
        table = exactWeights();
    }
    report(state, countersOf(table), NodeBytes);
}

void frequentItems(benchmark::State &state)
{
    stream();
    FrequentItemsSummary summary;
    for (auto _ : state) {
        summary = FrequentItemsSummary();
        for (const Update &update : stream()) {
            summary.add(update);
        }
    }
    report(state, countersOf(summary.table), NodeBytes);
}

void minHeap(benchmark::State &state)
{
    stream();
    MinHeap heap;
    for (auto _ : state) {
        heap = MinHeap();
        for (const Update &update : stream()) {
            heap.add(update);
        }
    }
    report(state, heap.heap, NodeBytes + sizeof(Update) + sizeof(std::size_t) * 2);
}

BENCHMARK(exactTable)->Unit(benchmark::kMillisecond);
BENCHMARK(frequentItems)->Unit(benchmark::kMillisecond);
BENCHMARK(minHeap)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace ibislock::requests
