// Fuzz target: tickets as operators file them. A ticket that is read must survive being written and read again.

#include "ibislock/configuration/ticket.h"

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto ticket = ibislock::configuration::ticketFromJson(text);
    if (ticket
        && ibislock::configuration::ticketFromJson(ibislock::configuration::ticketToJson(*ticket)).has_value()
            == false) {
        __builtin_trap();
    }
    return 0;
}
