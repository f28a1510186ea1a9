#include "ibislock/requests/key_register.h"

namespace ibislock::requests
{

namespace
{

std::string nameOf(const std::string &workspace, const std::string &text)
{
    return workspace + "/" + text;
}

void forgetOld(KeyRegister &keys, Millis now)
{
    while (!keys.byAge.empty() && keys.byAge.begin()->first <= now) {
        const auto it = keys.known.find(keys.byAge.begin()->second);
        keys.answerBytes -= it->second.answer.value_or("").size();
        keys.known.erase(it);
        keys.byAge.erase(keys.byAge.begin());
    }
}

KeyVerdict verdictOn(const KnownKey &known)
{
    switch (known.state) {
    case KnownKey::State::Running:
        return {.decision = KeyDecision::Unknown, .message = "the call with this key is in progress"};
    case KnownKey::State::Refused:
        return {.decision = KeyDecision::Refuse,
                .refusal = Refusal::Withdrawn,
                .message = "the call with this key was not run and never will be; mint a new key"};
    case KnownKey::State::Ended:
        break;
    }
    if (!known.answer) {
        return {.decision = KeyDecision::Unknown, .message = "the call ended, and its answer is not kept"};
    }
    return {.decision = KeyDecision::Replay, .known = &known};
}

} // namespace

KeyVerdict begin(KeyRegister &keys, const std::string &workspace, const std::string &text, Millis now)
{
    const KeyRegisterOptions &options = keys.options;
    const auto key = keyFromText(text);
    if (!key || key->vm != options.vm) {
        return {.decision = KeyDecision::Unknown, .message = "the key names another target"};
    }
    if (key->incarnation != options.incarnation) {
        return {.decision = KeyDecision::Unknown,
                .message = "the target has restarted since the key was minted and does not know what became of it"};
    }
    forgetOld(keys, now);
    const Millis forgetAt = key->mintedAt + options.lifetime;
    if (forgetAt <= now) {
        return {.decision = KeyDecision::Unknown, .message = "the key is too old"};
    }
    const std::string name = nameOf(workspace, text);
    const auto it = keys.known.find(name);
    if (it != keys.known.end()) {
        return verdictOn(it->second);
    }
    if (key->mintedAt > now + options.clockSkew) {
        return {.decision = KeyDecision::Unknown, .message = "the key was minted in the future"};
    }
    if (keys.known.size() >= options.keysMax) {
        // The key can't be marked as refused for want of room, so "not run" might not stay true.
        return {.decision = KeyDecision::Unknown, .message = "the target remembers as many keys as it can"};
    }
    keys.known[name] = {.state = KnownKey::State::Running, .forgetAt = forgetAt};
    keys.byAge.emplace(forgetAt, name);
    return {.decision = KeyDecision::Run};
}

void refuse(KeyRegister &keys, const std::string &workspace, const std::string &text)
{
    const auto it = keys.known.find(nameOf(workspace, text));
    if (it != keys.known.end()) {
        it->second.state = KnownKey::State::Refused;
    }
}

void finish(KeyRegister &keys, const std::string &workspace, const std::string &text, const AnswerEnd &end,
            std::string body)
{
    const auto it = keys.known.find(nameOf(workspace, text));
    if (it == keys.known.end()) {
        return;
    }
    it->second.state = KnownKey::State::Ended;
    it->second.end = end;
    const bool fits =
        body.size() <= keys.options.answerBytesMax && keys.answerBytes + body.size() <= keys.options.allAnswersBytesMax;
    if (end.outcome == Outcome::Answered && fits) {
        keys.answerBytes += body.size();
        it->second.answer = std::move(body);
    }
}

} // namespace ibislock::requests
