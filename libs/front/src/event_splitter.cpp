#include "event_splitter.h"

#include "ibislock/http/message.h"

#include <utility>

namespace ibislock::front
{

namespace
{

constexpr std::string_view IdField = "id:";

/// A line of a stream, without its terminator.
struct Line
{
    std::string_view text;
    bool terminated = false;
};

/// Removes the first line, which ends with LF, CR or CRLF.
Line takeLine(std::string_view &bytes)
{
    const std::size_t end = bytes.find_first_of("\r\n");
    if (end == std::string_view::npos) {
        return {.text = std::exchange(bytes, {})};
    }
    const Line line{.text = bytes.substr(0, end), .terminated = true};
    bytes.remove_prefix(end + (bytes.substr(end).starts_with("\r\n") ? 2 : 1));
    return line;
}

bool isField(const Line &line)
{
    return !line.text.empty() && !line.text.starts_with(':');
}

/// Records what complete events say.
void recordEvents(EventSplitter &splitter, std::string_view events)
{
    while (!events.empty()) {
        const Line line = takeLine(events);
        splitter.hasEvents = splitter.hasEvents || isField(line);
        if (line.text.starts_with(IdField)) {
            const auto id = http::parseUnsigned(line.text.substr(IdField.size()));
            splitter.lastId = id ? static_cast<std::int64_t>(*id) : splitter.lastId;
        }
    }
}

/// Returns the offset of the end of the last complete event, which is after an empty line.
std::size_t endOfEvents(std::string_view bytes)
{
    std::size_t end = 0;
    for (std::string_view rest = bytes; !rest.empty();) {
        const Line line = takeLine(rest);
        end = line.terminated && line.text.empty() ? bytes.size() - rest.size() : end;
    }
    return end;
}

} // namespace

void startResponse(EventSplitter &splitter)
{
    splitter.incompleteEvent.clear();
    splitter.hasEvents = false;
}

std::string appendBytes(EventSplitter &splitter, std::string_view bytes)
{
    splitter.incompleteEvent.append(bytes);
    const std::size_t end = endOfEvents(splitter.incompleteEvent);
    std::string out = splitter.incompleteEvent.substr(0, end);
    splitter.incompleteEvent.erase(0, end);
    recordEvents(splitter, out);
    return out;
}

bool hasField(std::string_view events)
{
    while (!events.empty()) {
        if (isField(takeLine(events))) {
            return true;
        }
    }
    return false;
}

bool endsInsideEvent(const EventSplitter &splitter)
{
    for (std::string_view rest = splitter.incompleteEvent; !rest.empty();) {
        const Line line = takeLine(rest);
        if (isField(line) || !line.terminated) {
            return true;
        }
    }
    return false;
}

} // namespace ibislock::front
