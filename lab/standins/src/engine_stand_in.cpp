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

namespace
{

std::string tokenOf(const Digest &prompt, std::uint64_t position)
{
    return toHex(sha256(std::string(bytesOf(prompt)) + "#" + std::to_string(position))).substr(0, TokenDigits) + " ";
}

} // namespace

std::string expectedToken(const std::string &prompt, std::uint64_t position)
{
    return tokenOf(sha256(prompt), position);
}

std::string expectedText(const std::string &prompt, std::uint64_t tokens)
{
    const Digest digest = sha256(prompt);
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i) {
        text += tokenOf(digest, i);
    }
    return text;
}

EngineStandIn::EngineStandIn(const EngineStandInOptions &options)
    : m_options(options)
    , m_server(options.threads, options.seed)
    , m_slots(options.slots)
    , m_cache(options.cacheBlocks)
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

bool EngineStandIn::hasRun(const std::string &prompt) const
{
    const std::lock_guard lock(m_mutex);
    return m_prompts.contains(prompt);
}

void EngineStandIn::setCrossed(double probability)
{
    m_crossed = probability;
}

void EngineStandIn::setDuplicate(double probability)
{
    m_duplicate = probability;
}

void EngineStandIn::setGappyEvents(double probability)
{
    m_gappyEvents = probability;
}

void EngineStandIn::stall(Millis time)
{
    m_stalledUntilMs = (steadyMillis() + time).count();
}

bool EngineStandIn::hasStarted(const std::string &user) const
{
    const std::lock_guard lock(m_mutex);
    return m_durations.contains(user);
}

std::chrono::microseconds EngineStandIn::durationOf(const std::string &user) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_durations.find(user);
    return it == m_durations.end() ? std::chrono::microseconds(0) : it->second;
}

Millis EngineStandIn::lastStartedAt() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastStartedAt;
}

CacheUse EngineStandIn::cacheUse() const
{
    return m_cache.use();
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
    const SlotLoad load = m_slots.reported(m_options.reportLag);
    const std::lock_guard lock(m_mutex);
    response.set_content(json{{"root", m_root.isNone() ? "" : toHex(m_root)},
                              {"fence", m_fence},
                              {"running", load.running},
                              {"queued", load.queued}}
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

void EngineStandIn::begin(EngineCall &call)
{
    ++m_started;
    {
        const std::lock_guard lock(m_mutex);
        m_prompts.insert(call.prompt);
        m_durations.try_emplace(call.user, std::chrono::microseconds(0));
        m_lastStartedAt = steadyMillis();
    }
    call.slot = m_slots.acquire(call.priority);
    call.cachedBlocks = m_cache.insert(call.prompt);
}

void EngineStandIn::end(const EngineCall &call)
{
    const std::lock_guard lock(m_mutex);
    m_durations[call.user] =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - call.begunAt);
    m_lastId = call.id;
}

/// Generates the tokens of a call at the engine's pace.
/// @return false when the call was cancelled or nobody takes its tokens.
bool EngineStandIn::generate(const EngineCall &call, const std::function<bool(const std::string &token)> &emit)
{
    const auto uncached = PrefixCache::blocksOf(call.prompt) - call.cachedBlocks;
    const Digest digest = sha256(call.prompt);
    auto due = std::chrono::steady_clock::now() + m_options.firstTokenTime + uncached * m_options.prefillTime;
    for (std::uint64_t i = call.resumeFrom; i < call.tokens; ++i) {
        due += m_options.tokenTime;
        std::this_thread::sleep_until(due);
        while (steadyMillis().count() < m_stalledUntilMs && !m_server.isStopping()) {
            std::this_thread::sleep_for(Millis(10));
        }
        if (isCancelled(call.id) || !emit(tokenOf(digest, i))) {
            return false;
        }
    }
    return true;
}

void EngineStandIn::handleCompletion(const httplib::Request &request, httplib::Response &response)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        response.status = 400;
        return;
    }
    const auto call = std::make_shared<EngineCall>();
    call->id = request.get_header_value("X-Request-Id");
    call->user = body.value("user", "");
    call->priority = request.get_header_value("X-Priority");
    call->prompt = promptOf(body);
    call->tokens = body.value("max_tokens", DefaultTokens);
    call->resumeFrom = std::strtoull(request.get_header_value("X-Resume-From").c_str(), nullptr, 10);
    begin(*call);
    std::string answeredId = m_server.happens(m_crossed) ? "another" : call->id;
    if (m_server.happens(m_duplicate)) {
        const std::lock_guard lock(m_mutex);
        answeredId = m_lastId;
    }
    response.set_header("X-Request-Id", answeredId);
    response.set_header("X-Weights-Digest", toHex(root()));
    if (call->resumeFrom > 0) {
        response.set_header("X-Resume-From", std::to_string(call->resumeFrom));
    }
    if (!m_server.happens(m_gappyEvents)) {
        response.set_header("X-Cached-Bytes", std::to_string(call->cachedBlocks * PrefixCache::BlockBytes));
    }
    if (body.value("stream", false)) {
        answerStream(call, response);
    } else {
        answerWhole(call, response);
    }
}

void EngineStandIn::answerWhole(const std::shared_ptr<EngineCall> &call, httplib::Response &response)
{
    std::string text;
    generate(*call, [&](const std::string &token) {
        text += token;
        return true;
    });
    response.set_content(json{{"choices", {{{"text", text}}}}, {"weights", toHex(root())}}.dump(), "application/json");
    end(*call);
}

void EngineStandIn::answerStream(const std::shared_ptr<EngineCall> &call, httplib::Response &response)
{
    response.set_chunked_content_provider("text/event-stream", [this, call](std::size_t, httplib::DataSink &sink) {
        const bool whole = generate(*call, [&](const std::string &token) {
            const json event{{"choices", {{{"text", token}}}}, {"weights", toHex(root())}};
            const std::string line = "data: " + event.dump() + "\n\n";
            return sink.write(line.data(), line.size());
        });
        if (!whole) {
            return false;
        }
        const std::string marker = "data: [DONE]\n\n";
        sink.write(marker.data(), marker.size());
        sink.done();
        end(*call);
        return true;
    });
}

} // namespace ibislock::standins
