#include "medlarcroft/request_path/response_attribution.h"

#include <algorithm>
#include <functional>

namespace medlarcroft::request_path {

bool ResponseAttribution::MayCarry(std::string_view id) const {
  return is_reusable_ &&
         std::ranges::find(failed_ids_, std::hash<std::string_view>{}(id)) ==
             failed_ids_.end();
}

void ResponseAttribution::OnSent(std::string_view id) {
  ++sent_;
  last_id_ = std::hash<std::string_view>{}(id);
}

bool ResponseAttribution::OnResponse(ResponseName name, bool is_failure) {
  const bool is_first = sent_ == 1 && responses_ == 0;
  ++responses_;
  is_reusable_ = is_reusable_ && name == ResponseName::kOwn;
  if (name == ResponseName::kOwn && is_failure) {
    failed_ids_.push_back(last_id_);
    is_reusable_ = is_reusable_ && failed_ids_.size() < kMaxFailedIds;
  }
  return name == ResponseName::kOwn ||
         (name == ResponseName::kUnnamed && is_first);
}

}  // namespace medlarcroft::request_path
