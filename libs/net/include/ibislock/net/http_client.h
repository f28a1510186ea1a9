// Sends HTTP/1.1 requests over kept connections and hands answers over as they arrive.
//
//     HttpClient client(loop);
//     auto exchange = client.send(endpoint, bytes, {.timeout = Millis{500}}, {.end = [](const ExchangeResult &r)
//     {...}}); exchange->cancel();   // the connection is closed, nothing more is told

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/http/reader.h"
#include "ibislock/net/connection.h"
#include "ibislock/net/timer.h"

#include <map>
#include <set>

namespace ibislock::net
{

/// How an exchange ended.
enum class ExchangeOutcome {
    Complete, ///< The whole answer has been read.
    NotConnected, ///< No connection came about; nothing was sent.
    Broken, ///< The connection ended, or bytes came that are no answer; the request may have been read.
    TimedOut, ///< The time allowed ran out; the request may have been read.
};

/// External names of the ends.
inline constexpr NameTable<ExchangeOutcome, 4> ExchangeOutcomeNames{{
    {ExchangeOutcome::Complete, "complete"},
    {ExchangeOutcome::NotConnected, "not_connected"},
    {ExchangeOutcome::Broken, "broken"},
    {ExchangeOutcome::TimedOut, "timed_out"},
}};

/// The end of an exchange.
struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::Complete;
    bool connected = false; ///< A connection was there, so the request was written to it.
    bool reused = false; ///< It went over a connection that had been used before.
    bool responseStarted = false; ///< At least one byte of an answer came.
};

/// What to do with an answer whose head has come.
enum class HeadDecision { Accept, Skip };

/// What the sender is told.
struct ExchangeEvents
{
    std::function<HeadDecision(const http::ResponseHead &)>
        head; ///< Skip: it answers something else; the next is awaited.
    std::function<void(std::string)> body;
    std::function<void(const ExchangeResult &)> end;
};

/// Bytes of one answer's body beyond which it counts as broken; the largest that is wanted is a page of the store of
/// some MB. A peer may send without end.
inline constexpr std::size_t DefaultMaxBodyBytes = 16U << 20U;

/// Bytes of answers that are skipped beyond which the peer counts as broken; one that crossed is some KB.
inline constexpr std::size_t MaxSkippedBytes = 1U << 20U;

/// How many answers are skipped at most; interim answers and late ones of earlier requests come one or two at a time.
inline constexpr std::size_t MaxSkippedResponses = 16;

/// How to send.
struct ExchangeOptions
{
    Millis connectTimeout{1000};
    Millis timeout{0}; ///< For the whole exchange, or until the answer begins if `stall` is set; 0 for none.
    Millis stallTimeout{0}; ///< An answer that has begun may bring nothing for this long; 0 to go by `timeout` alone.
    Millis totalTimeout{0}; ///< For the whole exchange if `stall` is set.
    bool newConnection = false; ///< Always on a new connection, so that it can't meet one that the peer is closing.
    bool keepAlive = true; ///< The connection may be kept for the next request; if not, it is closed behind the answer.
    std::size_t maxBodyBytes =
        DefaultMaxBodyBytes; ///< Bytes; 0 for no limit, if whoever takes them does not keep them.
    Millis maxIdle{1000}; ///< A kept connection that was idle for longer is not used.
};

class HttpClient;

/// One request and its answer.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    ~Exchange();

    /// Gives the exchange up; nothing more is told.
    void cancel();

    /// Tells whether part of the answer has come, and more is awaited.
    bool isReceivingResponse() const;

    /// Stops or goes on with reading the answer.
    void setReadingPaused(bool pause);

private:
    friend class HttpClient;
    Exchange(HttpClient &client, std::string key, std::string bytes, const ExchangeOptions &options,
             ExchangeEvents events);
    void connect(const asio::ip::tcp::endpoint &endpoint);
    void begin(std::shared_ptr<Connection> connection, bool reused);
    void armTimer(Millis time);
    void onData(std::string_view bytes);
    void onClosed(CloseReason by);
    void finish(ExchangeOutcome end);
    bool takeHead();
    bool isTooLong(std::size_t bytes);

    HttpClient *m_client; ///< Null once the client is gone.
    std::string m_key;
    std::string m_bytes;
    ExchangeOptions m_options;
    ExchangeEvents m_events;
    std::shared_ptr<Connection> m_connection;
    std::shared_ptr<asio::ip::tcp::socket> m_socket;
    Timer m_timer; ///< The time that a connection may take, then that of the answer.
    http::MessageReader m_reader;
    bool m_isHead = false; ///< The request is HEAD: its answers have no body.
    Millis m_beganAt{0};
    std::size_t m_bodyBytes = 0; ///< Of the answer that is taken.
    std::size_t m_skippedBytes = 0; ///< Of all that were skipped, heads not counted.
    std::size_t m_skippedAnswers = 0;
    bool m_connected = false;
    bool m_reused = false;
    bool m_answered = false;
    bool m_headTaken = false;
    bool m_skipping = false;
    bool m_done = false;
};

/// Keeps connections for exchanges.
class HttpClient
{
public:
    /// @param loop outlives the client.
    explicit HttpClient(asio::io_context &loop);

    /// Gives all exchanges up.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request.
    /// @param ip, port where to.
    /// @param bytes the whole request.
    std::shared_ptr<Exchange> send(const std::string &ip, std::uint16_t port, std::string bytes,
                                   const ExchangeOptions &options, ExchangeEvents events);

    /// Sends a request and hands over the whole answer.
    /// @param done is given the end, the head and the body; head and body are empty unless the end is Complete.
    std::shared_ptr<Exchange> call(const std::string &ip, std::uint16_t port, std::string bytes,
                                   const ExchangeOptions &options,
                                   std::function<void(ExchangeOutcome, const http::ResponseHead &, std::string)> done);

    /// How many connections have been opened.
    std::uint64_t connectionsOpened() const;

    /// Closes kept connections that have been idle for long.
    void closeIdleConnections(Millis now);

private:
    friend class Exchange;

    /// A connection that waits for its next request.
    struct Kept
    {
        std::shared_ptr<Connection> connection;
        Millis since{0};
        Millis usableFor{0};
    };

    void keep(const std::string &key, std::shared_ptr<Connection> connection, const http::ResponseHead &head);
    std::shared_ptr<Connection> takeKept(const std::string &key, Millis maxIdle);

    asio::io_context &m_loop;
    std::map<std::string, std::vector<Kept>> m_kept;
    std::set<Exchange *> m_exchanges; ///< All that are alive.
    std::uint64_t m_opened = 0;
};

} // namespace ibislock::net
