// Messages between the daemons of entry and target VMs, with their encoding. No I/O.
//
//     std::string datagram = encode(LoadMessage{.running = 3});
//     if (auto message = decodeDatagram(bytes)) { ... }

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/digest.h"
#include "ibislock/base/error.h"
#include "ibislock/peer/frames.h"
#include "ibislock/peer/send_stamps.h"
#include "ibislock/peer/topic_watermark.h"
#include "ibislock/serving/quarantine_report.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ibislock::peer
{

/// Makes an entry VM known to a target VM, and may subscribe it to loads.
struct SubscribeMessage
{
    TopicWatermark operatorsWatermark;
    bool wantsLoads = false;
    SendStamps stamps;
};

/// An announced version of weights, and how long ago it was announced.
struct Announcement
{
    std::string model;
    std::int64_t version = 0;
    Millis age{0};
};

/// The load of the engine beside a target daemon.
struct LoadMessage
{
    std::uint64_t incarnation = 0; ///< The incarnation of the sending process.
    std::uint64_t sequence = 0; ///< Increases with each message of a process.
    int running = 0;
    int queued = 0;
    std::int64_t version = 0; ///< The version of the loaded weights; 0 while there are none.
    bool loading = false; ///< The engine takes no requests until its weights are loaded.
    int entryVmCount = 0; ///< The number of entry VMs that the sender knows.
    std::vector<Announcement> announcements; ///< The newest announcements of which the sender knows the time.
    std::optional<Millis> loadStartsIn; ///< Time until the engine stops taking requests in order to load.
    int loadSubscriberCount = 0; ///< The number of entry VMs that get loads of the sender; 0 from earlier versions.
    std::int64_t engineStartedAt = 0; ///< Start of the engine in Unix milliseconds; 0 if it isn't known at present.
    Millis engineRunningFor{0}; ///< For how long the engine has run, as its own VM measures it.
    TopicWatermark operatorsWatermark;
    SendStamps stamps;
};

/// What a VM knows of parts of prompts that crash engines. Entry VMs send it to target VMs, which pass it on.
struct QuarantineMessage
{
    serving::QuarantineReport report;
};

/// A message over UDP.
using Datagram = std::variant<SubscribeMessage, LoadMessage, QuarantineMessage>;

/// Encodes a subscription.
std::string encode(const SubscribeMessage &message);

/// Encodes a load.
std::string encode(const LoadMessage &message);

/// Encodes what is known of parts of prompts that crash engines.
std::string encode(const QuarantineMessage &message);

/// Decodes a datagram.
/// @return the message, or Corrupt.
Result<Datagram> decodeDatagram(std::string_view bytes);

/// The index with which messages address the manifest of a version instead of a piece.
inline constexpr int ManifestIndex = -1;

/// The index with which messages ask which pieces of a version are held.
inline constexpr int HoldingsIndex = -2;

/// The type of a piece message.
enum class PieceContent { Request, Bytes, Missing, Manifest, Ready, Redirect, Holdings };

/// A message about one piece, the manifest, or the held pieces of a version of weights.
struct PieceMessage
{
    std::string model;
    std::int64_t version = 0;
    int index = ManifestIndex;
    PieceContent content = PieceContent::Request;
    std::uint32_t waitMs = 0; ///< Of a request: 0 for the bytes now; else how long to wait for `Ready`.
    bool forDomain = false; ///< Of a request: the requesting VM fetches for all of its domain, another one.
    Millis queueTime{0}; ///< Of a response: how long the request waited at the responding VM.
    std::string bytes; ///< The bytes of a piece.
    std::string redirectVm; ///< Of a redirect: the address of the VM to send the request to.
    std::uint64_t chunkBytes = 0; ///< Of a manifest.
    std::vector<Digest> digests; ///< Of a manifest.
    std::string sender; ///< Of a request for the held pieces: the address of the requesting VM.
    /// Of such a request and of its response: a bit for each piece that is held, beginning with the lowest one of the
    /// first byte.
    std::string held;
};

/// Encodes a piece message with its length in front.
std::string encode(const PieceMessage &message);

/// Splits received bytes into piece messages.
class PieceReader
{
public:
    PieceReader() = default;

    /// @param maxBytes limit of a message.
    explicit PieceReader(std::size_t maxBytes);

    /// Appends received bytes.
    void add(std::string_view bytes);

    /// Takes the next message out of the buffer.
    /// @return the message; NotFound if it is incomplete; Corrupt if the bytes are no piece message.
    Result<PieceMessage> next();

private:
    FrameReader m_frames;
};

} // namespace ibislock::peer
