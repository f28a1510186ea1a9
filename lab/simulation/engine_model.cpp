#include "simulation/engine_model.h"

#include <algorithm>

namespace ibislock::lab
{

namespace
{

/// Tokens in the unit in which the cost of context is given.
constexpr double ThousandTokens = 1000;

} // namespace

EngineModel::EngineModel(const EngineShape &shape)
    : m_shape(shape)
{
}

bool EngineModel::add(const EngineRequest &request, double now)
{
    if (static_cast<int>(m_waiting.size()) >= m_shape.queue) {
        return false;
    }
    const auto behind = std::find_if(m_waiting.begin(), m_waiting.end(),
                                     [&](const Work &work) { return work.request.priority > request.priority; });
    m_waiting.insert(behind, {.request = request});
    if (!m_passEnd) {
        beginPass(now);
    }
    return true;
}

void EngineModel::drop(std::uint64_t id)
{
    const auto same = [id](const Work &work) {
        return work.request.id == id;
    };
    std::erase_if(m_running, same);
    std::erase_if(m_waiting, same);
}

std::vector<std::uint64_t> EngineModel::clear()
{
    std::vector<std::uint64_t> out;
    for (const Work &work : m_running) {
        out.push_back(work.request.id);
    }
    for (const Work &work : m_waiting) {
        out.push_back(work.request.id);
    }
    m_running.clear();
    m_waiting.clear();
    m_passEnd.reset();
    return out;
}

void EngineModel::setPace(double pace)
{
    m_pace = pace;
}

void EngineModel::setAdmitting(bool admitting, double now)
{
    m_admitting = admitting;
    if (admitting && !m_passEnd) {
        beginPass(now);
    }
}

std::optional<double> EngineModel::passEnd() const
{
    return m_passEnd;
}

int EngineModel::running() const
{
    return static_cast<int>(m_running.size());
}

int EngineModel::queued() const
{
    return static_cast<int>(m_waiting.size());
}

void EngineModel::fillSlots()
{
    while (m_admitting && !m_waiting.empty() && running() < m_shape.slots) {
        m_running.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
}

void EngineModel::beginPass(double now)
{
    fillSlots();
    if (m_running.empty()) {
        m_passEnd.reset();
        return;
    }
    int room = m_shape.chunkTokens;
    double contextTokens = 0;
    int writers = 0;
    double time = 0;
    for (Work &work : m_running) {
        const int tokens = std::min(room, work.request.promptTokens - work.read);
        work.read += tokens;
        room -= tokens;
        time += tokens / m_shape.promptTokensPerMs;
        if (work.read == work.request.promptTokens) {
            ++writers;
            contextTokens += work.request.promptTokens + work.written;
        }
    }
    if (writers > 0) {
        const double step = m_shape.stepMs + m_shape.stepMsPerRequest * writers
            + m_shape.stepMsPerThousandTokens * contextTokens / ThousandTokens;
        time += step * m_shape.stepsPerPass;
    }
    m_passEnd = now + time * m_pace;
}

std::vector<EngineEvent> EngineModel::finishPass()
{
    const double now = *m_passEnd;
    std::vector<EngineEvent> out;
    for (Work &work : m_running) {
        if (work.read < work.request.promptTokens) {
            continue;
        }
        work.written += m_shape.stepsPerPass;
        out.push_back({.id = work.request.id, .last = work.written >= work.request.answerTokens});
    }
    std::erase_if(m_running, [](const Work &work) {
        return work.read == work.request.promptTokens && work.written >= work.request.answerTokens;
    });
    beginPass(now);
    return out;
}

} // namespace ibislock::lab
