#include "experiments/requests_report.h"

#include "load/load.h"

#include <algorithm>
#include <numeric>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

bool hasStarted(Deployment &deployment, const CallRecord &record)
{
    if (record.kind == CallKind::Service) {
        return std::any_of(deployment.services().begin(), deployment.services().end(),
                           [&](const TargetVm &vm) { return vm.service->runsOf(record.user) > 0; });
    }
    return std::any_of(deployment.targets().begin(), deployment.targets().end(),
                       [&](const TargetVm &vm) { return vm.engine->hasStarted(record.user); });
}

double engineMsOf(Deployment &deployment, const CallRecord &record)
{
    std::chrono::microseconds duration{0};
    for (const TargetVm &vm : deployment.targets()) {
        duration = std::max(duration, vm.engine->durationOf(record.user));
    }
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::uint64_t ranTwice(Deployment &deployment, const std::vector<CallRecord> &records)
{
    return static_cast<std::uint64_t>(std::count_if(records.begin(), records.end(), [&](const CallRecord &record) {
        std::uint64_t runs = 0;
        for (const TargetVm &vm : deployment.services()) {
            runs += vm.service->runsOf(record.user);
        }
        return runs > 1;
    }));
}

} // namespace

double jainIndex(const std::vector<double> &values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    const double squares = std::inner_product(values.begin(), values.end(), values.begin(), 0.0);
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 1;
}

std::vector<double> weightedShares(double capacity, const std::vector<double> &demands,
                                   const std::vector<double> &weights)
{
    std::vector<double> shares(demands.size());
    std::vector<std::size_t> open(demands.size());
    std::iota(open.begin(), open.end(), 0);
    std::sort(open.begin(), open.end(),
              [&](std::size_t a, std::size_t b) { return demands[a] / weights[a] < demands[b] / weights[b]; });
    double weight = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (const std::size_t i : open) {
        shares[i] = std::min(demands[i], capacity * weights[i] / weight);
        capacity -= shares[i];
        weight -= weights[i];
    }
    return shares;
}

std::uint64_t countOf(const std::vector<CallRecord> &records, Verdict verdict)
{
    return static_cast<std::uint64_t>(std::count_if(records.begin(), records.end(),
                                                    [verdict](const CallRecord &it) { return it.verdict == verdict; }));
}

std::vector<double> answeredInTime(const std::vector<CallRecord> &records, std::size_t workspaces, double deadlineMs)
{
    std::vector<double> answered(workspaces);
    for (const CallRecord &record : records) {
        const bool inTime = record.endedMs - record.scheduledMs <= deadlineMs;
        answered[record.workspace] += record.verdict == Verdict::Answered && inTime ? 1 : 0;
    }
    return answered;
}

double fairnessOf(const std::vector<CallRecord> &records, const std::vector<double> &weights, double deadlineMs)
{
    std::vector<double> demands(weights.size());
    for (const CallRecord &record : records) {
        demands[record.workspace] += 1;
    }
    const auto answered = answeredInTime(records, weights.size(), deadlineMs);
    const auto shares = weightedShares(std::accumulate(answered.begin(), answered.end(), 0.0), demands, weights);
    std::vector<double> ratios;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (shares[i] > 0) {
            ratios.push_back(answered[i] / shares[i]);
        }
    }
    return jainIndex(ratios);
}

json describeCalls(const std::vector<CallRecord> &records, Deployment &deployment)
{
    const auto ranAfterNotRun = std::count_if(records.begin(), records.end(), [&](const CallRecord &record) {
        return record.verdict == Verdict::Refused && hasStarted(deployment, record);
    });
    return {{"sent", records.size()},
            {"answered", countOf(records, Verdict::Answered)},
            {"refused", countOf(records, Verdict::Refused)},
            {"failed", countOf(records, Verdict::Failed)},
            {"unknown", countOf(records, Verdict::Unknown)},
            {"wrong_answer", countOf(records, Verdict::Wrong)},
            {"truncated", countOf(records, Verdict::Truncated)},
            {"ran_after_not_run", ranAfterNotRun},
            {"ran_twice", ranTwice(deployment, records)}};
}

json describeTimes(const std::vector<CallRecord> &records, Deployment &deployment)
{
    std::vector<double> firstTokens;
    std::vector<double> gaps;
    std::vector<double> overheads;
    std::vector<double> lags;
    for (const CallRecord &record : records) {
        lags.push_back(std::max(record.sentMs - record.scheduledMs, 0.0));
        if (record.verdict != Verdict::Answered || record.kind == CallKind::Service) {
            continue;
        }
        if (record.kind == CallKind::Stream) {
            firstTokens.push_back(record.firstTokenMs - record.sentMs);
            gaps.insert(gaps.end(), record.gapsMs.begin(), record.gapsMs.end());
        }
        const double engineMs = engineMsOf(deployment, record);
        if (engineMs > 0 && record.attempts == 1) {
            overheads.push_back(record.endedMs - record.sentMs - engineMs);
        }
    }
    return {{"ttft_p50_ms", quantile(firstTokens, 0.5)},    {"ttft_p95_ms", quantile(firstTokens, 0.95)},
            {"itl_p95_ms", quantile(gaps, 0.95)},           {"overhead_p50_ms", quantile(overheads, 0.5)},
            {"overhead_p95_ms", quantile(overheads, 0.95)}, {"send_lag_p95_ms", quantile(lags, 0.95)}};
}

} // namespace ibislock::lab
