// Fuzz target: what the platform's store, engines and the origin send, and messages of other daemons.

#include "ibislock/peer/messages.h"
#include "ibislock/platform/engine_api.h"
#include "ibislock/platform/listings.h"
#include "ibislock/platform/settings.h"
#include "ibislock/platform/store_api.h"

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    namespace platform = ibislock::platform;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    static_cast<void>(platform::decodeDesiredState(text));
    static_cast<void>(platform::decodeAnnouncedWeights(text));
    static_cast<void>(platform::decodeTarget("i-1", text));
    static_cast<void>(platform::decodeReport(text));
    static_cast<void>(platform::decodeManifest(text));
    static_cast<void>(platform::decodeSnapshotPage(text, 0));
    static_cast<void>(platform::decodeSettings("f", text));
    const auto page = platform::decodeReadPage(text, {.offset = 0});
    if (page && page->next.offset != static_cast<std::int64_t>(page->records.size())) {
        __builtin_trap();
    }
    static_cast<void>(ibislock::peer::decodeDatagram(text));
    ibislock::peer::PieceReader reader;
    reader.add(text);
    while (reader.next()) { }
    return 0;
}
