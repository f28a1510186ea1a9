// The HTTP library's server over guarded connections.

#pragma once

#include "guarded_stream.h"
#include "ibislock/base/counters.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace ibislock::entry
{

class ElasticThreads;

/// Serves connections within the limits of its options, which must outlive it.
class GuardedServer final : public httplib::Server
{
public:
    GuardedServer(const HttpOptions &options, std::shared_ptr<const security::TlsStore> tls, BodyAccount &account,
                  Counters &counters);

    /// Lets more connections wait to be accepted than the library asks for; call once the port is bound.
    void widenBacklog() const;

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(socket_t socket);
    void serveRequests(GuardedStream &stream);
    bool awaitRequest(GuardedStream &stream, Millis timeout) const;
    void refuseFaulty(GuardedStream &stream);
    bool enter(const std::string &peer);
    void leave(const std::string &peer);
    bool isStopping() const;

    const HttpOptions &m_options;
    Counters &m_counters;
    std::optional<HttpTls> m_tls;
    StreamSurroundings m_surroundings;
    ElasticThreads *m_threads = nullptr; ///< Owned by the library while it listens.
    std::mutex m_mutex;
    std::map<std::string, std::uint32_t> m_connections; ///< By IP number.
};

} // namespace ibislock::entry
