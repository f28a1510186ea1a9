#include "ibislock/requests/idempotency_key.h"

#include <charconv>

namespace ibislock::requests
{

namespace
{

/// Removes the field after the last dot, and returns it.
std::optional<std::string_view> splitLastField(std::string_view &text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view last = text.substr(dot + 1);
    text = text.substr(0, dot);
    return last;
}

template <typename Number>
bool parseNumber(std::optional<std::string_view> text, Number &number)
{
    if (!text || text->empty()) {
        return false;
    }
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), number);
    return ec == std::errc{} && end == text->data() + text->size();
}

} // namespace

std::string formatIdempotencyKey(const IdempotencyKey &key)
{
    return key.vm + "." + std::to_string(key.incarnation) + "." + std::to_string(key.mintedAt.count()) + "."
        + key.nonce;
}

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view text)
{
    IdempotencyKey key;
    std::int64_t mintedAt = 0;
    const auto nonce = splitLastField(text);
    if (!nonce || nonce->empty() || !parseNumber(splitLastField(text), mintedAt) || mintedAt < 0
        || !parseNumber(splitLastField(text), key.incarnation) || text.empty()) {
        return std::nullopt;
    }
    key.vm = text;
    key.mintedAt = Millis(mintedAt);
    key.nonce = *nonce;
    return key;
}

} // namespace ibislock::requests
