// An asynchronous HTTP/1.1 client with a connection pool. Responses are delivered to callbacks as they arrive.
//
//     HttpClient client(loop);
//     auto exchange = client.send(ip, port, bytes, {.timeout = Millis{500}},
//                                 {.end = [](const ExchangeResult &result) {...}});
//     exchange->cancel();   // closes the connection; no callback runs afterwards

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/http/reader.h"
#include "ibislock/net/connection.h"
#include "ibislock/net/timer.h"

#include <map>
#include <set>

namespace ibislock::net
{

/// How a request and response exchange ended.
enum class ExchangeOutcome {
    Complete, ///< The complete response was read.
    NotConnected, ///< No connection was established in time; nothing was sent.
    Broken, ///< The connection failed or the response was invalid; the peer may have read the request.
    TimedOut, ///< The time limit was exceeded; the peer may have read the request.
};

/// Names of the outcomes in logs.
inline constexpr NameTable<ExchangeOutcome, 4> ExchangeOutcomeNames{{
    {ExchangeOutcome::Complete, "complete"},
    {ExchangeOutcome::NotConnected, "not_connected"},
    {ExchangeOutcome::Broken, "broken"},
    {ExchangeOutcome::TimedOut, "timed_out"},
}};

/// The result of an exchange.
struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::Complete;
    bool connected = false; ///< A connection was established and the request written to it.
    bool reused = false; ///< The connection came from the pool.
    bool responseStarted = false; ///< At least one byte of a response arrived.
    bool tooLarge = false; ///< The body exceeded its limit.
};

/// What to do with a response whose head has been read: deliver it, or skip it and wait for the next one.
enum class HeadDecision { Accept, Skip };

/// Callbacks of an exchange; each may be empty.
struct ExchangeEvents
{
    /// Called when a new connection is established; if it returns false, nothing is sent and the exchange ends as not
    /// connected.
    std::function<bool()> maySend;
    std::function<HeadDecision(const http::ResponseHead &)> head; ///< Skip if the response belongs to another request.
    std::function<void(std::string)> body;
    std::function<void(const ExchangeResult &)> end;
};

/// Default limit of a response body in bytes, as a peer may send without end. The largest legitimate response is a page
/// of the store of some MB.
inline constexpr std::size_t DefaultMaxBodyBytes = 16U << 20U;

/// Limit of the body bytes of skipped responses in one exchange. A late response to an earlier request has some KB.
inline constexpr std::size_t MaxSkippedBytes = 1U << 20U;

/// Limit of the number of skipped responses in one exchange. Interim responses and late responses to earlier requests
/// come one or two at a time.
inline constexpr std::size_t MaxSkippedResponses = 16;

/// How a request is sent, and the limits of its exchange.
struct ExchangeOptions
{
    Millis connectTimeout{1000}; ///< Also bounds the time from `send` until the request is written.
    Millis timeout{0}; ///< Limit of the exchange, or of the time to first byte if `stallTimeout` is set; 0 for none.
    Millis stallTimeout{0}; ///< Longest pause within a response that has started; 0 applies `timeout` alone.
    Millis totalTimeout{0}; ///< Limit of the whole exchange if `stallTimeout` is set.
    bool newConnection = false; ///< Don't use a pooled connection, which the peer may be closing already.
    bool keepAlive = true; ///< Return the connection to the pool after the response; if false, it is closed.
    std::size_t maxBodyBytes = DefaultMaxBodyBytes; ///< 0 for no limit, for callers that don't buffer the body.
    Millis maxIdle{1000}; ///< Pooled connections that were idle for longer are not used.
};

class HttpClient;

/// One request and its response.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    ~Exchange();

    /// Cancels the exchange and closes its connection; no callback runs afterwards. Nothing of the request that hasn't
    /// been sent yet is sent any more.
    void cancel();

    /// Returns whether the response has started but isn't complete.
    bool isReceivingResponse() const;

    /// Replaces the limit of the body, once its head shows whether the body must be buffered.
    /// @param bytes the limit; 0 for none.
    void limitBody(std::size_t bytes);

    /// Pauses or resumes reading the response.
    void setReadingPaused(bool pause);

