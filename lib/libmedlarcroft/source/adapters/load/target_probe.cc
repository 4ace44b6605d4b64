#include "adapters/load/target_probe.h"

#include <algorithm>
#include <future>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace medlarcroft::adapters {

namespace {

using load_generator::RunAudit;
using nlohmann::json;

/// A list of 500,000 runs takes about 80 MB.
constexpr std::size_t kMaxRunListBytes = std::size_t{128} * 1024 * 1024;

}  // namespace

std::optional<RunList> ParseRunList(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  try {
    RunList list{.is_complete = document.at("dropped").get<int>() == 0};
    const std::string target = document.at("target");
    for (const json& item : document.at("runs")) {
      list.runs.push_back({.target = target,
                           .idempotency_key = item.at("idempotency_key"),
                           .path = item.at("path"),
                           .count = item.at("count")});
    }
    return list;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<double> TargetProbe::MeasureHeadroom() {
  double slots = 0;
  double outstanding = 0;
  for (const ClientResponse& response : GetFromAllTargets("/load")) {
    const json document = json::parse(response.body, nullptr, false);
    if (document.is_object()) {
      slots += document.value("slots", 0.0);
      outstanding += document.value("outstanding", 0.0);
    }
  }
  if (slots <= 0) {
    return std::nullopt;
  }
  return std::max(0.0, 1.0 - outstanding / slots);
}

RunAudit TargetProbe::ReadRuns() {
  RunAudit audit;
  std::size_t complete = 0;
  for (const ClientResponse& response : GetFromAllTargets("/control/runs")) {
    auto list = ParseRunList(response.body);
    if (!list) {
      continue;
    }
    complete += list->is_complete ? 1 : 0;
    audit.runs.insert(audit.runs.end(),
                      std::make_move_iterator(list->runs.begin()),
                      std::make_move_iterator(list->runs.end()));
  }
  audit.is_complete = complete == urls_.size();
  return audit;
}

std::vector<ClientResponse> TargetProbe::GetFromAllTargets(
    std::string_view path) {
  std::vector<std::promise<ClientResult>> promises(urls_.size());
  for (std::size_t i = 0; i < urls_.size(); ++i) {
    client_.Send({.url = urls_[i] + std::string(path),
                  .max_answer_bytes = kMaxRunListBytes},
                 [&promise = promises[i]](ClientResult result) {
                   promise.set_value(std::move(result));
                 });
  }
  std::vector<ClientResponse> responses;
  for (std::promise<ClientResult>& promise : promises) {
    ClientResult result = promise.get_future().get();
    if (IsOk(result)) {
      responses.push_back(TakeValue(std::move(result)));
    }
  }
  return responses;
}

}  // namespace medlarcroft::adapters
