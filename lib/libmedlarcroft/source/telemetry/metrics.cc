#include "medlarcroft/telemetry/metrics.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace medlarcroft::telemetry {

namespace {

using GaugeSource = std::function<double()>;

/// The index determines the metric type of a family; see KindOf.
using Instrument = std::variant<std::unique_ptr<Counter>,
                                std::unique_ptr<Gauge>,
                                std::unique_ptr<LatencyHistogram>,
                                GaugeSource>;

std::string FormatNumber(double value) {
  return nlohmann::json(value).dump();
}

void AppendEscaped(std::string_view text, std::string& out) {
  for (const char symbol : text) {
    if (symbol == '\n') {
      out += "\\n";
      continue;
    }
    if (symbol == '\\' || symbol == '"') {
      out += '\\';
    }
    out += symbol;
  }
}

/// @param extra an additional, already formatted label; may be empty.
std::string FormatLabels(const Labels& labels, std::string_view extra) {
  std::string text;
  for (const Label& label : labels) {
    text += text.empty() ? "" : ",";
    text += label.Name() + "=\"";
    AppendEscaped(label.Value(), text);
    text += '"';
  }
  if (!extra.empty()) {
    text += text.empty() ? "" : ",";
    text += extra;
  }
  return text.empty() ? text : "{" + text + "}";
}

/// @brief Writes the sample lines of one series.
struct SeriesWriter {
  const std::string& name;
  const Labels& labels;
  std::string& out;

  void Line(std::string_view suffix,
            std::string_view extra,
            const std::string& value) const {
    out += name;
    out += suffix;
    out += FormatLabels(labels, extra) + " " + value + "\n";
  }

  void operator()(const std::unique_ptr<Counter>& counter) const {
    Line("", "", std::to_string(counter->Value()));
  }
  void operator()(const std::unique_ptr<Gauge>& gauge) const {
    Line("", "", FormatNumber(gauge->Value()));
  }
  void operator()(const GaugeSource& source) const {
    Line("", "", FormatNumber(source()));
  }
  void operator()(const std::unique_ptr<LatencyHistogram>& histogram) const {
    const std::vector<LatencyBucket> buckets = histogram->Buckets();
    std::uint64_t total = 0;
    for (std::size_t i = 0; i + 1 < buckets.size(); ++i) {
      total += buckets[i].count;
      const double bound = ToSeconds(buckets[i].upper_bound);
      Line("_bucket", "le=\"" + FormatNumber(bound) + "\"",
           std::to_string(total));
    }
    total += buckets.back().count;
    Line("_bucket", "le=\"+Inf\"", std::to_string(total));
    Line("_sum", "", FormatNumber(ToSeconds(histogram->Sum())));
    Line("_count", "", std::to_string(total));
  }
};

std::string_view KindOf(const Instrument& instrument) {
  constexpr std::string_view kKinds[] = {"counter", "gauge", "histogram",
                                         "gauge"};
  return kKinds[instrument.index()];
}

}  // namespace

struct MetricsRegistry::Family {
  std::string help;
  std::map<Labels, Instrument> series;

  /// @return the instrument with these labels, created if it does not exist;
  /// the overflow series once kMaxSeries is reached.
  template <typename Kind>
  Kind& Get(Labels labels) {
    if (series.size() >= kMaxSeries && !series.contains(labels)) {
      labels = {Label::OfConstant("overflow", "true")};
    }
    const auto [found, is_new] = series.try_emplace(std::move(labels));
    if (is_new) {
      found->second = std::make_unique<Kind>();
    }
    return *std::get<std::unique_ptr<Kind>>(found->second);
  }
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Family& MetricsRegistry::FamilyOf(
    const MetricDescription& metric) {
  auto found = families_.find(metric.name);
  if (found == families_.end()) {
    found =
        families_.emplace(std::string(metric.name), std::make_unique<Family>())
            .first;
    found->second->help = metric.help;
  }
  return *found->second;
}

Counter& MetricsRegistry::CounterOf(const MetricDescription& metric,
                                    Labels labels) {
  const std::unique_lock lock(mutex_);
  return FamilyOf(metric).Get<Counter>(std::move(labels));
}

Gauge& MetricsRegistry::GaugeOf(const MetricDescription& metric,
                                Labels labels) {
  const std::unique_lock lock(mutex_);
  return FamilyOf(metric).Get<Gauge>(std::move(labels));
}

LatencyHistogram& MetricsRegistry::HistogramOf(const MetricDescription& metric,
                                               Labels labels) {
  const std::unique_lock lock(mutex_);
  return FamilyOf(metric).Get<LatencyHistogram>(std::move(labels));
}

void MetricsRegistry::AddGaugeSource(const MetricDescription& metric,
                                     Labels labels,
                                     std::function<double()> read) {
  const std::unique_lock lock(mutex_);
  FamilyOf(metric).series[std::move(labels)] = std::move(read);
}

std::string MetricsRegistry::FormatPrometheus() const {
  const std::shared_lock lock(mutex_);
  std::string text;
  for (const auto& [name, family] : families_) {
    text += "# HELP " + name + " " + family->help + "\n";
    text += "# TYPE " + name + " ";
    text += KindOf(family->series.begin()->second);
    text += "\n";
    for (const auto& [labels, instrument] : family->series) {
      std::visit(SeriesWriter{name, labels, text}, instrument);
    }
  }
  return text;
}

}  // namespace medlarcroft::telemetry
