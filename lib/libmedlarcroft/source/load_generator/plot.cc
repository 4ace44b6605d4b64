#include "medlarcroft/load_generator/plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace medlarcroft::load_generator {

namespace {

constexpr double kWidth = 820;
constexpr double kHeight = 220;
constexpr double kLeftMargin = 60;  ///< Margin for the axis labels.
constexpr double kBottomMargin = 24;
constexpr double kTopMargin = 10;
constexpr int kGridLines = 4;
constexpr std::array<std::string_view, 5> kColours = {
    "#1f5fa8", "#c2410c", "#15803d", "#7e22ce", "#57534e"};

std::string Format(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.4g", value);
  return {text.data(), static_cast<std::size_t>(std::max(0, length))};
}

/// @brief Maps seconds and values to coordinates of the drawing.
class Scale {
 public:
  Scale(const PlotOptions& options, std::span<const PlotLine> lines)
      : is_logarithmic_(options.is_logarithmic) {
    double max_value = 0;
    double min_value = 0;
    for (const PlotLine& line : lines) {
      seconds_ = std::max(seconds_, line.values.size());
      for (const std::optional<double>& value : line.values) {
        if (value && *value > 0) {
          max_value = std::max(max_value, *value);
          min_value = min_value == 0 ? *value : std::min(min_value, *value);
        }
      }
    }
    high_ = options.maximum.value_or(max_value > 0 ? max_value : 1);
    low_ = 0;
    if (is_logarithmic_) {
      high_ = std::ceil(std::log10(high_));
      low_ = min_value > 0 ? std::floor(std::log10(min_value)) : high_ - 1;
      high_ = std::max(high_, low_ + 1);
    }
  }

  [[nodiscard]] double X(std::size_t second) const {
    const double last = static_cast<double>(std::max<std::size_t>(2, seconds_));
    return kLeftMargin +
           (kWidth - kLeftMargin) * static_cast<double>(second) / (last - 1);
  }

  [[nodiscard]] std::optional<double> Y(double value) const {
    if (is_logarithmic_ && value <= 0) {
      return std::nullopt;
    }
    const double at = is_logarithmic_ ? std::log10(value) : value;
    const double share = std::clamp((at - low_) / (high_ - low_), 0.0, 1.0);
    return kHeight - kBottomMargin -
           (kHeight - kBottomMargin - kTopMargin) * share;
  }

  /// @return the value at a fraction of the axis, 0 to 1.
  [[nodiscard]] double ValueAt(double share) const {
    const double at = low_ + (high_ - low_) * share;
    return is_logarithmic_ ? std::pow(10.0, at) : at;
  }

  [[nodiscard]] std::size_t Seconds() const { return seconds_; }

 private:
  bool is_logarithmic_;
  std::size_t seconds_ = 0;
  double low_ = 0;
  double high_ = 1;
};

std::string DrawGrid(const Scale& scale, std::string_view unit) {
  std::string out;
  for (int i = 0; i <= kGridLines; ++i) {
    const double value = scale.ValueAt(static_cast<double>(i) / kGridLines);
    const std::string y = Format(scale.Y(value).value_or(0));
    out.append("<line x1='").append(Format(kLeftMargin));
    out.append("' x2='").append(Format(kWidth));
    out.append("' y1='").append(y).append("' y2='").append(y);
    out.append("' stroke='#ddd'/><text x='").append(Format(kLeftMargin - 6));
    out.append("' y='").append(y);
    out.append("' text-anchor='end' dominant-baseline='middle'>");
    out.append(Format(value)).append("</text>");
  }
  out += "<text x='" + Format(kLeftMargin) + "' y='" + Format(kHeight - 6) +
         "'>0 s</text><text x='" + Format(kWidth) + "' y='" +
         Format(kHeight - 6) + "' text-anchor='end'>" +
         std::to_string(scale.Seconds()) + " s; " + EscapeHtml(unit) +
         "</text>";
  return out;
}

std::string DrawLine(const Scale& scale,
                     const PlotLine& line,
                     std::string_view colour) {
  std::string path;
  bool is_drawing = false;
  for (std::size_t i = 0; i < line.values.size(); ++i) {
    const auto y = line.values[i] ? scale.Y(*line.values[i]) : std::nullopt;
    if (y) {
      path += is_drawing ? "L" : "M";
      path += Format(scale.X(i)) + " " + Format(*y);
    }
    is_drawing = y.has_value();
  }
  return "<path fill='none' stroke-width='1.5' stroke='" + std::string(colour) +
         "' d='" + path + "'/>";
}

}  // namespace

std::string DrawPlot(const PlotOptions& options,
                     std::span<const PlotLine> lines) {
  const Scale scale(options, lines);
  std::string legend;
  std::string drawing = DrawGrid(scale, options.unit);
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const std::string colour(kColours.at(i % kColours.size()));
    drawing += DrawLine(scale, lines[i], colour);
    legend += "<span style='color:" + colour + "'>&#9644; " +
              EscapeHtml(lines[i].name) + "</span> ";
  }
  return "<h2>" + EscapeHtml(options.title) + "</h2><p>" + legend +
         "</p><svg viewBox='0 0 " + Format(kWidth) + " " + Format(kHeight) +
         "' role='img'>" + drawing + "</svg>\n";
}

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char symbol : text) {
    switch (symbol) {
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
      case '\'':
        out += "&#39;";
        break;
      default:
        out += symbol;
    }
  }
  return out;
}

}  // namespace medlarcroft::load_generator
