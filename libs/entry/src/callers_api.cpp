#include "callers_api.h"

#include "ibislock/requests/idempotency_key.h"

namespace ibislock::entry
{

namespace
{

using nlohmann::json;
using requests::Outcome;
using requests::Request;
using requests::ResponseEnd;

constexpr std::uint16_t HttpOk = 200;
constexpr std::uint64_t MillisPerSecond = 1000;
constexpr std::uint64_t DefaultTokens = 16;
constexpr std::uint64_t PromptBytesPerToken = 64;
constexpr std::uint64_t CostMax = 1 << 20;
constexpr const char *KeysPath = "/v1/keys";

json errorBody(const ResponseEnd &end)
{
    json error{{"code", nameOf(requests::OutcomeNames, end.outcome)},
               {"message", end.message},
               {"request_id", hexOf(end.id)},
               {"not_run", end.outcome == Outcome::RefusedNotRun}};
    if (end.outcome == Outcome::RefusedNotRun) {
        error["reason"] = nameOf(requests::RefusalNames, end.refusal);
        error["retry_after_ms"] = end.retryAfter.count();
    }
    return {{"error", std::move(error)}};
}

void replyOutcome(httplib::Response &response, const ResponseEnd &end)
{
    replyJson(response, requests::httpStatusOf(end.outcome), errorBody(end));
    if (end.outcome == Outcome::RefusedNotRun) {
        const auto seconds =
            (static_cast<std::uint64_t>(end.retryAfter.count()) + MillisPerSecond - 1) / MillisPerSecond;
        response.set_header("Retry-After", std::to_string(std::max<std::uint64_t>(seconds, 1)));
    }
}

std::string promptOf(const json &body)
{
    if (body.contains("prompt") && body["prompt"].is_string()) {
        return body["prompt"];
    }
    return body.contains("messages") ? body["messages"].dump() : "";
}

/// Estimates the work of a completion: the tokens that it may generate, and those of its prompt at a lower rate.
std::uint32_t costOf(const json &body, const std::string &prompt)
{
    const bool hasMax = body.contains("max_tokens") && body["max_tokens"].is_number_unsigned();
    const std::uint64_t generated = hasMax ? body["max_tokens"].get<std::uint64_t>() : DefaultTokens;
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(generated + prompt.size() / PromptBytesPerToken, CostMax));
}

requests::Priority priorityOf(const httplib::Request &call)
{
    return valueOf(requests::PriorityNames, call.get_header_value("X-Priority")).value_or(requests::Priority::Normal);
}

} // namespace

CallersApi::CallersApi(const EntryOptions &options, const security::CredentialStore &credentials,
                       Dispatcher &dispatcher, Counters &counters)
    : m_options(options)
    , m_credentials(credentials)
    , m_dispatcher(dispatcher)
    , m_counters(counters)
{
}

void CallersApi::addRoutes(httplib::Server &server)
{
    for (const char *path : {"/v1/completions", "/v1/chat/completions"}) {
        server.Post(path,
                    [this](const httplib::Request &call, httplib::Response &response) { completion(call, response); });
    }
    server.Post(KeysPath,
                [this](const httplib::Request &call, httplib::Response &response) { mintKey(call, response); });
    const auto handler = [this](const httplib::Request &call, httplib::Response &response) {
        service(call, response);
    };
    server.Get("/.*", handler);
    server.Post("/.*", handler);
    server.Put("/.*", handler);
    server.Delete("/.*", handler);
}

void CallersApi::leave()
{
    m_leaving = true;
}

void CallersApi::breakOff()
{
    m_broken = true;
}

bool CallersApi::isLeaving(httplib::Response &response, const std::string &key) const
{
    if (!m_leaving) {
        return false;
    }
    // An earlier call with the key may have run.
    replyOutcome(response,
                 {.outcome = key.empty() ? Outcome::RefusedNotRun : Outcome::Unknown,
                  .message = "this entry VM is leaving",
                  .retryAfter = m_options.retryAfter,
                  .refusal = requests::Refusal::Draining});
    response.set_header("Connection", "close");
    return true;
}

std::optional<std::string> CallersApi::workspaceOf(const httplib::Request &call, httplib::Response &response)
{
    const auto key = bearerOf(call);
    auto workspace = key ? security::findCaller(*m_credentials.current(), *key) : std::nullopt;
    if (!workspace) {
        m_counters.add(Counter::CredentialsRefused);
        replyError(response, 401, "denied", "the credential is missing or not valid");
    }
    return workspace;
}

void CallersApi::completion(const httplib::Request &call, httplib::Response &response)
{
    const auto workspace = workspaceOf(call, response);
    if (!workspace || isLeaving(response)) {
        return;
    }
    const json body = jsonBodyOf(call);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        m_counters.add(Counter::InputsRefused);
        replyError(response, 400, "invalid_argument", "the body must be a JSON object with a text \"model\"");
        return;
    }
    const std::string prompt = promptOf(body);
    Request request{.workspace = *workspace,
                    .role = body["model"],
                    .method = "POST",
                    .path = call.path,
                    .contentType = "application/json",
                    .body = call.body,
                    .stream = body.contains("stream") && body["stream"] == true,
                    .idempotent = true,
                    .timeLeft = m_options.requestTimeout,
                    .priority = priorityOf(call),
                    .cost = costOf(body, prompt)};
    auto prefix = requests::prefixBlocks(request.role, prompt);
    const bool stream = request.stream;
    const auto session = std::make_shared<RequestSession>(m_dispatcher, std::move(request), std::move(prefix));
    if (stream) {
        answerStream(session, response);
    } else {
        answerWhole(*session, response);
    }
    dropIfBroken(response);
}

