#include "callers_api.h"

namespace ibislock::entry
{

namespace
{

using nlohmann::json;
using requests::AnswerEnd;
using requests::Outcome;
using requests::Request;

constexpr std::uint64_t MillisPerSecond = 1000;

json errorBody(const AnswerEnd &end)
{
    return {{"error",
             {{"code", nameOf(requests::OutcomeNames, end.outcome)},
              {"message", end.message},
              {"request_id", hexOf(end.id)}}}};
}

void replyOutcome(httplib::Response &response, const AnswerEnd &end)
{
    replyJson(response, requests::statusOf(end.outcome), errorBody(end));
    if (end.outcome == Outcome::RefusedNotRun) {
        const auto seconds =
            (static_cast<std::uint64_t>(end.retryAfter.count()) + MillisPerSecond - 1) / MillisPerSecond;
        response.set_header("Retry-After", std::to_string(std::max<std::uint64_t>(seconds, 1)));
    }
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
    const auto handler = [this](const httplib::Request &call, httplib::Response &response) {
        service(call, response);
    };
    server.Get("/.*", handler);
    server.Post("/.*", handler);
    server.Put("/.*", handler);
    server.Delete("/.*", handler);
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
    if (!workspace) {
        return;
    }
    const json body = jsonBodyOf(call);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        m_counters.add(Counter::InputsRefused);
        replyError(response, 400, "invalid_argument", "the body must be a JSON object with a text \"model\"");
        return;
    }
    Request request{.workspace = *workspace,
                    .role = body["model"],
                    .method = "POST",
                    .path = call.path,
                    .contentType = "application/json",
                    .body = call.body,
                    .stream = body.contains("stream") && body["stream"] == true,
                    .idempotent = true,
                    .timeLeft = m_options.requestTimeout};
    if (request.stream) {
        answerStream(std::move(request), response);
    } else {
        answerWhole(request, response);
    }
}

void CallersApi::service(const httplib::Request &call, httplib::Response &response)
{
    const auto workspace = workspaceOf(call, response);
    if (!workspace) {
        return;
    }
    for (const auto &[prefix, role] : m_options.routes) {
        if (!call.path.starts_with(prefix)) {
            continue;
        }
        answerWhole({.workspace = *workspace,
                     .role = role,
                     .method = call.method,
                     .path = call.target.empty() ? call.path : call.target,
                     .contentType = call.get_header_value("Content-Type"),
                     .body = call.body,
                     .idempotent = call.method == "GET" || call.method == "HEAD",
                     .timeLeft = m_options.requestTimeout},
                    response);
        return;
    }
    replyError(response, 404, "not_found", "no route leads there");
}

void CallersApi::answerWhole(const Request &request, httplib::Response &response)
{
    std::string body;
    const AnswerEnd end = m_dispatcher.dispatch(request, [&](std::string_view data) {
        body.append(data);
        return true;
    });
    if (end.outcome != Outcome::Answered) {
        replyOutcome(response, end);
        return;
    }
    response.status = end.status;
    response.set_header("X-Request-Id", hexOf(end.id));
    response.set_header("X-Weights-Digest", toHex(end.manifest));
    response.set_content(body, end.contentType);
}

void CallersApi::answerStream(Request request, httplib::Response &response)
{
    // The status goes out before the first part, so a refusal after that point is an event of the stream.
    response.set_chunked_content_provider(
        "text/event-stream", [this, request = std::move(request)](std::size_t, httplib::DataSink &sink) {
            const AnswerEnd end = m_dispatcher.dispatch(
                request, [&](std::string_view data) { return sink.write(data.data(), data.size()); });
            if (end.outcome != Outcome::Answered) {
                const std::string event = "event: error\ndata: " + errorBody(end).dump() + "\n\n";
                sink.write(event.data(), event.size());
            }
            sink.done();
            return true;
        });
}

} // namespace ibislock::entry
