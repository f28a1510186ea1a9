#include "report/report_command.h"

#include "report/markdown.h"
#include "report/svg.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace ibislock::lab
{

namespace
{

bool writeFile(const std::string &path, const std::string &content)
{
    std::ofstream out(path);
    out << content;
    out.close();
    if (!out) {
        std::cerr << "can't write " << path << "\n";
    }
    return !out.fail();
}

std::string textOption(const cxxopts::ParseResult &parsed, const char *name)
{
    return parsed.count(name) == 0 ? "" : parsed[name].as<std::string>();
}

} // namespace

int runReport(int argc, char **argv)
{
    cxxopts::Options options("ibislock-lab report", "Turns experiments' JSON lines into a plot and a table.");
    auto add = options.add_options();
    add("files", "files with one JSON object a line", cxxopts::value<std::vector<std::string>>());
    add("x,x-field", "field of the x axis; dots reach into objects", cxxopts::value<std::string>());
    add("y,y-field", "field of the y axis", cxxopts::value<std::string>());
    add("series", "field that tells series apart", cxxopts::value<std::string>());
    add("title", "title of the plot", cxxopts::value<std::string>());
    add("log-x", "logarithmic x axis");
    add("log-y", "logarithmic y axis");
    add("svg", "where the plot goes", cxxopts::value<std::string>());
    add("markdown", "where the table goes; else standard output", cxxopts::value<std::string>());
    add("help", "print this help");
    options.parse_positional({"files"});
    options.positional_help("FILE...");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("files") == 0 || parsed.count("x") == 0 || parsed.count("y") == 0) {
        std::cout << options.help() << "\n";
        return parsed.count("help") != 0 ? 0 : 2;
    }
    const auto chart = readChart(parsed["files"].as<std::vector<std::string>>(),
                                 {.x = parsed["x"].as<std::string>(),
                                  .y = parsed["y"].as<std::string>(),
                                  .series = textOption(parsed, "series")});
    if (!chart) {
        std::cerr << chart.error().message << "\n";
        return 1;
    }
    if (chart->skippedLines > 0) {
        std::cerr << chart->skippedLines << " lines lack a field and are left out\n";
    }
    const std::string markdown = markdownOf(*chart);
    const std::string markdownFile = textOption(parsed, "markdown");
    if (markdownFile.empty()) {
        std::cout << markdown;
    } else if (!writeFile(markdownFile, markdown)) {
        return 1;
    }
    const std::string svgFile = textOption(parsed, "svg");
    const SvgOptions svgOptions{
        .title = textOption(parsed, "title"), .logX = parsed.count("log-x") != 0, .logY = parsed.count("log-y") != 0};
    return svgFile.empty() || writeFile(svgFile, svgOf(*chart, svgOptions)) ? 0 : 1;
}

} // namespace ibislock::lab