void CallersApi::dropIfBroken(httplib::Response &response) const
{
    if (m_broken) {
        response = httplib::Response();
        response.status = HttpOk;
        response.set_content_provider(1, "text/plain",
                                      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    }
}

const std::string *CallersApi::roleOf(const std::string &path) const
{
    for (const auto &[prefix, role] : m_options.routes) {
        if (path.starts_with(prefix)) {
            return &role;
        }
    }
    return nullptr;
}

void CallersApi::service(const httplib::Request &call, httplib::Response &response)
{
    const auto workspace = workspaceOf(call, response);
    const std::string key = call.get_header_value("Idempotency-Key");
    if (!workspace || isLeaving(response, key)) {
        return;
    }
    const std::string *role = roleOf(call.path);
    if (role == nullptr) {
        replyError(response, 404, "not_found", "no route leads there");
        return;
    }
    if (!key.empty() && !requests::parseIdempotencyKey(key)) {
        replyError(response, 400, "invalid_argument", "the key was not minted here; POST /v1/keys mints one");
        return;
    }
    RequestSession session(m_dispatcher,
                           {.workspace = *workspace,
                            .role = *role,
                            .method = call.method,
                            .path = call.target.empty() ? call.path : call.target,
                            .contentType = call.get_header_value("Content-Type"),
                            .body = call.body,
                            .idempotent = call.method == "GET" || call.method == "HEAD",
                            .timeLeft = m_options.requestTimeout,
                            .priority = priorityOf(call),
                            .idempotencyKey = key},
                           {});
    answerWhole(session, response);
    dropIfBroken(response);
}

void CallersApi::mintKey(const httplib::Request &call, httplib::Response &response)
{
    const auto workspace = workspaceOf(call, response);
    if (!workspace || isLeaving(response)) {
        return;
    }
    const json body = json::parse(call.body, nullptr, false);
    if (!body.is_object() || !body.contains("path") || !body["path"].is_string()) {
        replyError(response, 400, "invalid_argument", "the body must be a JSON object with a text \"path\"");
        return;
    }
    const std::string *role = roleOf(body["path"]);
    if (role == nullptr) {
        replyError(response, 404, "not_found", "no route leads there");
        return;
    }
    const auto key = m_dispatcher.mintKey(*workspace, *role);
    if (!key) {
        replyOutcome(response,
                     {.outcome = Outcome::RefusedNotRun,
                      .message = "no target serves this role now",
                      .retryAfter = m_options.retryAfter,
                      .refusal = requests::Refusal::NotServing});
        return;
    }
    replyJson(response, 200, {{"key", *key}});
}

void CallersApi::answerWhole(RequestSession &session, httplib::Response &response)
{
    std::string body;
    for (;;) {
        SessionEvent event = session.next();
        if (const auto *part = std::get_if<std::string>(&event)) {
            body.append(*part);
            continue;
        }
        const auto &end = std::get<ResponseEnd>(event);
        if (end.outcome != Outcome::Answered) {
            replyOutcome(response, end);
            return;
        }
        response.status = end.status;
        response.set_header("X-Request-Id", hexOf(end.id));
        response.set_header("X-Weights-Digest", toHex(end.manifest));
        response.set_content(body, end.contentType);
        return;
    }
}

void CallersApi::answerStream(const std::shared_ptr<RequestSession> &session, httplib::Response &response)
{
    // The status is sent once the first part is there, so that a refusal has a status of its own.
    SessionEvent first = session->next();
    const auto *end = std::get_if<ResponseEnd>(&first);
    if (end != nullptr && end->outcome != Outcome::Answered) {
        replyOutcome(response, *end);
        return;
    }
    if (end != nullptr && end->status != HttpOk) {
        response.status = end->status;
        response.set_content(end->message, end->contentType);
        return;
    }
    response.set_chunked_content_provider(
        "text/event-stream", [this, session, first = std::move(first)](std::size_t, httplib::DataSink &sink) {
            SessionEvent event = first;
            while (const auto *part = std::get_if<std::string>(&event)) {
                if (!sink.write(part->data(), part->size())) {
                    session->cancel();
                    return false;
                }
                event = session->next();
            }
            if (m_broken) {
                return false;
            }
            const auto &last = std::get<ResponseEnd>(event);
            if (last.outcome != Outcome::Answered) {
                const std::string text = "event: error\ndata: " + errorBody(last).dump() + "\n\n";
                sink.write(text.data(), text.size());
            }
            sink.done();
            return true;
        });
}

} // namespace ibislock::entry
