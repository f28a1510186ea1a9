#include "deployment.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <regex>

namespace ibislock::lab
{

namespace
{

using nlohmann::json;

constexpr Millis Patience{30000};
constexpr std::uint64_t VersionBytes = 64 << 10;

class StatusPageTest : public testing::Test
{
protected:
    StatusPageTest()
    {
        m_deployment.start();
        const Digest root = m_deployment.store().addVersion("frost", "1", VersionBytes, VersionBytes, 1);
        m_isServing = m_deployment.fileTicket(m_deployment.ticketFor(1, "1", root), Patience)
            && m_deployment.waitUntilServing(root, Patience);
    }

    httplib::Result get(const std::string &path, const std::string &credential = "")
    {
        httplib::Client client(m_deployment.administrationUrls().at(0));
        if (!credential.empty()) {
            client.set_bearer_token_auth(credential);
        }
        return client.Get(path);
    }

    /// Reads the status until the entry VM has heard of the target.
    json status()
    {
        const Millis deadline = steadyMillis() + Patience;
        json body;
        do {
            const auto reply = get("/v1/status", OperatorCredential);
            body = reply ? json::parse(reply->body, nullptr, false) : json();
        } while (!body["vms"]["target1"]["age_ms"].is_number() && steadyMillis() < deadline);
        return body;
    }

    Deployment m_deployment{{.domains = 1, .entriesPerDomain = 1, .targetsPerDomain = 1}};
    bool m_isServing = false;
};

/// Finds the fields that a page reads of an object, such as `member.phase`.
std::set<std::string> fieldsOf(const std::string &page, const std::string &object)
{
    std::set<std::string> fields;
    const std::regex regex("\\b" + object + R"(\.([a-z_]+))");
    for (auto it = std::sregex_iterator(page.begin(), page.end(), regex); it != std::sregex_iterator(); ++it) {
        fields.insert((*it)[1].str());
    }
    return fields;
}

void expectFields(const std::string &page, const std::string &object, const json &value)
{
    const auto fields = fieldsOf(page, object);
    EXPECT_FALSE(fields.empty()) << "the page reads nothing of " << object;
    for (const std::string &field : fields) {
        EXPECT_TRUE(value.contains(field)) << "the status lacks the field " << object << "." << field;
    }
}

TEST_F(StatusPageTest, IsServedWithoutACredentialAndUnderAPolicy)
{
    const auto reply = get("/");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 200);
    EXPECT_EQ(reply->get_header_value("Content-Type"), "text/html; charset=utf-8");
    EXPECT_NE(reply->get_header_value("Content-Security-Policy").find("default-src 'none'"), std::string::npos);
    EXPECT_EQ(reply->body.find(OperatorCredential), std::string::npos);
    EXPECT_EQ(reply->body.find("target1"), std::string::npos) << "the page tells of a VM without a credential";
}

TEST_F(StatusPageTest, ReadsOnlyFieldsThatTheStatusHas)
{
    ASSERT_TRUE(m_isServing);
    const auto reply = get("/");
    ASSERT_TRUE(reply);
    const json body = status();
    expectFields(reply->body, "status", body);
    expectFields(reply->body, "shown", body);
    expectFields(reply->body, "member", body["vms"]["target1"]);
    expectFields(reply->body, "scope", body["scopes"][0]);
}

} // namespace

} // namespace ibislock::lab
