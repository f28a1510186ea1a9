#include "load/caller.h"

#include "ibislock/standins/engine_stand_in.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr std::string_view DataPrefix = "data: ";
constexpr int ReadTimeoutSeconds = 40;
constexpr int ConnectTimeoutSeconds = 2;
constexpr std::uint32_t ServiceAttempts = 4;

Verdict verdictOfError(const std::string &body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("error")) {
        return Verdict::Unknown;
    }
    const std::string code = value["error"].value("code", "");
    if (code == "refused_not_run") {
        return Verdict::Refused;
    }
    return code == "failed_after_start" ? Verdict::Failed : Verdict::Unknown;
}

Verdict verdictOfStream(const std::string &body, const std::string &expected)
{
    std::string text;
    std::set<std::string> weights;
    std::istringstream in(body);
    for (std::string line; std::getline(in, line);) {
        if (!line.starts_with(DataPrefix)) {
            continue;
        }
        const std::string data = line.substr(DataPrefix.size());
        if (data == "[DONE]") {
            const bool mixed = weights.size() != 1 || weights.contains("");
            if (mixed || text != expected) {
                return expected.starts_with(text) && !mixed ? Verdict::Truncated : Verdict::Wrong;
            }
            return Verdict::Answered;
        }
        const json event = json::parse(data, nullptr, false);
        if (event.is_object() && event.contains("error")) {
            return expected.starts_with(text) ? verdictOfError(data) : Verdict::Wrong;
        }
        if (event.is_object() && event.contains("choices")) {
            text += event["choices"][0].value("text", "");
            weights.insert(event.value("weights", ""));
        }
    }
    return expected.starts_with(text) ? Verdict::Truncated : Verdict::Wrong;
}

Verdict verdictOfWhole(const std::string &body, const std::string &weights, const std::string &expected)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("choices") || value["choices"][0].value("text", "") != expected) {
        return Verdict::Wrong;
    }
    return value.value("weights", "") == weights ? Verdict::Answered : Verdict::Wrong;
}

} // namespace

double nowMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

Caller::Caller(const Balancer &balancer, std::size_t number)
    : m_balancer(balancer)
    , m_number(number)
{
}

Caller::~Caller() = default;

CallRecord Caller::send(const Call &call)
{
    CallRecord record{.kind = call.kind, .user = call.user, .sentMs = nowMs()};
    if (call.kind == CallKind::Service) {
        callService(call, record);
    } else {
        complete(call, record);
    }
    record.endedMs = nowMs();
    return record;
}

httplib::Client &Caller::client(const std::string &credential, CallRecord &record)
{
    record.entry = m_balancer.pick(m_number);
    auto &client = m_clients[record.entry];
    if (!client) {
        client = std::make_unique<httplib::Client>(record.entry);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(ConnectTimeoutSeconds);
        client->set_read_timeout(ReadTimeoutSeconds);
    }
    client->set_bearer_token_auth(credential);
    return *client;
}

Caller::Reply Caller::exchange(const Call &call, const std::string &path, const std::string &body, CallRecord &record,
                               const std::string &key)
{
    Reply reply;
    double lastTokenMs = 0;
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.headers = {{"Content-Type", "application/json"}, {"X-Priority", call.priority}};
    if (!key.empty()) {
        request.headers.emplace("Idempotency-Key", key);
    }
    request.content_receiver = [&](const char *data, std::size_t n, std::uint64_t, std::uint64_t) {
        const double now = nowMs();
        if (lastTokenMs == 0) {
            record.firstTokenMs = now;
        } else {
            record.gapsMs.push_back(now - lastTokenMs);
        }
        lastTokenMs = now;
        reply.body.append(data, n);
        return true;
    };
    const auto result = client(call.credential, record).send(request);
    record.noAnswer = !result;
    if (result) {
        reply.status = result->status;
        reply.weights = result->get_header_value("X-Weights-Digest");
    }
    return reply;
}

void Caller::complete(const Call &call, CallRecord &record)
{
    const bool stream = call.kind == CallKind::Stream;
    const json body{{"model", "forecast"},
                    {"prompt", call.prompt},
                    {"max_tokens", call.tokens},
                    {"stream", stream},
                    {"user", call.user}};
    const Reply reply = exchange(call, "/v1/completions", body.dump(), record);
    const std::string expected = standins::expectedText(call.prompt, call.tokens);
    if (reply.status == 0) {
        record.verdict = Verdict::Unknown;
    } else if (reply.status != 200) {
        record.verdict = verdictOfError(reply.body);
    } else {
        record.verdict =
            stream ? verdictOfStream(reply.body, expected) : verdictOfWhole(reply.body, reply.weights, expected);
    }
}

void Caller::callService(const Call &call, CallRecord &record)
{
    std::string key;
    if (call.hasKey) {
        const Reply minted = exchange(call, "/v1/keys", R"({"path": "/desk/readings"})", record);
        const json value = json::parse(minted.body, nullptr, false);
        if (minted.status != 200 || !value.is_object()) {
            // Nothing has been sent to the service yet.
            record.verdict = Verdict::Refused;
            return;
        }
        key = value.value("key", "");
    }
    for (record.attempts = 1;; ++record.attempts) {
        const Reply reply = exchange(call, "/desk/readings", call.user, record, key);
        const json value = json::parse(reply.body, nullptr, false);
        if (reply.status == 200) {
            const bool own = value.is_object() && value.value("body", "") == call.user;
            record.verdict = own ? Verdict::Answered : Verdict::Wrong;
        } else {
            record.verdict = reply.status == 0 ? Verdict::Unknown : verdictOfError(reply.body);
        }
        if (!call.hasKey || record.verdict != Verdict::Unknown || record.attempts == ServiceAttempts) {
            return;
        }
        // The same key through another entry VM: it either finds the answer or does not run the call again.
        ++m_number;
        std::this_thread::sleep_for(Millis(50));
    }
}

} // namespace ibislock::lab
