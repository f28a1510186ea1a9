// A stand-in for the platform's store: keyed topics with reads, long polls and snapshots, and a drill after which it
// comes back from a copy that is some seconds old.

#pragma once

#include "http.h"

#include <condition_variable>
#include <map>

namespace review
{

/// A record of a keyed topic; a record without a value drops its key.
struct StoredRecord
{
    std::string key;
    std::optional<std::string> value;
};

/// The records of all topics.
using StoreContent = std::map<std::string, std::vector<StoredRecord>>;

/// The store.
class Store
{
public:
    explicit Store(const std::string &ip);

    std::string address() const;

    /// Appends a record.
    /// @return its offset; -1 if the store is away.
    std::int64_t append(const std::string &topic, const std::string &key, const std::optional<std::string> &value);

    /// Returns a copy of the present content.
    StoreContent copy();

    /// Resets all connections, and each new one until `comeBack`.
    void goAway();

    /// Comes back from a copy. The era rises by one.
    void comeBack(const StoreContent &content);

    /// Returns the number of records of a topic.
    std::int64_t endOf(const std::string &topic);

    bool isAway();

private:
    void answer(const Message &request, Channel &channel);
    std::string snapshot(const std::string &topic, const std::string &after);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreContent m_content;
    std::int64_t m_era = 1;
    bool m_away = false;
    HttpServer m_server;
};

} // namespace review
