#include "medlarcroft/load_generator/report_page.h"

#include <functional>
#include <vector>

#include "medlarcroft/load_generator/plot.h"
#include "medlarcroft/load_generator/report_comparison.h"

namespace medlarcroft::load_generator {

namespace {

constexpr std::string_view kStyle =
    "body{font:15px/1.45 system-ui,sans-serif;max-width:860px;margin:2em auto;"
    "padding:0 1em;color:#222}pre{overflow-x:auto;background:#f5f5f4;"
    "padding:.8em;font-size:12px}svg{width:100%;height:auto;font-size:11px}"
    "h2{font-size:17px;margin:1.6em 0 0}p{margin:.2em 0}";

using ReadSecond = std::function<std::optional<double>(const SecondReport&)>;

PlotLine MakeLine(std::string name,
                  const LoadReport& report,
                  const ReadSecond& read) {
  PlotLine line{.name = std::move(name)};
  line.values.reserve(report.seconds.size());
  for (const SecondReport& second : report.seconds) {
    line.values.push_back(read(second));
  }
  return line;
}

std::string DrawLatency(const LoadReport& report,
                        const std::optional<LoadReport>& before) {
  const ReadSecond p50 = [](const SecondReport& second) {
    return second.p50_ms;
  };
  const ReadSecond p99 = [](const SecondReport& second) {
    return second.p99_ms;
  };
  std::vector<PlotLine> lines = {MakeLine("p50", report, p50),
                                 MakeLine("p99", report, p99)};
  if (before) {
    lines.push_back(MakeLine("p50 before", *before, p50));
    lines.push_back(MakeLine("p99 before", *before, p99));
  }
  return DrawPlot({.title = "Latency from the intended send time",
                   .unit = "ms, by second",
                   .is_logarithmic = true},
                  lines);
}

std::string DrawCounts(const LoadReport& report) {
  struct CountLine {
    std::string_view name;
    std::uint64_t EndCounts::*member;
  };
  constexpr CountLine kCountLines[] = {{"intended", &EndCounts::intended},
                                       {"refused", &EndCounts::refused},
                                       {"ran", &EndCounts::ran},
                                       {"failed", &EndCounts::failed},
                                       {"unsent", &EndCounts::unsent}};
  std::vector<PlotLine> lines;
  lines.reserve(std::size(kCountLines));
  for (const CountLine& line : kCountLines) {
    lines.push_back(
        MakeLine(std::string(line.name), report,
                 [member = line.member](const SecondReport& second) {
                   return static_cast<double>(second.counts.*member);
                 }));
  }
  return DrawPlot({.title = "Requests and refusals",
                   .unit = "requests per second",
                   .is_logarithmic = false},
                  lines);
}

std::string DrawHeadroom(const LoadReport& report) {
  const std::vector<PlotLine> lines = {
      MakeLine("free slots", report, [](const SecondReport& second) {
        return second.headroom ? std::optional<double>(*second.headroom * 100)
                               : std::nullopt;
      })};
  return DrawPlot(
      {.title = "Headroom of the targets", .unit = "%", .maximum = 100}, lines);
}

}  // namespace

std::string FormatReportPage(const LoadReport& report,
                             const std::optional<LoadReport>& before) {
  const std::string name = EscapeHtml(report.name);
  std::string page =
      "<!doctype html><html lang='en'><meta charset='utf-8'>"
      "<meta name='viewport' content='width=device-width'><title>" +
      name + "</title><style>" + std::string(kStyle) + "</style><h1>" + name +
      ": " + std::string(NameOf(report.verdict)) + "</h1>\n";
  page += DrawLatency(report, before);
  page += DrawCounts(report);
  page += DrawHeadroom(report);
  page += "<h2>Results</h2><pre>" + EscapeHtml(FormatReportText(report)) +
          "</pre>\n";
  if (before) {
    page += "<h2>Compared with " + EscapeHtml(before->name) + "</h2><pre>" +
            EscapeHtml(FormatComparison(CompareReports(*before, report))) +
            "</pre>\n";
  }
  return page + "</html>\n";
}

}  // namespace medlarcroft::load_generator
