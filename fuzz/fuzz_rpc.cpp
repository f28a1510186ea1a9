// Fuzz target: messages between the processes, read into each of the structs.

#include "convert.h"

#include <capnp/serialize.h>
#include <cstdint>
#include <cstring>
#include <vector>

namespace
{

template <typename Wire>
void readAs(kj::ArrayPtr<const capnp::word> words)
{
    try {
        capnp::FlatArrayMessageReader message(words);
        ibislock::rpc::read(message.getRoot<Wire>());
    } catch (const kj::Exception &) {
        // A malformed message ends its call.
    }
}

} // namespace

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::vector<capnp::word> buf(size / sizeof(capnp::word));
    if (!buf.empty()) {
        std::memcpy(buf.data(), data, buf.size() * sizeof(capnp::word));
    }
    const kj::ArrayPtr<const capnp::word> words(buf.data(), buf.size());
    readAs<ibislock::rpc::wire::Report>(words);
    readAs<ibislock::rpc::wire::Request>(words);
    readAs<ibislock::rpc::wire::AnswerPart>(words);
    readAs<ibislock::rpc::wire::AnswerEnd>(words);
    return 0;
}
