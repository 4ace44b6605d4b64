#ifndef MEDLARCROFT_LOAD_GENERATOR_PLOT_H_
#define MEDLARCROFT_LOAD_GENERATOR_PLOT_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarcroft::load_generator {

/// @brief A line of a plot with one value for each second. An unset value
/// leaves a gap.
struct PlotLine {
  std::string name;
  std::vector<std::optional<double>> values;
};

/// @brief Labels and axis of a plot.
struct PlotOptions {
  std::string title;
  std::string unit;
  bool is_logarithmic = false;    ///< Omits values of 0.
  std::optional<double> maximum;  ///< Unset: the largest value.
};

/// @return a heading, a legend and an inline SVG element without external
/// resources.
[[nodiscard]] std::string DrawPlot(const PlotOptions& options,
                                   std::span<const PlotLine> lines);

/// @return `text` with HTML's special characters escaped.
[[nodiscard]] std::string EscapeHtml(std::string_view text);

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_PLOT_H_
