// Messages with which VMs forward the listings of targets, so that not every VM reads them from the store. A VM
// requests what changed, and another responds with the changes and the age of its data. No I/O.
//
//     connection.write(encode(ListingsRequest{.from = 120, .wait = Millis{400}}));
//     if (auto message = decodeListings(body)) { ... }

#pragma once

#include "ibislock/peer/frames.h"
#include "ibislock/peer/records.h"
#include "ibislock/peer/topic_watermark.h"
#include "ibislock/serving/target_table.h"

#include <optional>
#include <variant>

namespace ibislock::peer
{

/// Requests the listings that changed.
struct ListingsRequest
{
    /// Identifies the request; the update repeats it, so that the requesting VM can ignore responses to earlier
    /// requests.
    std::uint32_t sequence = 0;
    TopicPosition from; ///< The position up to which the requesting VM knows the topic.
    Millis wait{0}; ///< How long the request may be held until the next change.
    std::string entryVm; ///< The address of the requesting VM if it is an entry VM of the domain; else empty.
    bool wantsLostRecords = false; ///< The requesting VM has just started, and is answered at once.
};

/// A listing and the position of its last change.
struct ListingChange
{
    std::string id;
    std::optional<serving::TargetEntry> entry; ///< Empty if the listing was removed.
    TopicPosition position;
    std::int64_t writeNumber = 0; ///< Of the last known write by its incarnation; 0 if it was removed or is unknown.
};

/// The response to a `ListingsRequest`.
struct ListingsUpdate
{
    std::uint32_t sequence = 0;
    TopicPosition end; ///< The position up to which the sender knows the topic; its era is that of all listings.
    bool isSnapshot = false; ///< Holds all listings instead of only those that changed.
    Millis heldFor{0}; ///< How long the request was held.
    Millis age{0}; ///< Time since the topic ended at `end`, as far as the sender knows.
    std::optional<Millis> sinceStoreRecovery; ///< Time since the end of the last store outage that the sender noticed.
    std::vector<ListingChange> listings;
    TopicWatermark operatorsWatermark; ///< The sender's watermark of the operators' topic; its records aren't sent.
    std::vector<std::string> entryVms; ///< The addresses of entry VMs that recently sent requests to the sender.
    /// Records that are in force at the sender and that the operators' topic lacks; their positions mean nothing.
    std::vector<TopicRecord> lostRecords;
};

using ListingsMessage = std::variant<ListingsRequest, ListingsUpdate>;

/// Encodes a request with its length in front.
std::string encode(const ListingsRequest &message);

/// Encodes an update with its length in front.
std::string encode(const ListingsUpdate &message);

/// Decodes the body of a frame.
/// @return the message, or Corrupt.
Result<ListingsMessage> decodeListings(std::string_view body);

} // namespace ibislock::peer
