// The platform's append-only log.
//
//     LogClient log({.url = "http://127.0.0.1:9000"});
//     Result<Offset> appended = log.append(data);
//     Result<LogPage> page = log.read({.from = 0, .limit = 100, .wait = Millis(1000)});

#pragma once

#include "ibislock/configuration/record.h"
#include "ibislock/stores/http_endpoint.h"

#include <vector>

namespace ibislock::stores
{

using configuration::Offset;

/// One record as the log holds it.
struct LogRecord
{
    Offset offset = 0;
    std::string data;
};

/// A run of records.
struct LogPage
{
    Offset first = 0; ///< The oldest offset that the log still holds.
    Offset next = 0; ///< The offset that the next append will get.
    std::vector<LogRecord> records;
};

/// What to read.
struct ReadOptions
{
    Offset from = 0;
    std::uint32_t limit = 256;
    Millis wait{0}; ///< How long the log may hold the answer back while there is nothing new.
};

/// A connection to the log. Not safe for use from several threads at once.
class LogClient
{
public:
    explicit LogClient(const EndpointOptions &options);

    /// Appends a record.
    /// @return the record's offset; OutcomeUnknown when it may or may not have been appended.
    Result<Offset> append(const std::string &data);

    /// Reads records. A `from` before the oldest one kept starts there.
    Result<LogPage> read(const ReadOptions &options);

    /// Makes a call in progress fail, from any thread.
    void stop();

private:
    HttpEndpoint m_endpoint;
};

} // namespace ibislock::stores
