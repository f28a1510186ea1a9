#include "ibislock/base/digest.h"

#include <charconv>

#include <algorithm>
#include <openssl/sha.h>

namespace ibislock
{

namespace
{

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

} // namespace

Digest sha256(std::string_view data)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.bytes.data());
    return digest;
}

std::string hexOf(std::string_view data)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(data.size() * 2);
    for (const char c : data) {
        const auto byte = static_cast<unsigned char>(c);
        text += Digits[byte >> 4U];
        text += Digits[byte & 0x0FU];
    }
    return text;
}

std::string hexNumber(std::uint64_t value)
{
    std::array<char, 16> text{};
    constexpr int Hexadecimal = 16;
    const auto [end, ec] = std::to_chars(text.data(), text.data() + text.size(), value, Hexadecimal);
    return {text.data(), end};
}

std::string toHex(const Digest &digest)
{
    return hexOf(bytesOf(digest));
}

Result<Digest> digestFromHex(std::string_view text)
{
    if (text.size() != 2 * DigestBytes) {
        return failure(ErrorCode::InvalidArgument, "a digest has 64 hexadecimal digits");
    }
    Digest digest;
    for (std::size_t i = 0; i < DigestBytes; ++i) {
        const int high = hexValue(text[2 * i]);
        const int low = hexValue(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return failure(ErrorCode::InvalidArgument, "a digest has 64 hexadecimal digits");
        }
        digest.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

Result<Digest> digestFromBytes(std::string_view data)
{
    if (data.size() != DigestBytes) {
        return failure(ErrorCode::InvalidArgument, "a digest has 32 bytes");
    }
    Digest digest;
    std::copy(data.begin(), data.end(), digest.bytes.begin());
    return digest;
}

std::string_view bytesOf(const Digest &digest)
{
    return {reinterpret_cast<const char *>(digest.bytes.data()), digest.bytes.size()};
}

} // namespace ibislock