private:
    friend class HttpClient;
    Exchange(HttpClient &client, std::string key, std::string bytes, const ExchangeOptions &options,
             ExchangeEvents events);
    void connect(const asio::ip::tcp::endpoint &endpoint);
    void start(std::shared_ptr<Connection> connection, bool reused);
    void armTimer(Millis time);
    void onData(std::string_view bytes);
    void onClosed(CloseReason by);
    void finish(ExchangeOutcome end);
    bool handleHead();
    bool exceedsBodyLimit(std::size_t bytes);

    HttpClient *m_client; ///< Null once the client is gone.
    std::string m_key;
    std::string m_request;
    ExchangeOptions m_options;
    ExchangeEvents m_events;
    std::shared_ptr<Connection> m_connection;
    std::shared_ptr<asio::ip::tcp::socket> m_socket;
    Timer m_timer; ///< Limits the connection attempt, then the response.
    http::MessageReader m_reader;
    bool m_isHeadRequest = false; ///< It is a HEAD request, whose responses have no body.
    Millis m_connectStartedAt{0}; ///< By the boot clock.
    Millis m_startedAt{0};
    std::size_t m_bodyBytes = 0; ///< Body bytes of the accepted response.
    std::size_t m_skippedBytes = 0; ///< Body bytes of all skipped responses.
    std::size_t m_skippedResponses = 0;
    bool m_connected = false;
    bool m_reused = false;
    bool m_responseStarted = false;
    bool m_headHandled = false;
    bool m_skipping = false;
    bool m_tooLarge = false;
    bool m_done = false;
};

/// Sends requests and pools connections by address.
class HttpClient
{
public:
    /// @param loop outlives the client.
    explicit HttpClient(asio::io_context &loop);

    /// Cancels all exchanges and closes all connections.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request and delivers the response to callbacks as it arrives.
    /// @param ip, port IPv4 address and port of the server.
    /// @param bytes the serialized request.
    /// @param options how to send it, and the time and size limits.
    /// @param events called on the loop, never before this function returns.
    /// @return the exchange, which stays alive until it ends; needed only to cancel or pause it.
    std::shared_ptr<Exchange> send(const std::string &ip, std::uint16_t port, std::string bytes,
                                   const ExchangeOptions &options, ExchangeEvents events);

    /// Sends a request and delivers the response when it is complete.
    /// @param ip, port IPv4 address and port of the server.
    /// @param bytes the serialized request.
    /// @param options how to send it, and the time and size limits.
    /// @param done called with the outcome, the head and the body; head and body are empty unless the outcome is
    ///        `Complete`.
    /// @return the exchange, as with `send`.
    std::shared_ptr<Exchange> call(const std::string &ip, std::uint16_t port, std::string bytes,
                                   const ExchangeOptions &options,
                                   std::function<void(ExchangeOutcome, const http::ResponseHead &, std::string)> done);

    /// Returns the number of connections opened since the start, including failed attempts.
    std::uint64_t connectionsOpened() const;

    /// Limits what the system buffers of a response that isn't read, on connections that are opened from now on.
    /// @param bytes size of the receive buffer; 0 leaves it to the system.
    void limitReceiveBuffer(int bytes);

    /// Returns the number of connections of exchanges and in the pool.
    std::size_t connections() const;

    /// Closes all pooled connections, to free their descriptors.
    void closeAllIdleConnections();

    /// Closes pooled connections that have been idle for longer than their keep-alive time.
    /// @param now time of the steady clock.
    void closeIdleConnections(Millis now);

private:
    friend class Exchange;

    /// A pooled connection.
    struct IdleConnection
    {
        std::shared_ptr<Connection> connection;
        Millis idleSince{0};
        Millis usableFor{0};
    };

    void addIdle(const std::string &key, std::shared_ptr<Connection> connection, const http::ResponseHead &head);
    std::shared_ptr<Connection> takeIdle(const std::string &key, Millis maxIdle);

    asio::io_context &m_loop;
    std::map<std::string, std::vector<IdleConnection>> m_idleConnections;
    std::set<Exchange *> m_exchanges; ///< All exchanges that exist.
    std::uint64_t m_connectionsOpened = 0;
    int m_receiveBuffer = 0;
};

} // namespace ibislock::net
