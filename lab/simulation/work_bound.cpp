#include "simulation/work_bound.h"

#include <algorithm>

namespace ibislock::lab
{

namespace
{

constexpr double MillisInSecond = 1000;

} // namespace

double engineTimeOf(const EngineShape &shape, int promptTokens, int answerTokens)
{
    // In a full batch, each step serves all slots.
    const double step = shape.stepMs
        + shape.slots * (shape.stepMsPerRequest + shape.stepMsPerThousandTokens * promptTokens / MillisInSecond);
    const int steps = (answerTokens + shape.stepsPerPass - 1) / shape.stepsPerPass * shape.stepsPerPass;
    return promptTokens / shape.promptTokensPerMs + steps * step / shape.slots;
}

double workBound(const std::vector<BoundRequest> &requests, const std::vector<double> &engines)
{
    std::vector<std::vector<BoundRequest>> seconds(engines.size());
    for (const BoundRequest &request : requests) {
        const auto second = static_cast<std::size_t>(request.at / MillisInSecond);
        if (second < seconds.size()) {
            seconds[second].push_back(request);
        }
    }
    double worth = 0;
    for (std::size_t n = 0; n < engines.size(); ++n) {
        std::sort(seconds[n].begin(), seconds[n].end(), [](const BoundRequest &a, const BoundRequest &b) {
            return a.worth * b.engineMs > b.worth * a.engineMs;
        });
        double room = engines[n] * MillisInSecond;
        for (const BoundRequest &request : seconds[n]) {
            const double part = std::min(1.0, room / request.engineMs);
            worth += request.worth * part;
            room -= request.engineMs * part;
        }
    }
    return worth;
}

} // namespace ibislock::lab
