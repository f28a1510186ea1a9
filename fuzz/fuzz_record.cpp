// Fuzz target: records of the platform's log, and their fold into a state.

#include "ibislock/configuration/state.h"

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto record = ibislock::configuration::decodeRecord(text);
    ibislock::configuration::State state;
    ibislock::configuration::fold(state, 0, text);
    if (record && !ibislock::configuration::decodeRecord(ibislock::configuration::encodeRecord(*record))) {
        __builtin_trap();
    }
    return 0;
}
