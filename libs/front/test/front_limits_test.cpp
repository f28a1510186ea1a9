#include "front_fixture.h"

#include <algorithm>

namespace ibislock::front
{

namespace
{

/// Calls of which a target that takes one request a second may get 11 within 4 s.
constexpr int ManyCalls = 40;

class FrontLimitsTest : public FrontTest
{
protected:
    /// Makes many calls one after the other, which takes less than 4 s.
    /// @return the statuses of the responses.
    std::vector<int> callOften(const std::string &path)
    {
        std::vector<int> out;
        for (int n = 0; n < ManyCalls; ++n) {
            out.push_back(call(request(path)).status);
        }
        return out;
    }
};

TEST_F(FrontLimitsTest, ATargetThatNamesALimitGetsNoMoreThanThat)
{
    m_first.said.add("Server-Limit", "1");
    list(m_first);
    list(m_second);
    start();
    const std::vector<int> statuses = callOften("/often/x");
    EXPECT_LE(m_first.requests.size(), 11U);
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200), ManyCalls);
}

} // namespace

} // namespace ibislock::front
