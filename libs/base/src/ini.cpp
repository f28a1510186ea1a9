#include "ibislock/base/ini.h"

#include <cstring>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace ibislock
{

namespace
{

struct Reader
{
    std::string_view rest;
    int line = 0;
    std::vector<IniEntry> entries;
};

char *readLine(char *buf, int size, void *stream)
{
    auto *reader = static_cast<Reader *>(stream);
    if (reader->rest.empty()) {
        return nullptr;
    }
    const auto end = reader->rest.find('\n');
    const auto length = end == std::string_view::npos ? reader->rest.size() : end + 1;
    const auto copied = std::min<std::size_t>(length, static_cast<std::size_t>(size) - 1);
    std::memcpy(buf, reader->rest.data(), copied);
    buf[copied] = '\0';
    reader->rest.remove_prefix(copied);
    reader->line += copied == length ? 1 : 0;
    return buf;
}

int addEntry(void *user, const char *section, const char *name, const char *value)
{
    auto *reader = static_cast<Reader *>(user);
    reader->entries.push_back({section, name, value == nullptr ? "" : value, reader->line});
    return 1;
}

} // namespace

Result<std::vector<IniEntry>> parseIni(std::string_view text)
{
    Reader reader{.rest = text};
    const int line = ini_parse_stream(readLine, &reader, addEntry, &reader);
    if (line != 0) {
        return failure(ErrorCode::InvalidArgument,
                       "line " + std::to_string(line) + " is not a section, entry or comment");
    }
    return reader.entries;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return failure(ErrorCode::NotFound, "can't read " + path);
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    return buf.str();
}

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t\r\n");
    return std::string(text.substr(first, last - first + 1));
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    std::istringstream in{std::string(text)};
    for (std::string item; std::getline(in, item, ',');) {
        std::string clean = trimmed(item);
        if (!clean.empty()) {
            items.push_back(std::move(clean));
        }
    }
    return items;
}

} // namespace ibislock
