#include "ibislock/serving/request_digest.h"

#include <gtest/gtest.h>

#include <set>

namespace ibislock::serving
{

namespace
{

TEST(RequestDigestTest, EachFieldMakesAnotherRequest)
{
    const RequestIdentity base{.method = "POST", .host = "h", .target = "/r/x", .caller = "w", .body = "b"};
    std::set<std::uint64_t> digests{requestDigest(base)};
    RequestIdentity other = base;
    other.method = "GET";
    digests.insert(requestDigest(other));
    other = base;
    other.host = "g";
    digests.insert(requestDigest(other));
    other = base;
    other.target = "/r/y";
    digests.insert(requestDigest(other));
    other = base;
    other.caller = "v";
    digests.insert(requestDigest(other));
    other = base;
    other.body = "";
    digests.insert(requestDigest(other));
    EXPECT_EQ(digests.size(), 6U);
    EXPECT_EQ(requestDigest(base), requestDigest(base));
}

TEST(RequestDigestTest, BytesThatMoveFromOneFieldToTheNextMakeAnotherRequest)
{
    EXPECT_NE(requestDigest({.target = "/r", .caller = "ab", .body = "c"}),
              requestDigest({.target = "/r", .caller = "a", .body = "bc"}));
    EXPECT_NE(requestDigest({.host = "h", .target = "1:/r", .caller = "", .body = ""}),
              requestDigest({.host = "h1:", .target = "/r", .caller = "", .body = ""}));
}

} // namespace

} // namespace ibislock::serving
