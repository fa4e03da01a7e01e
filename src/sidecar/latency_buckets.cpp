#include "sidecar/latency_buckets.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace tamarackridge {
namespace {

std::string numberText(double value)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.12g", value);
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

void latency_buckets::observe(duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds);
    ++m_counts[static_cast<std::size_t>(bucket - bounds.begin())];
    m_sum += seconds;
}

void latency_buckets::appendText(std::string_view name, std::string &out) const
{
    const std::string base(name);
    out.append("# TYPE ").append(base).append(" histogram\n");
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < m_counts.size(); ++index) {
        total += m_counts[index];
        const std::string bound = index < bounds.size() ? numberText(bounds[index]) : "+Inf";
        appendSample(base + "_bucket", "le=\"" + bound + '"', static_cast<double>(total), out);
    }
    appendSample(base + "_sum", {}, m_sum, out);
    appendSample(base + "_count", {}, static_cast<double>(total), out);
}

void appendSample(std::string_view name, std::string_view labels, double value, std::string &out)
{
    out.append(name);
    if (!labels.empty())
        out.append("{").append(labels).append("}");
    out.append(" ").append(numberText(value)).append("\n");
}

} // namespace tamarackridge
