#include "experiments/config_filers.h"

#include "deployment.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis RetryPause{50};
constexpr int CallTimeoutSeconds = 10;

} // namespace

Filers::Filers(FilerOptions options)
    : m_options(std::move(options))
{
}

Filers::~Filers()
{
    finish();
}

void Filers::start()
{
    for (unsigned i = 0; i < m_options.racers; ++i) {
        m_threads.emplace_back([this, i] { race(i); });
    }
}

bool Filers::isDone() const
{
    return m_finished == m_options.racers;
}

std::uint64_t Filers::decided() const
{
    const std::lock_guard lock(m_mutex);
    return m_result.accepted.empty() ? 0 : m_result.accepted.rbegin()->first;
}

FilerResult Filers::finish()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    const std::lock_guard lock(m_mutex);
    return m_result;
}

void Filers::race(unsigned racer)
{
    for (std::uint64_t number = 1; number <= m_options.tickets && !m_stopping; ++number) {
        fileUntilKnown(racer, number, m_options.seed * 1000003 + number * 101 + racer);
        std::this_thread::sleep_for(m_options.pace);
    }
    ++m_finished;
}

void Filers::fileUntilKnown(unsigned racer, std::uint64_t number, std::uint64_t seed)
{
    Random random(seed);
    const std::string ticket = ticketOf(racer, number);
    while (!m_stopping) {
        std::uniform_int_distribution<std::size_t> pick(0, m_options.entries.size() - 1);
        httplib::Client client(m_options.entries[pick(random)]);
        client.set_bearer_token_auth(OperatorCredential);
        client.set_connection_timeout(1);
        client.set_read_timeout(CallTimeoutSeconds);
        const auto result = client.Post("/v1/tickets", ticket, "application/json");
        {
            const std::lock_guard lock(m_mutex);
            if (result && result->status == 200) {
                const json body = json::parse(result->body, nullptr, false);
                m_result.accepted[number].insert(body.value("content", ""));
                return;
            }
            if (result && result->status == 409) {
                ++m_result.refused;
                return;
            }
            ++(result && result->status == 504 ? m_result.unknown : m_result.unavailable);
        }
        std::this_thread::sleep_for(RetryPause);
    }
}

std::string Filers::ticketOf(unsigned racer, std::uint64_t number) const
{
    const std::string version = std::to_string(number) + "-" + std::to_string(racer);
    return json{{"number", number},
                {"scopes",
                 {{{"workspace", "*"},
                   {"role", "forecast"},
                   {"model", "frost"},
                   {"version", version},
                   {"vms", m_options.vms}}}}}
        .dump();
}

} // namespace ibislock::lab
