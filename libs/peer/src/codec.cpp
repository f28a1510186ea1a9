#include "codec.h"

#include <algorithm>
#include <cstring>

namespace ibislock::peer
{

namespace
{

/// Words that reading a message may visit for each of its words; a structure counts each time it is asked for.
constexpr std::uint64_t VisitsOfWord = 4;

/// Words that reading any message may visit, as small ones consist mostly of structures that are asked for repeatedly.
constexpr std::uint64_t LeastVisits = 256;

} // namespace

std::string flatten(capnp::MessageBuilder &message)
{
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

std::uint32_t wireMillis(Millis time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

kj::Array<capnp::word> aligned(std::string_view bytes)
{
    auto words = kj::heapArray<capnp::word>((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
    if (words.size() > 0) {
        std::memset(words.asBytes().begin(), 0, words.asBytes().size());
        std::memcpy(words.begin(), bytes.data(), bytes.size());
    }
    return words;
}

capnp::ReaderOptions readerOptions(kj::ArrayPtr<const capnp::word> words)
{
    return {.traversalLimitInWords = words.size() * VisitsOfWord + LeastVisits};
}

} // namespace ibislock::peer
