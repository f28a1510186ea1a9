// What the daemons of entry and target VMs say to each other, as values and as bytes. No I/O.
//
//     std::string datagram = encode(LoadMessage{.running = 3});
//     if (auto message = decodeDatagram(bytes)) { ... }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/digest.h"
#include "ibislock/base/error.h"
#include "ibislock/peer/frames.h"
#include "ibislock/peer/topic_watermark.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ibislock::peer
{

/// An entry VM tells a target VM that it is there.
struct SubscribeMessage
{
    TopicWatermark operatorsWatermark;
    bool wantsLoads = false;
};

/// How long ago a version of weights was named.
struct Announcement
{
    std::string model;
    std::int64_t version = 0;
    Millis age{0};
};

/// The load of the engine beside a target daemon.
struct LoadMessage
{
    std::uint64_t incarnation = 0; ///< Of the sending process.
    std::uint64_t sequence = 0; ///< Grows with each message of one process.
    int running = 0;
    int queued = 0;
    std::int64_t version = 0; ///< Of the loaded weights; 0 while there are none.
    bool loading = false; ///< Takes no requests until its weights are loaded.
    int entryVmCount = 0; ///< How many entry VMs are there.
    std::vector<Announcement> announcements; ///< The newest of which the sender knows the time.
    std::optional<Millis> loadStartsIn; ///< Until the engine takes no more requests in order to load.
    TopicWatermark operatorsWatermark;
};

/// A message over UDP.
using Datagram = std::variant<SubscribeMessage, LoadMessage>;

/// Writes a subscription.
std::string encode(const SubscribeMessage &message);

/// Writes a load.
std::string encode(const LoadMessage &message);

/// Reads a datagram.
/// @return the message, or Corrupt.
Result<Datagram> decodeDatagram(std::string_view bytes);

/// The index that stands for the manifest of a version.
inline constexpr int ManifestIndex = -1;

/// What a piece message carries.
enum class PieceContent { Request, Bytes, Missing, Manifest, Ready, Redirect };

/// A message about one piece of a version of weights.
struct PieceMessage
{
    std::string model;
    std::int64_t version = 0;
    int index = ManifestIndex;
    PieceContent content = PieceContent::Request;
    std::uint32_t waitMs = 0; ///< Of an ask: 0 for the bytes now; else to be told within this time when it is held.
    bool forDomain = false; ///< Of an ask: the asker is in another domain and takes the piece for all of it.
    Millis queueTime{0}; ///< Of an answer: how long its ask waited at the asked VM.
    std::string bytes; ///< Of a piece.
    std::string redirectVm; ///< Of an answer that points elsewhere: who is to be asked.
    std::uint64_t chunkBytes = 0; ///< Of a manifest.
    std::vector<Digest> digests; ///< Of a manifest.
};

/// Writes a piece message with its length in front.
std::string encode(const PieceMessage &message);

/// Takes piece messages out of bytes as they arrive.
class PieceReader
{
public:
    /// Adds bytes.
    void add(std::string_view bytes);

    /// Takes the next message.
    /// @return a message; NotFound if more bytes are needed; Corrupt for bytes that are none.
    Result<PieceMessage> next();

private:
    FrameReader m_frames;
};

} // namespace ibislock::peer
