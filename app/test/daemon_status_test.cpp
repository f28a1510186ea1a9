#include "daemon_status.h"

#include <gtest/gtest.h>

namespace ibislock::app
{

namespace
{

TEST(DaemonStatusTest, ReadsValuesAndSkipsWhatIsNone)
{
    const Metrics metrics = metricsFrom("# HELP a b\n# TYPE a gauge\na 3\nb{x=\"y z\"} 4\nnonsense\nc x\n");
    EXPECT_EQ(metrics, (Metrics{{"a", 3}, {"b{x=\"y z\"}", 4}}));
}

TEST(DaemonStatusTest, WritesALineForEachDaemon)
{
    const Metrics entry = metricsFrom("ibislock_state_version 7\nibislock_targets 20\nibislock_waiting 1\n"
                                      "ibislock_store_away 1\nibislock_requests_total{outcome=\"answered\"} 90\n"
                                      "ibislock_requests_total{outcome=\"refused_full\"} 3\n"
                                      "ibislock_requests_total{outcome=\"refused_stopping\"} 2\n");
    const Metrics target = metricsFrom("ibislock_weights_version 1\nibislock_weights_wanted_version 2\n"
                                       "ibislock_weights_phase{phase=\"idle\"} 0\n"
                                       "ibislock_weights_phase{phase=\"fetching\"} 1\n"
                                       "ibislock_weights_staged_pieces 12\nibislock_weights_pieces 64\n"
                                       "ibislock_engine_running 16\nibislock_engine_queued 2\n");
    EXPECT_EQ(describeDaemons({{"a:1", entry}, {"b:1", target}, {"c:1", std::nullopt}}),
              "a:1  entry   state 7, targets 20, answered 90, refused 5, waiting 1, the store is away\n"
              "b:1  target  weights 1 of 2, fetching, pieces 12/64, running 16, queued 2\n"
              "c:1  does not answer\n");
}

TEST(DaemonStatusTest, AValueThatIsMissingIsUnknown)
{
    EXPECT_EQ(describeDaemons({{"a:1", Metrics{}}}),
              "a:1  entry   state unknown, targets unknown, answered unknown, refused unknown, waiting unknown\n");
}

} // namespace

} // namespace ibislock::app
