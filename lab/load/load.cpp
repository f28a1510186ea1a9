#include "load/load.h"

#include "ibislock/base/random.h"
#include "ibislock/standins/engine_stand_in.h"

#include <algorithm>
#include <cmath>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <set>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr std::string_view DataPrefix = "data: ";
constexpr int ReadTimeoutSeconds = 40;

enum class Verdict { Answered, Refused, Failed, Unknown, Unreachable, Wrong };

/// What a stream of events says.
struct StreamContent
{
    std::string text;
    std::set<std::string> weights;
    bool done = false;
    std::string errorCode;
};

StreamContent readStream(const std::string &body)
{
    StreamContent content;
    std::istringstream in(body);
    for (std::string line; std::getline(in, line);) {
        if (!line.starts_with(DataPrefix)) {
            continue;
        }
        const std::string data = line.substr(DataPrefix.size());
        if (data == "[DONE]") {
            content.done = true;
            continue;
        }
        const json event = json::parse(data, nullptr, false);
        if (event.contains("error")) {
            content.errorCode = event["error"].value("code", "");
        } else if (event.contains("choices")) {
            content.text += event["choices"][0].value("text", "");
            content.weights.insert(event.value("weights", ""));
        }
    }
    return content;
}

Verdict verdictOf(const std::string &code)
{
    if (code == "refused_not_run") {
        return Verdict::Refused;
    }
    return code == "failed_after_start" ? Verdict::Failed : Verdict::Unknown;
}

Verdict judgeStream(const std::string &body, const std::string &expected)
{
    const StreamContent content = readStream(body);
    if (!content.errorCode.empty()) {
        return expected.starts_with(content.text) ? verdictOf(content.errorCode) : Verdict::Wrong;
    }
    const bool mixed = content.weights.size() > 1 || content.weights.contains("");
    return content.done && !mixed && content.text == expected ? Verdict::Answered : Verdict::Wrong;
}

Verdict judgeWhole(const httplib::Response &response, const std::string &expected)
{
    const json body = json::parse(response.body, nullptr, false);
    if (response.status != 200) {
        const bool told = body.is_object() && body.contains("error");
        return told ? verdictOf(body["error"].value("code", "")) : Verdict::Unknown;
    }
    if (!body.contains("choices") || body["choices"][0].value("text", "") != expected) {
        return Verdict::Wrong;
    }
    const bool mixed = body.value("weights", "") != response.get_header_value("X-Weights-Digest");
    return mixed ? Verdict::Wrong : Verdict::Answered;
}

} // namespace

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::lround(q * static_cast<double>(values.size() - 1)));
    return values[index];
}

Load::Load(LoadOptions options)
    : m_options(std::move(options))
{
}

Load::~Load()
{
    finish();
}

void Load::start()
{
    for (unsigned i = 0; i < m_options.callers; ++i) {
        m_threads.emplace_back([this, i] { call(i); });
    }
}

LoadResult Load::finish()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return snapshot();
}

LoadResult Load::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_result;
}

void Load::call(unsigned caller)
{
    Random random(m_options.seed * 1000 + caller);
    for (std::uint64_t n = 0; !m_stopping; ++n) {
        const std::string &entry = m_options.entries[random() % m_options.entries.size()];
        httplib::Client client(entry);
        client.set_bearer_token_auth(m_options.credential);
        client.set_read_timeout(ReadTimeoutSeconds);
        const std::string prompt = "caller " + std::to_string(caller) + " call " + std::to_string(n);
        const bool stream = caller % 2 == 1;
        const json body{
            {"model", m_options.role}, {"prompt", prompt}, {"max_tokens", m_options.tokens}, {"stream", stream}};
        const std::string expected = standins::expectedText(prompt, m_options.tokens);
        const Millis begin = steadyMillis();
        const auto result = client.Post("/v1/completions", body.dump(), "application/json");
        Verdict verdict = Verdict::Unknown;
        if (result) {
            const bool isStream = result->status == 200 && stream;
            verdict = isStream ? judgeStream(result->body, expected) : judgeWhole(*result, expected);
        } else if (result.error() == httplib::Error::Connection) {
            verdict = Verdict::Unreachable;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_result.sent;
            m_result.answered += verdict == Verdict::Answered ? 1 : 0;
            m_result.refused += verdict == Verdict::Refused ? 1 : 0;
            m_result.failed += verdict == Verdict::Failed ? 1 : 0;
            m_result.unknown += verdict == Verdict::Unknown ? 1 : 0;
            m_result.unreachable += verdict == Verdict::Unreachable ? 1 : 0;
            m_result.wrong += verdict == Verdict::Wrong ? 1 : 0;
            if (verdict == Verdict::Refused) {
                m_result.refusedPrompts.push_back(prompt);
            }
            if (verdict == Verdict::Answered) {
                m_result.latenciesMs.push_back(static_cast<double>((steadyMillis() - begin).count()));
            }
        }
        std::this_thread::sleep_for(m_options.pause);
    }
}

} // namespace ibislock::lab
