// Fetches a version's manifest and chunks, from other targets and from the store, and verifies each.

#pragma once

#include "holdings.h"
#include "origin_reader.h"

#include "ibislock/base/counters.h"
#include "ibislock/configuration/state.h"
#include "ibislock/node/node.h"
#include "ibislock/target/link.h"
#include "ibislock/target/options.h"

#include <functional>

namespace ibislock::target
{

/// Tells whether a transfer is to be given up.
using Withdrawn = std::function<bool()>;

/// Takes each verified chunk of the version, in any order, on the thread of the transfer.
using ChunkSink = std::function<void(std::size_t index, const weights::ChunkBytes &bytes)>;

/// What the parts of the fetcher share. All of it outlives the transfers.
struct FetchContext
{
    const TargetOptions &options;
    node::Node &node;
    rpc::Client &client;
    Counters &counters;
    Holdings &holdings;
    LinkFaults &faults;
    ImportLedger &imports;
};

/// The rate limits that transfers of this VM share. Only the transfer's thread uses them.
struct Links
{
    weights::TokenBucket download;
    weights::TokenBucket origin;
    std::map<std::string, weights::TokenBucket> imports; ///< By the domain at the other end.
};

/// Fetches versions, one at a time.
class Fetcher
{
public:
    explicit Fetcher(const FetchContext &context);

    /// Fetches what is missing of a version.
    /// @param duty the version, and the VMs that fetch it too.
    /// @param withdrawn asked again and again.
    /// @param sink takes each chunk, those that are there already included.
    /// @return the verified manifest, or the reason why the version is not complete.
    Result<weights::Manifest> fetch(const configuration::VmAssignment &duty, const Withdrawn &withdrawn,
                                    const ChunkSink &sink);

    /// Breaks reads from the store off.
    void stop();

private:
    Result<weights::Manifest> fetchManifest(const configuration::VmAssignment &duty, const Withdrawn &withdrawn);
    std::optional<weights::Manifest> manifestFromPeer(const configuration::VmAssignment &duty, const std::string &vm);
    Result<weights::Manifest> manifestFromOrigin(const configuration::VmAssignment &duty);

    FetchContext m_context;
    Links m_links;
    OriginReader m_origin;
    Random m_random;
};

/// Lists who is to have a version, and who of them is live.
std::vector<weights::Participant> participantsOf(const node::Node &node, const configuration::VmAssignment &duty);

} // namespace ibislock::target
