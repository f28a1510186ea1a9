// Fuzz target: HTTP messages of callers and targets, in pieces of any size, and what is written of them again.

#include "ibislock/http/reader.h"
#include "ibislock/platform/messages.h"

namespace
{

using ibislock::http::MessageKind;
using ibislock::http::MessageReader;

/// Reads bytes in pieces of one size; gives the reader if it holds a whole message.
std::optional<MessageReader> readWhole(MessageKind kind, std::string_view bytes, std::size_t piece)
{
    MessageReader reader(kind, {.headBytes = 4096, .bodyBytes = 4096});
    while (!bytes.empty() && !reader.complete()) {
        const auto used = reader.feed(bytes.substr(0, piece));
        if (!used) {
            return std::nullopt;
        }
        bytes.remove_prefix(*used);
    }
    return reader.complete() ? std::optional(std::move(reader)) : std::nullopt;
}

} // namespace

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const std::size_t piece = size == 0 ? 1 : 1 + data[0] % 16;
    if (auto request = readWhole(MessageKind::Request, text, piece)) {
        // What a target would get must be one message with the same body, or a request could be smuggled in it.
        const std::string body = request->takeBody();
        const auto head = ibislock::platform::makeTargetRequest(request->request(), {.targetId = "i-1"});
        const std::string wire = writeRequest(head, body);
        auto again = readWhole(MessageKind::Request, wire, wire.size());
        if (!again || again->takeBody() != body || again->request().target != head.target) {
            __builtin_trap();
        }
        static_cast<void>(ibislock::platform::decodeCallerRequest(request->request()));
    }
    if (const auto response = readWhole(MessageKind::Response, text, piece)) {
        static_cast<void>(ibislock::platform::decodeTargetResponse(response->response()));
    }
    return 0;
}
