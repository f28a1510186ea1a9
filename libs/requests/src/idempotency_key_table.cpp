#include "ibislock/requests/idempotency_key_table.h"

namespace ibislock::requests
{

namespace
{

std::string entryNameOf(const std::string &workspace, const std::string &text)
{
    return workspace + "/" + text;
}

void removeExpired(IdempotencyKeyTable &keys, Millis now)
{
    while (!keys.byExpiry.empty() && keys.byExpiry.begin()->first <= now) {
        const auto it = keys.entries.find(keys.byExpiry.begin()->second);
        keys.responseBytes -= it->second.response.value_or("").size();
        keys.entries.erase(it);
        keys.byExpiry.erase(keys.byExpiry.begin());
    }
}

BeginCallResult resultFor(const KeyEntry &entry)
{
    switch (entry.state) {
    case KeyEntry::State::Running:
        return {.decision = KeyDecision::Unknown, .message = "the call with this key is in progress"};
    case KeyEntry::State::Refused:
        return {.decision = KeyDecision::Refuse,
                .refusal = Refusal::Withdrawn,
                .message = "the call with this key was not run and never will be; mint a new key"};
    case KeyEntry::State::Ended:
        break;
    }
    if (!entry.response) {
        return {.decision = KeyDecision::Unknown, .message = "the call ended, and its answer is not kept"};
    }
    return {.decision = KeyDecision::Replay, .entry = &entry};
}

} // namespace

BeginCallResult beginCall(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text, Millis now)
{
    const IdempotencyKeyTableOptions &options = keys.options;
    const auto key = parseIdempotencyKey(text);
    if (!key || key->vm != options.vm) {
        return {.decision = KeyDecision::Unknown, .message = "the key names another target"};
    }
    if (key->incarnation != options.incarnation) {
        return {.decision = KeyDecision::Unknown,
                .message = "the target has restarted since the key was minted and does not know what became of it"};
    }
    removeExpired(keys, now);
    const Millis forgetAt = key->mintedAt + options.lifetime;
    if (forgetAt <= now) {
        return {.decision = KeyDecision::Unknown, .message = "the key is too old"};
    }
    const std::string name = entryNameOf(workspace, text);
    const auto it = keys.entries.find(name);
    if (it != keys.entries.end()) {
        return resultFor(it->second);
    }
    if (key->mintedAt > now + options.clockSkew) {
        return {.decision = KeyDecision::Unknown, .message = "the key was minted in the future"};
    }
    if (keys.entries.size() >= options.keysMax) {
        // A full table can't record the key as refused, so a later attempt might run and "not run" would be false.
        return {.decision = KeyDecision::Unknown, .message = "the target remembers as many keys as it can"};
    }
    keys.entries[name] = {.state = KeyEntry::State::Running, .expiresAt = forgetAt};
    keys.byExpiry.emplace(forgetAt, name);
    return {.decision = KeyDecision::Run};
}

void markRefused(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text)
{
    const auto it = keys.entries.find(entryNameOf(workspace, text));
    if (it != keys.entries.end()) {
        it->second.state = KeyEntry::State::Refused;
    }
}

void finishCall(IdempotencyKeyTable &keys, const std::string &workspace, const std::string &text,
                const ResponseEnd &end, std::string body)
{
    const auto it = keys.entries.find(entryNameOf(workspace, text));
    if (it == keys.entries.end()) {
        return;
    }
    it->second.state = KeyEntry::State::Ended;
    it->second.end = end;
    const bool fits = body.size() <= keys.options.responseBytesMax
        && keys.responseBytes + body.size() <= keys.options.totalResponseBytesMax;
    if (end.outcome == Outcome::Answered && fits) {
        keys.responseBytes += body.size();
        it->second.response = std::move(body);
    }
}

} // namespace ibislock::requests
