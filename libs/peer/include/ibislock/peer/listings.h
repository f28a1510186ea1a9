// How VMs pass on the listings of targets, so that not every VM reads them from the store: one asks for what changed,
// and another answers with that and how old its knowledge is. No I/O.
//
//     connection.write(encode(ListingsAsk{.from = 120, .wait = Millis{400}}));
//     if (auto message = decodeListings(body)) { ... }

#pragma once

#include "ibislock/peer/frames.h"
#include "ibislock/peer/topic_watermark.h"
#include "ibislock/serving/target_table.h"

#include <optional>
#include <variant>

namespace ibislock::peer
{

/// Asks for the listings that changed.
struct ListingsRequest
{
    std::uint32_t sequence = 0; ///< Given back in the answer.
    std::int64_t from = -1; ///< The offset up to which the asker knows the topic; below 0 for nothing.
    Millis wait{0}; ///< How long the answer may wait for the next change.
    std::string entryVm; ///< The address of the asker if it is an entry VM of the domain; else empty.
};

/// A listing and where its last change stands in the topic.
struct ListingChange
{
    std::string id;
    std::optional<serving::TargetEntry> entry; ///< Nothing if the listing was removed.
    std::int64_t offset = 0;
};

/// Answers an ask.
struct ListingsUpdate
{
    std::uint32_t sequence = 0;
    std::int64_t end = -1; ///< The offset up to which the sender knows the topic.
    bool isSnapshot = false; ///< Holds all listings, and not only what changed.
    Millis heldFor{0}; ///< How long the ask was held back.
    Millis age{0}; ///< How old the sender's knowledge is that the topic ended there.
    std::optional<Millis>
        sinceStoreRecovery; ///< How long ago the store came back from an outage that the sender noticed.
    std::vector<ListingChange> listings;
    TopicWatermark
        operatorsWatermark; ///< What the sender knows of the operators' topic, which is not passed on itself.
    std::vector<std::string> entryVms; ///< The addresses of entry VMs that lately asked the sender.
};

using ListingsMessage = std::variant<ListingsRequest, ListingsUpdate>;

/// Writes an ask with its length in front.
std::string encode(const ListingsRequest &message);

/// Writes an answer with its length in front.
std::string encode(const ListingsUpdate &message);

/// Reads the body of a frame.
/// @return the message, or Corrupt.
Result<ListingsMessage> decodeListings(std::string_view body);

} // namespace ibislock::peer
