#include "body_account.h"

#include <algorithm>

namespace ibislock::entry
{

namespace
{

/// What a byte of a body costs: the string that it grows in, and the copies on its way to a target.
constexpr std::uint64_t BytesHeldForEach = 4;

/// Holders of no more than this many bytes may use all the room, others three quarters of it.
constexpr std::uint64_t SmallHolderBytes = 32 << 10;

/// How long a sender may be silent before its body gives way.
constexpr Millis SilenceTime{500};

} // namespace

BodyAccount::BodyAccount(std::uint64_t bytesMax)
    : m_bytesMax(bytesMax)
{
}

ChargeResult BodyAccount::charge(Holder &holder, std::uint64_t bytes)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t cost = bytes * BytesHeldForEach;
    const bool isSmall = holder.bytes + cost <= SmallHolderBytes * BytesHeldForEach;
    const std::uint64_t limit = isSmall ? m_bytesMax : m_bytesMax / 4 * 3;
    if (m_bytes + cost > limit) {
        return makeRoom(holder);
    }
    holder.bytes += cost;
    m_bytes += cost;
    m_holders.insert(&holder);
    return ChargeResult::Granted;
}

/// Tells the holder whose sender has been silent for longest to give way. The caller holds the lock.
ChargeResult BodyAccount::makeRoom(const Holder &asking)
{
    const std::int64_t silentBefore = (steadyMillis() - SilenceTime).count();
    Holder *longest = nullptr;
    for (Holder *it : m_holders) {
        if (it == &asking) {
            continue;
        }
        if (it->isEvicted) {
            return ChargeResult::Wait;
        }
        const std::int64_t since = it->waitingSince;
        if (since != 0 && since <= silentBefore && (longest == nullptr || since < longest->waitingSince)) {
            longest = it;
        }
    }
    if (longest == nullptr) {
        return ChargeResult::Refused;
    }
    longest->isEvicted = true;
    return ChargeResult::Wait;
}

void BodyAccount::release(Holder &holder)
{
    const std::lock_guard lock(m_mutex);
    m_bytes -= holder.bytes;
    holder.bytes = 0;
    holder.isEvicted = false;
    m_holders.erase(&holder);
}

} // namespace ibislock::entry
