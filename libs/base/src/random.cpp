#include "ibislock/base/random.h"

#include <cstring>
#include <openssl/rand.h>
#include <stdexcept>

namespace ibislock
{

Random systemRandom()
{
    return Random(newIncarnation());
}

std::string secureRandomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1) {
        throw std::runtime_error("RAND_bytes failed to generate random bytes");
    }
    return bytes;
}

std::uint64_t newIncarnation()
{
    std::uint64_t value = 0;
    while (value == 0) {
        const std::string bytes = secureRandomBytes(sizeof(value));
        std::memcpy(&value, bytes.data(), sizeof(value));
    }
    return value;
}

Millis jittered(Random &random, Millis interval)
{
    std::uniform_int_distribution<Millis::rep> delay(interval.count() / 2, std::max<Millis::rep>(interval.count(), 1));
    return Millis(delay(random));
}

} // namespace ibislock
