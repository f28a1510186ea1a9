#include "ibislock/feed/listings_cache.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace ibislock::feed
{

namespace
{

/// What a target last wrote.
struct Write
{
    std::int64_t startedAt = 0;
    std::int64_t number = 0;
    bool draining = false;

    auto operator<=>(const Write &) const = default;
};

/// A store that is restored from older copies of itself.
struct RestoredStore
{
    std::vector<peer::ListingChange> records;
    std::int64_t era = 1;

    TopicPosition end() const
    {
        return {.era = era, .offset = static_cast<std::int64_t>(records.size())};
    }

    void append(const std::string &id, const Write &write)
    {
        records.push_back(
            {.id = id,
             .entry = serving::TargetEntry{.id = id, .draining = write.draining, .startedAt = write.startedAt},
             .position = end(),
             .writeNumber = write.number});
    }

    void restore(std::size_t lost)
    {
        records.resize(records.size() - std::min(lost, records.size()));
        ++era;
        for (peer::ListingChange &record : records) {
            record.position.era = era;
        }
    }
};

/// Reads the topic as a feed does: from a snapshot in a new era, else from where it was read.
void read(ListingsCache &vm, const RestoredStore &store)
{
    if (!vm.coveredFrom.isKnown() || vm.end.era < store.era) {
        std::map<std::string, peer::ListingChange> newest;
        for (const peer::ListingChange &record : store.records) {
            newest[record.id] = record;
        }
        std::vector<peer::ListingChange> listings;
        for (const auto &[id, record] : newest) {
            listings.push_back(record);
        }
        replaceListings(vm, listings, store.end(), Millis{0});
        return;
    }
    for (auto offset = vm.end.offset; offset < store.end().offset; ++offset) {
        applyTopicRecord(vm, store.records[static_cast<std::size_t>(offset)], Millis{0});
    }
    vm.end = store.end();
}

/// Applies the response of a relay.
void follow(ListingsCache &vm, const ListingsCache &relay)
{
    if (relay.end < vm.end) {
        return;
    }
    if (!covers(relay, vm.end)) {
        replaceListings(vm, allListings(relay), relay.end, Millis{0});
        return;
    }
    for (const peer::ListingChange &change : changesFrom(relay, vm.end)) {
        applyListing(vm, change, Millis{0});
    }
    vm.end = relay.end;
}

Write writeOf(const CachedListing &cached)
{
    return {.startedAt = cached.entry->startedAt, .number = 0, .draining = cached.entry->draining};
}

// Targets write, leave and start anew while the store is restored again and again, and VMs read it or each other. A VM
// never uses a target again that it knew to be leaving, and knows the truth once each target has written again.
RC_GTEST_PROP(RestoredListingsProperty, KnowledgeNeverGoesBackAndAllKnowTheTruthAtTheEnd, ())
{
    RestoredStore store;
    std::map<std::string, Write> truth{{"a", {.startedAt = 1}}, {"b", {.startedAt = 1}}, {"c", {.startedAt = 1}}};
    std::vector<ListingsCache> vms(3);
    const auto steps = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 1 << 20));
    for (const int step : steps) {
        ListingsCache &vm = vms[static_cast<std::size_t>(step / 16) % vms.size()];
        const std::string id(1, static_cast<char>('a' + step / 64 % 3));
        Write &target = truth[id];
        std::map<std::string, Write> before;
        for (const auto &[known, cached] : vm.listings) {
            if (cached.entry) {
                before[known] = writeOf(cached);
            }
        }
        switch (step % 8) {
        case 0:
            store.restore(static_cast<std::size_t>(step / 256 % 12));
            break;
        case 1:
            target = target.draining ? Write{.startedAt = target.startedAt + 1} : target;
            ++target.number;
            store.append(id, target);
            break;
        case 2:
            target.draining = target.draining || step / 256 % 4 == 0;
            ++target.number;
            store.append(id, target);
            break;
        case 3:
        case 4:
            read(vm, store);
            break;
        default:
            if (vm.coveredFrom.isKnown()) {
                follow(vm, vms[static_cast<std::size_t>(step / 256) % vms.size()]);
            }
        }
        for (const auto &[known, write] : before) {
            const auto it = vm.listings.find(known);
            if (it != vm.listings.end() && it->second.entry) {
                RC_ASSERT(writeOf(it->second) >= write);
            }
        }
    }
    for (auto &[id, target] : truth) {
        ++target.number;
        store.append(id, target);
    }
    for (ListingsCache &vm : vms) {
        read(vm, store);
        for (const auto &[id, target] : truth) {
            RC_ASSERT(vm.listings.at(id).entry.has_value());
            RC_ASSERT(writeOf(vm.listings.at(id))
                      == (Write{.startedAt = target.startedAt, .draining = target.draining}));
        }
    }
}

} // namespace

} // namespace ibislock::feed
