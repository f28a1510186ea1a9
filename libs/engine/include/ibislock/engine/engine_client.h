// Orders and requests to the model engine, or plain service, beside a target process.
//
// Only the target process of a VM talks to its engine. An engine says in every answer which request it answers and
// which weights it used; an answer that does not say so, or says otherwise, is not released.
//
//     EngineClient engine({.url = "http://127.0.0.1:7000"});
//     engine.stage(root, index, bytes);
//     engine.load({.model = "frost", .version = "2", .root = root, .chunks = 8, .fence = 41});
//     Result<EngineStatus> status = engine.status();      // read back

#pragma once

#include "ibislock/base/clock.h"
#include "ibislock/base/digest.h"
#include "ibislock/requests/request.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace httplib
{
class Client;
}

namespace ibislock::engine
{

/// Where the engine is.
struct EngineOptions
{
    std::string url;
    Millis connectTimeout{500};
    Millis orderTimeout{10000};
};

/// An order to load a version whose chunks have been staged.
struct LoadOrder
{
    std::string model;
    std::string version;
    Digest root;
    std::uint64_t chunks = 0;
    std::vector<std::string> adapters;
    std::uint64_t fence = 0;
};

/// What the engine says of itself.
struct EngineStatus
{
    Digest root; ///< The weights that it serves; none while it serves nothing.
    std::uint64_t fence = 0; ///< The highest fencing number that it has seen, where it keeps one.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

/// How a request at the engine ended.
struct EngineAnswer
{
    std::uint16_t status = 0;
    std::string contentType;
    Digest root; ///< The weights that answered.
    bool started = false; ///< Whether the engine may have started the request.
    bool whole = false; ///< Whether the final marker or the full length arrived.
    std::string message;
    bool isForeign = false; ///< Whether the answer named another request.
    std::uint32_t resumedFrom = 0; ///< Events of the stream that the engine left out on request.
    std::optional<std::uint32_t> cachedBytes; ///< Bytes of the prompt that were cached, where the engine says so.
};

/// Takes a piece of the answer. A false result stops the request.
using PartHandler = std::function<bool(std::string_view)>;

/// A connection to one engine. Not safe for use from several threads at once.
class EngineClient
{
public:
    explicit EngineClient(const EngineOptions &options);
    ~EngineClient();

    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    /// Hands a verified chunk to the engine.
    Result<void> stage(const Digest &root, std::size_t index, const std::string &bytes);

    /// Orders the engine to load a staged version.
    /// @return nothing, Fenced, OutcomeUnknown, or another error.
    Result<void> load(const LoadOrder &order);

    /// Reads back what the engine serves.
    Result<EngineStatus> status();

    /// Runs a request at the model engine.
    EngineAnswer run(const requests::Request &request, const PartHandler &onPart);

    /// Runs a request at a plain service.
    EngineAnswer forward(const requests::Request &request, const PartHandler &onPart);

    /// Tells the engine that a request's answer is no longer wanted.
    void cancel(const std::string &requestId);

    /// Breaks the call in progress off; usable from any thread.
    void abort();

private:
    EngineAnswer send(const requests::Request &request, const PartHandler &onPart, bool expectMarker);

    std::unique_ptr<httplib::Client> m_client;
};

} // namespace ibislock::engine
