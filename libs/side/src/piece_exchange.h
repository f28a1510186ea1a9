// Exchanges pieces of weights with other target VMs: sends requests over one persistent connection to each VM, and
// serves the requests of other VMs. A request may be a long poll that waits until the piece is held.

#pragma once

#include "ibislock/net/recent_connections.h"
#include "ibislock/net/timer.h"
#include "ibislock/peer/messages.h"

#include <map>
#include <optional>

namespace ibislock::side
{

/// Access to the pieces that are served to other VMs.
struct PieceStore
{
    /// Returns true if a piece is held, false if it may be held later, and nothing if it won't be fetched any more.
    std::function<std::optional<bool>(const peer::PieceMessage &request)> holds;

    /// Reads a piece; `done` receives the message to send.
    std::function<void(const peer::PieceMessage &request, std::function<void(peer::PieceMessage)> done)> read;

    /// Called with what another VM holds, as it tells when it asks for what this one holds. May be empty.
    std::function<void(const peer::PieceMessage &request)> onHoldings = {};
};

/// Receives the response to a request; nothing if the VM didn't respond in time or the connection failed.
using PieceResponseHandler = std::function<void(std::optional<peer::PieceMessage>)>;

/// What is known of another VM.
enum class PeerState {
    Unknown, ///< Nothing was requested from it lately.
    Responding,
    Unreachable, ///< It didn't respond lately.
};

/// Limits of the server for pieces, within which other VMs that read at a usual rate stay.
struct PieceServerLimits
{
    std::size_t connections = 1024; ///< That are kept; each VM that takes pieces from this one has one.
    std::size_t pendingBytes = 16U << 20U; ///< That pending requests take.
    std::size_t queuedBytes = 64U << 20U; ///< Of responses that other VMs haven't read yet, of all connections.
};

/// Client and server for pieces.
class PieceExchange
{
public:
    /// @param pieceInterval least time between two pieces that are sent, so that the VM's link has room for inference
    /// requests.
    PieceExchange(asio::io_context &loop, std::uint16_t port, Millis pieceInterval, PieceStore store,
                  const PieceServerLimits &limits = {});

    ~PieceExchange();
    PieceExchange(const PieceExchange &) = delete;
    PieceExchange &operator=(const PieceExchange &) = delete;

    /// Starts to serve the requests of other VMs.
    asio::error_code open(const std::string &ip);

    /// Requests a piece from a VM.
    /// @param timeout how long to wait for the response.
    void request(const std::string &vm, peer::PieceMessage request, Millis timeout, PieceResponseHandler done);

    /// Returns whether a VM has responded lately.
    PeerState stateOf(const std::string &vm) const;

    /// Checks whether a VM responds; stateOf() shows the result within a second. Does nothing while a request to the VM
    /// is pending.
    void check(const std::string &vm, const std::string &model, std::int64_t version);

    /// Responds to the pending requests of other VMs that are ready now.
    void completePending();

    /// Returns the number of piece bytes that were sent to other VMs.
    std::uint64_t bytesServed() const;

private:
    /// A request of this VM to another one.
    struct OutgoingRequest
    {
        peer::PieceMessage request;
        Millis sentAt{0};
        Millis deadline{0};
        PieceResponseHandler done;
    };

    /// The connection to a VM to which this VM sends requests.
    struct PeerConnection
    {
        std::shared_ptr<net::Connection> connection;
        std::shared_ptr<asio::ip::tcp::socket> connecting;
        std::shared_ptr<peer::PieceReader> reader;
        std::vector<OutgoingRequest> pending;
        std::string unsent;
        Millis lastBytesAt{0};
        Millis connectDeadline{0};
        Millis probedAt{0}; ///< When a probe was sent that has no response; 0 for none.
    };

    /// When a VM last responded, and when it was last found not to.
    struct PeerHealth
    {
        Millis respondedAt{0};
        Millis failedAt{0};
    };

    /// A request of another VM that has no response so far.
    struct PendingRequest
    {
        std::weak_ptr<net::Connection> connection;
        peer::PieceMessage request;
        Millis receivedAt{0};
        Millis deadline{0};
    };

    void connect(const std::string &vm);
    void onData(const std::string &vm, std::string_view bytes);
    void failAll(const std::string &vm);

    /// Probes a VM that sends nothing while long polls are pending.
    /// @return false if it doesn't respond to a probe.
    static bool probe(PeerConnection &link, Millis now);
    void serve(const std::shared_ptr<net::Connection> &connection);

    /// Adds a request of another VM to the pending ones.
    void addPending(const std::shared_ptr<net::Connection> &connection, peer::PieceMessage request);

    /// Returns the bytes that a pending request takes.
    static std::size_t bytesOf(const PendingRequest &item);

    /// Closes the connections with the most pending requests until the others are within the limit.
    void limitPending();

    /// What to do about a pending request of another VM.
    enum class Decision {
        Wait, ///< Keep it pending.
        Missing, ///< Respond that the piece isn't held within the request's time limit.
        Ready, ///< Respond that the piece is held.
        Redirect, ///< Redirect the requesting VM to a VM that has received the piece.
        Send, ///< Respond with the piece.
    };

    Decision decide(const PendingRequest &item, const net::Connection &connection, Millis now) const;
    void sendPiece(const PendingRequest &item, const net::Connection &connection, Millis now);
    void recordSent(const PendingRequest &item, const net::Connection &connection, Millis now);
    std::string redirectVm(const PendingRequest &item, Millis now) const;
    void tick();

    asio::io_context &m_loop;
    std::uint16_t m_port;
    Millis m_pieceInterval;
    Millis m_nextPieceAt{0};
    PieceStore m_store;
    PieceServerLimits m_limits;
    net::Listener m_listener;
    net::Timer m_tickTimer;
    std::map<std::string, PeerConnection> m_peers;
    std::map<std::string, PeerHealth> m_health; ///< By VM.
    std::vector<PendingRequest> m_pending;
    std::size_t m_pendingBytes = 0; ///< That `m_pending` takes.
    net::RecentConnections m_incoming;

    /// A VM to which a piece was sent.
    struct SentPiece
    {
        std::string vm;
        Millis sentAt{0};
    };

    std::map<int, std::vector<SentPiece>> m_sentPieces; ///< By piece index, of `m_sentVersion`.
    std::int64_t m_sentVersion = 0;
    int m_activeReads = 0; ///< Pieces that are being read for other VMs.
    net::Timer m_nextPieceTimer;
    std::uint64_t m_bytesServed = 0;
};

} // namespace ibislock::side
