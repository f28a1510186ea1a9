// The lines of one request, out of the logs of several processes.
//
//     LogStory story{.id = "9c41"};
//     addLines(story, file);
//     std::cout << tell(story);

#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace ibislock::app
{

/// A line and its time.
struct StoryLine
{
    std::int64_t at = 0; ///< Unix milliseconds.
    std::string text;
};

/// All lines of a request.
struct LogStory
{
    std::string id;
    std::vector<StoryLine> lines;
};

/// Takes the lines of the request from a log. What stands in front of a line's time, as a collector adds it, is kept.
void addLines(LogStory &story, std::istream &log);

/// Writes the lines in the order of their times, and a sentence on each end and on each send that contradicts what was
/// known of the ones before it.
std::string tell(const LogStory &story);

} // namespace ibislock::app
