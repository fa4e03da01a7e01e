#include "load/plot.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace tamarackridge::load {
namespace {

constexpr double width = 900.0;
constexpr double height = 400.0;
constexpr double margin = 60.0;
constexpr int gridLines = 5;
constexpr std::array colours{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf"};

/// Converts seconds and requests per second to coordinates of the drawing.
struct plot_scale
{
    double seconds = 1.0;
    double perSecond = 1.0;

    double x(double second) const { return margin + second / seconds * (width - 2 * margin); }
    double y(double rate) const
    {
        return height - margin - rate / perSecond * (height - 2 * margin);
    }
};

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char character : text) {
        switch (character) {
        case '<':
            safe += "&lt;";
            break;
        case '&':
            safe += "&amp;";
            break;
        default:
            safe += character;
        }
    }
    return safe;
}

std::string label(double x, double y, const std::string &text, const char *attributes = "")
{
    std::ostringstream svg;
    svg << "<text x=\"" << x << "\" y=\"" << y << "\" " << attributes << ">" << escaped(text)
        << "</text>\n";
    return svg.str();
}

plot_scale scaleFor(const std::vector<named_report> &results)
{
    plot_scale scale;
    for (const named_report &result : results) {
        const report_json &seconds = result.report["seconds"];
        scale.seconds = std::max(scale.seconds, static_cast<double>(seconds.size()));
        for (const report_json &second : seconds)
            scale.perSecond = std::max({scale.perSecond, second["offered"].get<double>(),
                                        second["goodput"].get<double>()});
    }
    return scale;
}

std::string polyline(const report_json &seconds, const char *field, const plot_scale &scale,
                     const std::string &style)
{
    std::ostringstream svg;
    svg << "<polyline fill=\"none\" " << style << " points=\"";
    double second = 0.5;
    for (const report_json &counts : seconds) {
        svg << scale.x(second) << "," << scale.y(counts[field].get<double>()) << " ";
        second += 1.0;
    }
    svg << "\"/>\n";
    return svg.str();
}

std::string surges(const report_json &phases, const plot_scale &scale)
{
    std::ostringstream svg;
    double start = 0.0;
    for (const report_json &phase : phases) {
        const double length = phase["seconds"].get<double>();
        if (phase["surge"].get<bool>())
            svg << "<rect x=\"" << scale.x(start) << "\" y=\"" << margin << "\" width=\""
                << scale.x(length) - margin << "\" height=\"" << height - 2 * margin
                << "\" fill=\"#eeeeee\"/>\n";
        start += length;
    }
    return svg.str();
}

std::string axes(const plot_scale &scale)
{
    std::ostringstream svg;
    for (int step = 0; step <= gridLines; ++step) {
        const double rate = scale.perSecond * step / gridLines;
        const double second = scale.seconds * step / gridLines;
        svg << "<line x1=\"" << margin << "\" x2=\"" << width - margin << "\" y1=\""
            << scale.y(rate) << "\" y2=\"" << scale.y(rate) << "\" stroke=\"#cccccc\"/>\n"
            << label(margin - 6, scale.y(rate) + 4, std::to_string(static_cast<int>(rate)),
                     "text-anchor=\"end\"")
            << label(scale.x(second), height - margin + 18,
                     std::to_string(static_cast<int>(second)), "text-anchor=\"middle\"");
    }
    svg << label(width / 2, height - margin + 40, "seconds", "text-anchor=\"middle\"")
        << label(margin, margin - 20, "complete responses per second (dashed: offered)");
    return svg.str();
}

} // namespace

std::string plotGoodput(const std::vector<named_report> &results)
{
    const plot_scale scale = scaleFor(results);
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << width << " " << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    if (!results.empty())
        svg << surges(results.front().report["phases"], scale)
            << polyline(results.front().report["seconds"], "offered", scale,
                        "stroke=\"#888888\" stroke-dasharray=\"4 3\"");
    svg << axes(scale);
    for (std::size_t index = 0; index < results.size(); ++index) {
        const std::string colour = colours[index % colours.size()];
        svg << polyline(results[index].report["seconds"], "goodput", scale,
                        "stroke-width=\"2\" stroke=\"" + colour + "\"")
            << label(width - margin, margin - 20 + 14.0 * static_cast<double>(index),
                     results[index].name, ("text-anchor=\"end\" fill=\"" + colour + "\"").c_str());
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace tamarackridge::load
