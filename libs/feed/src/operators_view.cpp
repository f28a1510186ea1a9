#include "ibislock/feed/operators_view.h"

#include "ibislock/base/log.h"
#include "ibislock/platform/listings.h"

namespace ibislock::feed
{

namespace
{

bool applyAnnouncement(OperatorsView &view, const platform::KeyedRecord &record, const RecordContext &context)
{
    const auto weights = platform::decodeAnnouncedWeights(*record.value);
    if (!weights) {
        logWarning(LogComponent::Store, "An announcement of weights can't be decoded.",
                   {{"key", record.key}, {"cause", weights.error().message}});
        return false;
    }
    const Millis learntAt = context.now - (context.live ? Millis{0} : context.versionTime);
    const auto time =
        context.live ? serving::AnnouncementTimeSource::Observed : serving::AnnouncementTimeSource::Unknown;
    if (!recordAnnouncement(view.announced[weights->model], weights->version, learntAt, time)) {
        return false;
    }
    logInfo(LogComponent::Store, "New weights were announced.",
            {{"model", weights->model},
             {"version", std::to_string(weights->version)},
             {"time", context.live ? "seen" : "unknown"},
             {"offset", toText(record.position)},
             {"from", context.source.empty() ? "store" : context.source},
             {"max_age_ms", std::to_string(context.maxAge ? context.maxAge->count() : -1)}});
    return true;
}

bool applyState(OperatorsView &view, const platform::KeyedRecord &record, Millis now)
{
    auto decoded = platform::decodeDesiredState(*record.value);
    if (!decoded) {
        logError(LogComponent::Store, "A desired state can't be decoded.", {{"cause", decoded.error().message}});
        return false;
    }
    if (view.state && decoded->version <= view.state->version) {
        return false;
    }
    view.state = std::make_shared<const serving::DesiredState>(std::move(*decoded));
    view.stateReadAt = now;
    logInfo(LogComponent::Store, "A new desired state is in effect.",
            {{"version", std::to_string(view.state->version)},
             {"routes", std::to_string(view.state->routes.size())},
             {"offset", toText(record.position)}});
    return true;
}

bool applyEvacuationRecord(OperatorsView &view, const std::string &domain, const platform::KeyedRecord &record,
                           const RecordContext &context)
{
    const EvacuationChange change = applyEvacuation(
        view.evacuations, {.domain = domain, .position = record.position, .deleted = !record.value}, context.now);
    if (change == EvacuationChange::None) {
        return false;
    }
    logInfo(LogComponent::Store,
            change == EvacuationChange::Begun ? "The evacuation of a failure domain has begun."
                                              : "The evacuation of a failure domain has ended.",
            {{"domain", domain},
             {"evacuated_domains", std::to_string(view.evacuations.active.size())},
             {"time", context.live ? "seen" : "unknown"},
             {"offset", toText(record.position)},
             {"from", context.source.empty() ? "store" : context.source}});
    return true;
}

} // namespace

bool applyRecord(OperatorsView &view, const platform::KeyedRecord &record, const RecordContext &context)
{
    if (const auto domain = platform::evacuatedDomain(record.key)) {
        return applyEvacuationRecord(view, *domain, record, context);
    }
    if (!record.value) {
        return false;
    }
    if (platform::isAnnouncedWeightsKey(record.key)) {
        return applyAnnouncement(view, record, context);
    }
    return record.key == platform::DesiredStateKey && applyState(view, record, context.now);
}

} // namespace ibislock::feed
