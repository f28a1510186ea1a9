#include "log_story.h"

#include "ibislock/front/call_outcome.h"
#include "ibislock/http/message.h"
#include "ibislock/net/http_client.h"
#include "ibislock/serving/desired_state.h"

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
            if (const auto value = http::parseUnsigned(word)) {
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

/// Whether a line is the end of a send after which the target may have run the request. An answer that came in whole
/// with a status says itself what the target did.
bool mayHaveRun(const std::string &line)
{
    const bool answered = fieldOf(line, "end") == nameOf(net::ExchangeOutcomeNames, net::ExchangeOutcome::Complete)
        && fieldOf(line, "status") != "0";
    return fieldOf(line, "connected") == "1" && !answered;
}

/// Writes a sentence on each send that contradicts what was known: what explains a request that ran twice.
void tellContradictions(std::string &out, const std::vector<StoryLine> &lines)
{
    bool sent = false;
    for (const StoryLine &line : lines) {
        const std::string &text = line.text;
        if (text.find("A request attempt failed.") != std::string::npos) {
            sent = sent || mayHaveRun(text);
            if (mayHaveRun(text)
                && fieldOf(text, "end") == nameOf(net::ExchangeOutcomeNames, net::ExchangeOutcome::NotConnected)) {
                out.append("=> A send to ").append(fieldOf(text, "target"));
                out += " ended as not connected although its connection had come about: it may have run. Report it, "
                       "with the lines \"The event loop stalled.\" of its VM.\n";
            }
        } else if (text.find("Retrying a request.") != std::string::npos) {
            const bool once =
                fieldOf(text, "kind") == nameOf(serving::RequestKindNames, serving::RequestKind::NonIdempotent);
            if (once && (sent || fieldOf(text, "known") != "unsent")) {
                out.append("=> A request that must run once was sent again, to ").append(fieldOf(text, "target"));
                out += ", after a send that may have run. Report it.\n";
            }
        }
    }
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
    tellContradictions(out, lines);
    return out;
}

} // namespace ibislock::app
