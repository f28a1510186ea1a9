// Fuzz target: manifests of weights.

#include "ibislock/weights/manifest.h"

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto manifest = ibislock::weights::manifestFromJson(text);
    if (manifest && !ibislock::weights::manifestFromJson(ibislock::weights::manifestToJson(*manifest))) {
        __builtin_trap();
    }
    return 0;
}
