#include "log_story.h"

#include "ibislock/front/call_outcome.h"
#include "ibislock/http/message.h"

#include <algorithm>
#include <sstream>

namespace ibislock::app
{

namespace
{

/// Digits of a time in Unix milliseconds, from 2001 to 2286.
constexpr std::size_t TimeDigits = 13;

/// Finds the time of a line: its first word that is a number of 13 digits.
std::int64_t timeOf(const std::string &line)
{
    std::istringstream words(line);
    std::string word;
    while (words >> word) {
        if (word.size() == TimeDigits) {
            if (const auto value = http::wholeNumber(word)) {
                return static_cast<std::int64_t>(*value);
            }
        }
    }
    return 0;
}

/// Finds the value of a field of a line; empty if it has none.
std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::size_t at = line.find(" " + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    return line.substr(begin, line.find(' ', begin) - begin);
}

} // namespace

void addLines(LogStory &story, std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        if (fieldOf(line, "id") == story.id) {
            story.lines.push_back({.at = timeOf(line), .text = line});
        }
    }
}

std::string tell(const LogStory &story)
{
    if (story.lines.empty()) {
        return "No line has this id. The request may have been answered by another VM, or its line was left out at a "
               "high "
               "rate (look for \"Lines were left out\").\n";
    }
    std::vector<StoryLine> lines = story.lines;
    std::stable_sort(lines.begin(), lines.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    std::string out;
    for (const StoryLine &line : lines) {
        out += line.text + "\n";
    }
    for (const StoryLine &line : lines) {
        const auto outcome = valueOf(front::CallOutcomeNames, fieldOf(line.text, "outcome"));
        if (outcome) {
            out.append("=> ").append(front::explanationOf(*outcome)).append("\n");
        }
    }
    return out;
}

} // namespace ibislock::app
