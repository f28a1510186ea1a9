#include "ibislock/standins/engine_stand_in.h"

#include "ibislock/weights/manifest.h"

#include <nlohmann/json.hpp>

namespace ibislock::standins
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t DefaultTokens = 16;
constexpr std::size_t TokenDigits = 8;

/// Works out which weights the staged chunks are.
Digest rootOf(const std::map<std::uint64_t, std::pair<std::uint64_t, Digest>> &staged)
{
    if (staged.empty()) {
        return {};
    }
    weights::Manifest manifest{.chunkBytes = staged.begin()->second.first};
    for (const auto &[index, chunk] : staged) {
        manifest.sizeBytes += chunk.first;
        manifest.chunks.push_back(chunk.second);
    }
    return weights::rootDigest(manifest);
}

std::string promptOf(const json &body)
{
    if (body.contains("prompt") && body["prompt"].is_string()) {
        return body["prompt"];
    }
    return body.contains("messages") ? body["messages"].dump() : "";
}

} // namespace

std::string expectedToken(const std::string &prompt, std::uint64_t position)
{
    return toHex(sha256(prompt + "#" + std::to_string(position))).substr(0, TokenDigits) + " ";
}

EngineStandIn::EngineStandIn(const EngineStandInOptions &options)
    : m_options(options)
    , m_server(options.threads, options.seed)
{
    m_server.put(R"(/v1/weights/([0-9a-f]{64})/(\d+))",
                 [this](const auto &request, auto &response) { handleStage(request, response); });
    m_server.post("/v1/orders", [this](const auto &request, auto &response) { handleOrder(request, response); });
    m_server.get("/v1/status", [this](const auto &request, auto &response) { handleStatus(request, response); });
    m_server.post("/v1/cancel", [this](const auto &request, auto &response) { handleCancel(request, response); });
    for (const char *path : {"/v1/completions", "/v1/chat/completions"}) {
        m_server.post(path, [this](const auto &request, auto &response) { handleCompletion(request, response); });
    }
}

EngineStandIn::~EngineStandIn()
{
    stop();
}

void EngineStandIn::start()
{
    m_server.start();
}

void EngineStandIn::stop()
{
    m_server.stop();
}

std::string EngineStandIn::url() const
{
    return m_server.url();
}

Faults &EngineStandIn::faults()
{
    return m_server.faults();
}

Digest EngineStandIn::root() const
{
    const std::lock_guard lock(m_mutex);
    return m_root;
}

std::uint64_t EngineStandIn::started() const
{
    return m_started;
}

void EngineStandIn::setCrossed(double probability)
{
    m_crossed = probability;
}

void EngineStandIn::handleStage(const httplib::Request &request, httplib::Response &)
{
    const std::uint64_t index = std::strtoull(request.matches[2].str().c_str(), nullptr, 10);
    const Digest digest = sha256(request.body);
    const std::lock_guard lock(m_mutex);
    m_staged[request.matches[1].str()][index] = {request.body.size(), digest};
}

void EngineStandIn::handleOrder(const httplib::Request &request, httplib::Response &response)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || body.value("order", "") != "load") {
        response.status = 400;
        return;
    }
    const std::uint64_t fence = body.value("fence", std::uint64_t{0});
    {
        const std::lock_guard lock(m_mutex);
        if (m_options.honoursFence && fence < m_fence) {
            response.status = 409;
            return;
        }
        m_fence = std::max(m_fence, fence);
        const std::string wanted = body.value("root", "");
        if (!m_root.isNone() && wanted == toHex(m_root) && !m_staged.contains(wanted)) {
            return; // The version is loaded already.
        }
        m_root = {};
    }
    std::this_thread::sleep_for(m_options.loadTime);
    const std::lock_guard lock(m_mutex);
    m_root = rootOf(m_staged[body.value("root", "")]);
    m_staged.clear();
}

void EngineStandIn::handleStatus(const httplib::Request &, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    response.set_content(json{{"root", m_root.isNone() ? "" : toHex(m_root)},
                              {"fence", m_fence},
                              {"running", m_running.load()},
                              {"queued", 0}}
                             .dump(),
                         "application/json");
}

void EngineStandIn::handleCancel(const httplib::Request &request, httplib::Response &)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    m_cancelled.insert(body.is_object() ? body.value("request_id", "") : "");
}

bool EngineStandIn::isCancelled(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled.contains(requestId);
}

void EngineStandIn::handleCompletion(const httplib::Request &request, httplib::Response &response)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        response.status = 400;
        return;
    }
    const std::string id = request.get_header_value("X-Request-Id");
    const std::string weights = toHex(root());
    const std::string prompt = promptOf(body);
    const std::uint64_t tokens = body.value("max_tokens", DefaultTokens);
    ++m_started;
    response.set_header("X-Request-Id", m_server.happens(m_crossed) ? "another" : id);
    response.set_header("X-Weights-Digest", weights);
    if (!body.value("stream", false)) {
        std::this_thread::sleep_for(m_options.firstTokenTime + tokens * m_options.tokenTime);
        std::string text;
        for (std::uint64_t i = 0; i < tokens; ++i) {
            text += expectedToken(prompt, i);
        }
        response.set_content(json{{"choices", {{{"text", text}}}}, {"weights", toHex(root())}}.dump(),
                             "application/json");
        return;
    }
    ++m_running;
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, id, prompt, tokens](std::size_t, httplib::DataSink &sink) {
            std::this_thread::sleep_for(m_options.firstTokenTime);
            for (std::uint64_t i = 0; i < tokens; ++i) {
                std::this_thread::sleep_for(m_options.tokenTime);
                if (isCancelled(id)) {
                    return false;
                }
                const json event{{"choices", {{{"text", expectedToken(prompt, i)}}}}, {"weights", toHex(root())}};
                const std::string line = "data: " + event.dump() + "\n\n";
                if (!sink.write(line.data(), line.size())) {
                    return false;
                }
            }
            const std::string marker = "data: [DONE]\n\n";
            sink.write(marker.data(), marker.size());
            sink.done();
            return true;
        },
        [this](bool) { --m_running; });
}

} // namespace ibislock::standins
