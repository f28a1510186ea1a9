// Fuzz target: snapshots of the folded state.

#include "ibislock/configuration/state.h"

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto state = ibislock::configuration::decodeState(text);
    if (state && !ibislock::configuration::decodeState(ibislock::configuration::encodeState(*state))) {
        __builtin_trap();
    }
    return 0;
}
