#include "ibislock/serving/admission.h"

#include <gtest/gtest.h>

namespace ibislock::serving
{

namespace
{

const DomainRegions Regions{{"a", "north"}, {"b", "south"}, {"c", "south"}};

/// The lists of a route and a workspace, and the domains of a, b, c and the unknown one x that they permit.
struct ResidencyCase
{
    std::string name;
    std::vector<std::string> route;
    std::vector<std::string> workspace;
    std::string permitted;
};

class ResidencyTest : public testing::TestWithParam<ResidencyCase>
{
};

// A domain outside the intersection, or of an unknown region, would get a request that must not reach it.
TEST_P(ResidencyTest, ADomainIsPermittedOnlyIfBothListsAllowItsRegion)
{
    const Residency residency{.routeRegions = GetParam().route, .workspaceRegions = GetParam().workspace};
    std::string permitted;
    std::string withoutTable;
    for (const char *domain : {"a", "b", "c", "x"}) {
        permitted += permits(residency, Regions, domain) ? domain : "";
        withoutTable += permits(residency, {}, domain) ? domain : "";
    }
    EXPECT_EQ(permitted, GetParam().permitted);
    EXPECT_EQ(withoutTable, isRestricted(residency) ? "" : "abcx");
}

INSTANTIATE_TEST_SUITE_P(Cases, ResidencyTest,
                         testing::Values(ResidencyCase{"NoLists", {}, {}, "abcx"},
                                         ResidencyCase{"Route", {"north"}, {}, "a"},
                                         ResidencyCase{"Workspace", {}, {"south"}, "bc"},
                                         ResidencyCase{"Both", {"north", "south"}, {"south", "east"}, "bc"},
                                         ResidencyCase{"NothingInCommon", {"north"}, {"south"}, ""},
                                         ResidencyCase{"UnknownRegion", {"east"}, {}, ""}),
                         [](const auto &item) { return item.param.name; });

// A route that was removed while its request waited would have lost its restriction.
TEST(ResidencyOfTest, ARouteOrWorkspaceThatNoLongerExistsKeepsItsLastRestriction)
{
    DesiredState state;
    state.routes.push_back({.name = "r", .allowedRegions = {"north"}});
    state.workspaces.push_back({.name = "w", .allowedRegions = {"south"}});
    const ResidencyKey key{.route = "r", .workspace = "w"};
    Residency residency = residencyOf(state, key, {});
    EXPECT_EQ(residency, (Residency{.routeRegions = {"north"}, .workspaceRegions = {"south"}}));
    state.routes.clear();
    state.workspaces.front().allowedRegions.clear();
    residency = residencyOf(state, key, residency);
    EXPECT_EQ(residency, (Residency{.routeRegions = {"north"}}));
    EXPECT_EQ(residencyOf({}, key, residency), residency);
}

class DomainPlacementTest : public testing::Test
{
protected:
    DomainPlacementTest()
    {
        add("t-a", "a", "10.0.0.1:80");
        add("t-b", "b", "10.0.0.2:80");
    }

    void add(const std::string &id, const std::string &domain, const std::string &address)
    {
        applyEntry(m_table, id, TargetEntry{.id = id, .service = "s", .address = address, .domain = domain, .slots = 6},
                   Millis{0});
    }

    Placement placeIn(const Residency &residency, const std::set<std::string, std::less<>> &evacuated = {})
    {
        return place(m_table,
                     {.service = "s",
                      .domain = "a",
                      .domains = {.residency = &residency, .regions = &Regions, .evacuated = &evacuated}},
                     m_random);
    }

    TargetTable m_table;
    Random m_random{1};
};

TEST_F(DomainPlacementTest, OnlyTargetsInTheRegionsAreChosenHoweverFullTheyAre)
{
    const Residency south{.routeRegions = {"south"}};
    for (int n = 0; n < 20; ++n) {
        const Placement placement = placeIn(south);
        ASSERT_TRUE(placement.target);
        EXPECT_EQ(placement.target->entry.id, "t-b");
        EXPECT_EQ(placement.outsideRegions, 1);
    }
    m_table.targets.at("t-b").inFlight = 100;
    EXPECT_EQ(placeIn(south).reason, PlacementFailure::Full);
    m_table.targets.at("t-b").entry.draining = true;
    EXPECT_EQ(placeIn(south).reason, PlacementFailure::Unavailable) << "listed, but not usable now";
}

TEST_F(DomainPlacementTest, WithoutAListedTargetInTheRegionsTheRequestIsNotPermitted)
{
    EXPECT_EQ(placeIn({.routeRegions = {"east"}}).reason, PlacementFailure::NotPermitted);
    const Placement nothingInCommon = placeIn({.routeRegions = {"north"}, .workspaceRegions = {"south"}});
    EXPECT_EQ(nothingInCommon.reason, PlacementFailure::NotPermitted);
    EXPECT_EQ(admit({}, nothingInCommon), AdmissionDecision::RefuseNotPermitted);
    m_table.targets.clear();
    EXPECT_EQ(placeIn({.routeRegions = {"north"}}).reason, PlacementFailure::Unavailable) << "no listing is known";
}

// A listing that was out of date named an address that a target in another domain had taken over.
TEST_F(DomainPlacementTest, AnAddressThatIsAlsoListedInAClosedDomainIsNotUsed)
{
    add("t-old", "a", "10.0.0.2:80");
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(placeIn({.routeRegions = {"north"}}).target->entry.id, "t-a");
        EXPECT_EQ(placeIn({}, {"b"}).target->entry.id, "t-a");
    }
}

TEST_F(DomainPlacementTest, TargetsInEvacuatedDomainsAreLeftOut)
{
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(placeIn({}, {"a"}).target->entry.id, "t-b");
    }
    const Placement all = placeIn({}, {"a", "b"});
    EXPECT_EQ(all.reason, PlacementFailure::Unavailable);
    EXPECT_EQ(all.evacuated, 2);
    EXPECT_EQ(placeIn({.routeRegions = {"north"}}, {"a"}).reason, PlacementFailure::Unavailable)
        << "refused with a Retry-After, and not sent elsewhere";
}

} // namespace

} // namespace ibislock::serving
