// Fuzz target: state charts.

#include "ibislock/base/state_chart.h"

#include <cstdint>

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    ibislock::parseChart(text);
    return 0;
}
