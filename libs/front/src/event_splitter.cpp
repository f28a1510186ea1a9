#include "event_splitter.h"

#include "ibislock/http/message.h"

namespace ibislock::front
{

namespace
{

constexpr std::string_view IdField = "id:";

/// Returns the id of the last event that has a numeric one, or a default.
std::int64_t lastIdIn(std::string_view events, std::int64_t before)
{
    std::int64_t last = before;
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size());
        std::string_view line = events.substr(0, end);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(IdField)) {
            const auto id = http::parseUnsigned(line.substr(IdField.size()));
            last = id ? static_cast<std::int64_t>(*id) : last;
        }
        events.remove_prefix(std::min(end + 1, events.size()));
    }
    return last;
}

/// Returns the offset of the end of the last complete event, which is after an empty line.
std::size_t endOfEvents(std::string_view bytes)
{
    const std::size_t plain = bytes.rfind("\n\n");
    const std::size_t withReturn = bytes.rfind("\n\r\n");
    const std::size_t a = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t b = withReturn == std::string_view::npos ? 0 : withReturn + 3;
    return std::max(a, b);
}

} // namespace

std::string appendBytes(EventSplitter &splitter, std::string_view bytes)
{
    splitter.incompleteEvent.append(bytes);
    const std::size_t end = endOfEvents(splitter.incompleteEvent);
    std::string out = splitter.incompleteEvent.substr(0, end);
    splitter.incompleteEvent.erase(0, end);
    splitter.lastId = lastIdIn(out, splitter.lastId);
    return out;
}

} // namespace ibislock::front
