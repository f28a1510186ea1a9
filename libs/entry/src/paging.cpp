#include "paging.h"

#include <charconv>

namespace ibislock::entry
{

namespace
{

/// Reads a parameter that is a whole number.
Result<std::optional<std::uint64_t>> numberOf(const httplib::Request &call, const char *name)
{
    if (!call.has_param(name)) {
        return std::nullopt;
    }
    const std::string text = call.get_param_value(name);
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return failure(ErrorCode::InvalidArgument, std::string("parameter \"") + name + "\" must be a whole number");
    }
    return value;
}

} // namespace

Result<PageQuery> pageQueryFrom(const httplib::Request &call)
{
    const auto limit = numberOf(call, "limit");
    const auto after = numberOf(call, "after");
    const auto before = numberOf(call, "before");
    for (const auto *number : {&limit, &after, &before}) {
        if (!*number) {
            return tl::unexpected(number->error());
        }
    }
    if (*after && *before) {
        return failure(ErrorCode::InvalidArgument, "only one of \"after\" and \"before\" may be given");
    }
    const std::uint64_t items = limit->value_or(PageItems);
    if (items < 1 || items > PageItemsMax) {
        return failure(ErrorCode::InvalidArgument,
                       "parameter \"limit\" must be from 1 to " + std::to_string(PageItemsMax));
    }
    return PageQuery{.limit = items, .after = *after, .before = *before};
}

} // namespace ibislock::entry
