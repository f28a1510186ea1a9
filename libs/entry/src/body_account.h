// One account of the bytes of requests over all connections of a process, with a limit. Safe from several threads.
//
//     BodyAccount account(64 << 20);
//     BodyAccount::Holder holder;
//     account.charge(holder, 4096);   // for each piece of a body
//     account.release(holder);        // once the request has been answered or given up

#pragma once

#include "ibislock/base/clock.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>

namespace ibislock::entry
{

/// What becomes of a wish for room.
enum class ChargeResult {
    Granted,
    Wait, ///< Others were told to give way; ask again.
    Refused,
};

/// Grants memory to the bodies of requests.
class BodyAccount
{
public:
    /// What one connection holds.
    struct Holder
    {
        std::uint64_t bytes = 0;
        std::atomic<std::int64_t> waitingSince = 0; ///< When it began to wait for its sender; zero while it doesn't.
        std::atomic<bool> isEvicted = false; ///< It must give its room back.
    };

    /// @param bytesMax granted to all holders together, copies that are made of a body included.
    explicit BodyAccount(std::uint64_t bytesMax);

    /// Asks for room for further bytes of a body. A part of the room is left to small bodies.
    /// @param bytes as they came from the sender.
    ChargeResult charge(Holder &holder, std::uint64_t bytes);

    /// Takes back all that a holder has.
    void release(Holder &holder);

private:
    ChargeResult makeRoom(const Holder &asking);

    const std::uint64_t m_bytesMax;
    std::mutex m_mutex;
    std::uint64_t m_bytes = 0;
    std::set<Holder *> m_holders; ///< Those with any bytes.
};

} // namespace ibislock::entry
