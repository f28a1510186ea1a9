#include "report/svg.h"

#include "report/axis.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>
#include <string_view>

namespace ibislock::lab
{

namespace
{

// Sizes in pixels.
constexpr double Width = 760;
constexpr double Height = 420;
constexpr double Left = 80;
constexpr double Right = 20;
constexpr double Top = 50;
constexpr double Bottom = 60;
constexpr double LegendRow = 18;
constexpr double MarkRadius = 3;
constexpr double TickGap = 8;
constexpr double TextHalf = 4;

constexpr std::array<std::string_view, 8> Colours{"#0b62a4", "#c8501e", "#2e7d32", "#7b3fa0",
                                                  "#b8860b", "#00838f", "#ad1457", "#455a64"};

std::string escaped(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

/// The drawing area of a chart.
struct Frame
{
    Axis x;
    Axis y;

    double left(double value) const
    {
        return Left + positionOf(x, value) * (Width - Left - Right);
    }

    double top(double value) const
    {
        return Height - Bottom - positionOf(y, value) * (Height - Top - Bottom);
    }
};

Axis categoryAxis(std::size_t count)
{
    Axis axis{.low = -0.5, .high = static_cast<double>(count) - 0.5}; // half a place beyond the first and the last
    for (std::size_t i = 0; i < count; ++i) {
        axis.ticks.push_back(static_cast<double>(i));
    }
    return axis;
}

Frame frameOf(const Chart &chart, const SvgOptions &options)
{
    double xLow = std::numeric_limits<double>::max();
    double xHigh = std::numeric_limits<double>::lowest();
    double yLow = xLow;
    double yHigh = xHigh;
    for (const auto &[name, samples] : chart.series) {
        for (const Sample &sample : samples) {
            xLow = std::min(xLow, sample.x);
            xHigh = std::max(xHigh, sample.x);
            yLow = std::min(yLow, sample.low);
            yHigh = std::max(yHigh, sample.high);
        }
    }
    const auto kindOf = [](bool log) {
        return log ? ScaleKind::Logarithmic : ScaleKind::Linear;
    };
    return {.x = chart.categories.empty() ? makeAxis(xLow, xHigh, kindOf(options.logX))
                                          : categoryAxis(chart.categories.size()),
            .y = makeAxis(yLow, yHigh, kindOf(options.logY))};
}

void line(std::ostream &out, double x1, double y1, double x2, double y2, std::string_view stroke)
{
    out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2 << "\" stroke=\"" << stroke
        << "\"/>\n";
}

void text(std::ostream &out, double x, double y, std::string_view anchor, std::string_view content,
          std::string_view more = "")
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\"" << more << ">"
        << escaped(content) << "</text>\n";
}

void drawAxes(std::ostream &out, const Chart &chart, const Frame &frame)
{
    const double bottom = Height - Bottom;
    for (const double tick : frame.y.ticks) {
        line(out, Left, frame.top(tick), Width - Right, frame.top(tick), "#dddddd");
        text(out, Left - TickGap, frame.top(tick) + TextHalf, "end", numberText(tick));
    }
    for (const double tick : frame.x.ticks) {
        line(out, frame.left(tick), bottom, frame.left(tick), bottom + TextHalf, "#333333");
        text(out, frame.left(tick), bottom + LegendRow, "middle", placeText(chart, tick));
    }
    line(out, Left, bottom, Width - Right, bottom, "#333333");
    line(out, Left, Top, Left, bottom, "#333333");
    text(out, (Left + Width - Right) / 2, Height - LegendRow, "middle", chart.fields.x);
    const double middle = (Top + bottom) / 2;
    std::ostringstream turned;
    turned << " transform=\"rotate(-90 " << LegendRow << " " << middle << ")\"";
    text(out, LegendRow, middle, "middle", chart.fields.y, turned.str());
}

void drawSeries(std::ostream &out, const std::vector<Sample> &samples, const Frame &frame, std::string_view colour)
{
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
    for (const Sample &sample : samples) {
        out << frame.left(sample.x) << "," << frame.top(sample.median) << " ";
    }
    out << "\"/>\n";
    for (const Sample &sample : samples) {
        line(out, frame.left(sample.x), frame.top(sample.low), frame.left(sample.x), frame.top(sample.high), colour);
        out << "<circle cx=\"" << frame.left(sample.x) << "\" cy=\"" << frame.top(sample.median) << "\" r=\""
            << MarkRadius << "\" fill=\"" << colour << "\"/>\n";
    }
}

void drawLegend(std::ostream &out, std::size_t row, std::string_view name, std::string_view colour)
{
    const double top = Top + TickGap + static_cast<double>(row) * LegendRow;
    line(out, Left + TickGap, top, Left + TickGap + LegendRow, top, colour);
    text(out, Left + 2 * TickGap + LegendRow, top + TextHalf, "start", name);
}

} // namespace

std::string svgOf(const Chart &chart, const SvgOptions &options)
{
    const Frame frame = frameOf(chart, options);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << Width << " " << Height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n";
    text(out, Width / 2, Top / 2, "middle", options.title, " font-size=\"16\"");
    drawAxes(out, chart, frame);
    std::size_t row = 0;
    for (const auto &[name, samples] : chart.series) {
        const std::string_view colour = Colours.at(row % Colours.size());
        drawSeries(out, samples, frame, colour);
        if (!chart.fields.series.empty()) {
            drawLegend(out, row, name, colour);
        }
        ++row;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace ibislock::lab
