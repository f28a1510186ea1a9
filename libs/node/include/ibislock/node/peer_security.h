// The identity that a daemon shows to other processes, kept up to date.
//
//     auto tls = openPeerTls(options.tls);                    // null for plain text
//     rpc::Client client(loop, clientOptions(tls));
//     keepUpToDate(node, *tls, options.tls, counters);

#pragma once

#include "ibislock/node/node.h"

namespace ibislock::node
{

/// Opens the identity for other processes, with a warning where the settings ask for plain text.
/// @return the identity, null for plain text, or what is wrong with the files.
Result<std::shared_ptr<security::TlsStore>> openPeerTls(const security::TlsOptions &options);

/// Gives the options of a client that shows an identity.
rpc::ClientOptions clientOptions(const Result<std::shared_ptr<security::TlsStore>> &tls);

/// Reads an identity again whenever its files change.
void keepUpToDate(Node &node, const std::shared_ptr<security::TlsStore> &tls, const security::TlsOptions &options,
                  Counters &counters);

/// Counts and logs refused peers. The log gets the first refusal and then one line for each power of two.
std::function<void(const std::string &)> peerRefusals(Counters &counters);

} // namespace ibislock::node
