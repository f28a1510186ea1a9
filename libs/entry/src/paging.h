// Pages of a list that is ordered by a number.
//
//     Result<PageQuery> query = pageQueryFrom(call);
//     auto [begin, end] = pageOf(entries, *query, keyOf);

#pragma once

#include "ibislock/base/error.h"

#include <algorithm>
#include <cstdint>
#include <httplib.h>
#include <limits>
#include <optional>
#include <span>

namespace ibislock::entry
{

/// How many items a page has unless the caller says otherwise, and at most.
inline constexpr std::uint64_t PageItems = 50;
inline constexpr std::uint64_t PageItemsMax = 200;

/// Which page is asked for. With `before`, the page is the one that ends just before it.
struct PageQuery
{
    std::uint64_t limit = PageItems;
    std::optional<std::uint64_t> after;
    std::optional<std::uint64_t> before;
};

/// Reads the parameters `limit`, `after` and `before`.
/// @return the query, or InvalidArgument with the parameter that is wrong.
Result<PageQuery> pageQueryFrom(const httplib::Request &call);

/// A part of a list, and whether there is more in the direction of the query.
template <typename T>
struct Page
{
    std::span<const T> items;
    bool more = false;
};

/// Cuts a page out of a list.
/// @param items in ascending order of their key.
/// @param keyOf gives an item's key.
template <typename T, typename KeyOf>
Page<T> pageOf(std::span<const T> items, const PageQuery &query, KeyOf &&keyOf)
{
    const auto isBelow = [&](const T &item, std::uint64_t key) {
        return keyOf(item) < key;
    };
    if (query.before) {
        const auto end = std::lower_bound(items.begin(), items.end(), *query.before, isBelow);
        const auto available = static_cast<std::size_t>(end - items.begin());
        const std::size_t n = std::min<std::size_t>(available, query.limit);
        return {.items = items.subspan(available - n, n), .more = available > n};
    }
    auto begin = items.begin();
    if (query.after && *query.after != std::numeric_limits<std::uint64_t>::max()) {
        begin = std::lower_bound(items.begin(), items.end(), *query.after + 1, isBelow);
    } else if (query.after) {
        begin = items.end();
    }
    const auto skipped = static_cast<std::size_t>(begin - items.begin());
    const std::size_t n = std::min<std::size_t>(items.size() - skipped, query.limit);
    return {.items = items.subspan(skipped, n), .more = skipped + n < items.size()};
}

} // namespace ibislock::entry
