#include "ibislock/stores/log_client.h"

#include <nlohmann/json.hpp>

namespace ibislock::stores
{

namespace
{

using nlohmann::json;

bool isUnsigned(const json &value, const char *name)
{
    return value.is_object() && value.contains(name) && value[name].is_number_unsigned();
}

Result<LogPage> pageFrom(const std::string &text)
{
    const json value = json::parse(text, nullptr, false);
    if (!isUnsigned(value, "first") || !isUnsigned(value, "next") || !value.contains("records")) {
        return failure(ErrorCode::Corrupt, "the log's answer is malformed");
    }
    LogPage page{.first = value["first"], .next = value["next"], .records = {}};
    for (const json &item : value["records"]) {
        if (!isUnsigned(item, "offset") || !item.contains("data") || !item["data"].is_string()) {
            return failure(ErrorCode::Corrupt, "the log's answer is malformed");
        }
        page.records.push_back({.offset = item["offset"], .data = item["data"]});
    }
    return page;
}

} // namespace

LogClient::LogClient(const EndpointOptions &options)
    : m_endpoint(options)
{
}

Result<Offset> LogClient::append(const std::string &data)
{
    const auto body = m_endpoint.post("/log/records", json{{"data", data}}.dump(), "application/json");
    if (!body) {
        return tl::unexpected(body.error());
    }
    const json value = json::parse(*body, nullptr, false);
    if (!isUnsigned(value, "offset")) {
        return failure(ErrorCode::OutcomeUnknown, "the log's answer is malformed");
    }
    return value["offset"].get<Offset>();
}

Result<LogPage> LogClient::read(const ReadOptions &options)
{
    const std::string path = "/log/records?from=" + std::to_string(options.from)
        + "&limit=" + std::to_string(options.limit) + "&wait_ms=" + std::to_string(options.wait.count());
    return m_endpoint.get(path).and_then(pageFrom);
}

void LogClient::stop()
{
    m_endpoint.stop();
}

} // namespace ibislock::stores
