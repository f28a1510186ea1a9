#include "ibislock/engine/engine_client.h"

#include "ibislock/base/http_status.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace ibislock::engine
{

namespace
{

using nlohmann::json;

constexpr int HttpOk = 200;
constexpr const char *RequestIdHeader = "X-Request-Id";
constexpr const char *WeightsHeader = "X-Weights-Digest";
constexpr const char *ResumeFromHeader = "X-Resume-From";
constexpr const char *CachedBytesHeader = "X-Cached-Bytes";
constexpr std::string_view StreamEndMarker = "data: [DONE]\n\n";

/// Keeps the last bytes of a stream, to find the final marker.
struct Tail
{
    std::string bytes;

    void add(std::string_view data)
    {
        bytes.append(data);
        if (bytes.size() > StreamEndMarker.size()) {
            bytes.erase(0, bytes.size() - StreamEndMarker.size());
        }
    }
};

Digest weightsOf(const httplib::Response &response)
{
    return digestFromHex(response.get_header_value(WeightsHeader)).value_or(Digest{});
}

std::optional<std::uint32_t> numberOf(const httplib::Response &response, const char *header)
{
    if (!response.has_header(header)) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(std::strtoul(response.get_header_value(header).c_str(), nullptr, 10));
}

httplib::Headers headersOf(const requests::Request &request, const std::string &id)
{
    httplib::Headers headers{{RequestIdHeader, id},
                             {"X-Workspace", request.workspace},
                             {"X-Priority", std::string(nameOf(requests::PriorityNames, request.priority))}};
    if (!request.contentType.empty()) {
        headers.emplace("Content-Type", request.contentType);
    }
    if (!request.idempotencyKey.empty()) {
        headers.emplace("Idempotency-Key", request.idempotencyKey);
    }
    if (request.resumeFrom > 0) {
        headers.emplace(ResumeFromHeader, std::to_string(request.resumeFrom));
    }
    return headers;
}

Error orderError(const httplib::Result &result)
{
    if (!result) {
        const bool neverSent = result.error() == httplib::Error::Connection;
        return {neverSent ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown,
                "the engine does not answer: " + httplib::to_string(result.error())};
    }
    if (!isHttpStatus(result->status)) {
        return {ErrorCode::OutcomeUnknown, "the engine answers with status " + std::to_string(result->status)};
    }
    if (result->status == 409) {
        return {ErrorCode::Fenced, "the engine has seen a higher fencing number"};
    }
    return {ErrorCode::Unavailable, "the engine refuses with status " + std::to_string(result->status)};
}

} // namespace

EngineClient::EngineClient(const EngineOptions &options)
    : m_client(std::make_unique<httplib::Client>(options.url))
{
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
    m_client->set_connection_timeout(options.connectTimeout);
    m_client->set_read_timeout(options.orderTimeout);
    m_client->set_write_timeout(options.orderTimeout);
}

EngineClient::~EngineClient() = default;

Result<void> EngineClient::stage(const Digest &root, std::size_t index, const std::string &bytes)
{
    const auto path = "/v1/weights/" + toHex(root) + "/" + std::to_string(index);
    const auto result = m_client->Put(path, bytes, "application/octet-stream");
    if (!result || result->status != 200) {
        return tl::unexpected(orderError(result));
    }
    return {};
}

Result<void> EngineClient::load(const LoadOrder &order)
{
    const json body{{"order", "load"},           {"model", order.model},   {"version", order.version},
                    {"root", toHex(order.root)}, {"chunks", order.chunks}, {"adapters", order.adapters},
                    {"fence", order.fence}};
    const auto result = m_client->Post("/v1/orders", body.dump(), "application/json");
    if (!result || result->status != 200) {
        return tl::unexpected(orderError(result));
    }
    return {};
}

Result<EngineStatus> EngineClient::status()
{
    const auto result = m_client->Get("/v1/status");
    if (!result || result->status != 200) {
        return tl::unexpected(orderError(result));
    }
    const json value = json::parse(result->body, nullptr, false);
    if (!value.is_object()) {
        return failure(ErrorCode::Corrupt, "the engine's status is malformed");
    }
    return EngineStatus{.root = digestFromHex(value.value("root", "")).value_or(Digest{}),
                        .fence = value.value("fence", std::uint64_t{0}),
                        .running = value.value("running", 0U),
                        .queued = value.value("queued", 0U)};
}

EngineAnswer EngineClient::run(const requests::Request &request, const PartHandler &onPart)
{
    return send(request, onPart, request.stream);
}

EngineAnswer EngineClient::forward(const requests::Request &request, const PartHandler &onPart)
{
    return send(request, onPart, false);
}

EngineAnswer EngineClient::send(const requests::Request &request, const PartHandler &onPart, bool expectMarker)
{
    m_client->set_read_timeout(std::max(request.timeLeft, Millis(1)));
    const std::string id = hexOf(request.id);
    EngineAnswer answer;
    Tail tail;
    bool belongs = false;
    httplib::Request call;
    call.method = request.method;
    call.path = request.path;
    call.body = request.body;
    call.headers = headersOf(request, id);
    call.response_handler = [&](const httplib::Response &response) {
        if (!isHttpStatus(response.status)) {
            return false; // It is no response to this request or to another one.
        }
        answer.status = static_cast<std::uint16_t>(response.status);
        answer.contentType = response.get_header_value("Content-Type");
        answer.root = weightsOf(response);
        answer.resumedFrom = numberOf(response, ResumeFromHeader).value_or(0);
        answer.cachedBytes = numberOf(response, CachedBytesHeader);
        belongs = response.get_header_value(RequestIdHeader) == id;
        return belongs;
    };
    call.content_receiver = [&](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
        if (expectMarker && answer.status != HttpOk) {
            // An error in place of a stream is small, and goes out with the end, which has its status.
            answer.message.append(data, n);
            return true;
        }
        tail.add({data, n});
        return onPart({data, n});
    };
    const auto result = m_client->send(call);
    answer.started = result || result.error() != httplib::Error::Connection;
    if (!result) {
        answer.message = "the engine's answer broke off: " + httplib::to_string(result.error());
        answer.isForeign = answer.status != 0 && !belongs;
        if (answer.isForeign) {
            answer.message = "the engine answered another request";
        }
        return answer;
    }
    answer.whole = !expectMarker || answer.status != HttpOk || tail.bytes == StreamEndMarker;
    if (!answer.whole) {
        answer.message = "the engine's stream ended without its final marker";
    }
    return answer;
}

void EngineClient::cancel(const std::string &requestId)
{
    m_client->Post("/v1/cancel", json{{"request_id", hexOf(requestId)}}.dump(), "application/json");
}

void EngineClient::abort()
{
    m_client->stop();
}

} // namespace ibislock::engine
