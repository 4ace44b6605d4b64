#include "medlarcroft/decision/fair_queue.h"

#include <algorithm>

namespace medlarcroft::decision {
namespace {

// A flow with a weight of zero would never be served.
constexpr double kMinWeight = 0.01;

}  // namespace

FairQueue::FairQueue(bool is_fair) : is_fair_(is_fair), flows_(1) {}

void FairQueue::Configure(std::span<const catalogue::BrandShare> brands) {
  std::vector<Flow> previous = std::move(flows_);
  const auto previous_indexes = std::move(flow_indexes_);
  flows_.clear();
  flow_indexes_.clear();

  const std::size_t named_count = is_fair_ ? brands.size() : 0;
  flows_.resize(named_count + 1);
  flows_.back().start_tag = virtual_time_;
  for (std::size_t i = 0; i < named_count; ++i) {
    flows_[i].brand = brands[i].brand;
    flows_[i].weight = std::max(brands[i].weight, kMinWeight);
    flows_[i].start_tag = virtual_time_;
    flow_indexes_.emplace(brands[i].brand, static_cast<FlowIndex>(i));
  }

  for (std::size_t i = 0; i < previous.size(); ++i) {
    Flow& previous_flow = previous[i];
    const bool was_named = i + 1 < previous.size();
    Flow& flow =
        was_named ? flows_[FlowOf(previous_flow.brand)] : flows_.back();
    flow.start_tag = std::max(flow.start_tag, previous_flow.start_tag);
    flow.tickets.insert(flow.tickets.end(), previous_flow.tickets.begin(),
                        previous_flow.tickets.end());
  }
}

FairQueue::FlowIndex FairQueue::FlowOf(const BrandName& brand) const {
  const auto found = flow_indexes_.find(brand);
  if (found != flow_indexes_.end())
    return found->second;
  return static_cast<FlowIndex>(flows_.size() - 1);
}

void FairQueue::Push(FlowIndex flow, RequestTicket ticket) {
  Activate(flows_[flow]);
  flows_[flow].tickets.push_back(ticket);
  ++size_;
}

void FairQueue::PushFront(FlowIndex flow, RequestTicket ticket) {
  Activate(flows_[flow]);
  flows_[flow].tickets.push_front(ticket);
  ++size_;
}

std::optional<RequestTicket> FairQueue::Pop() {
  Flow* next = nullptr;
  for (Flow& flow : flows_) {
    if (flow.tickets.empty())
      continue;
    if (next == nullptr || flow.start_tag < next->start_tag)
      next = &flow;
  }
  if (next == nullptr)
    return std::nullopt;

  const RequestTicket ticket = next->tickets.front();
  next->tickets.pop_front();
  --size_;
  virtual_time_ = next->start_tag;
  next->start_tag += 1.0 / next->weight;
  return ticket;
}

void FairQueue::Charge(FlowIndex flow) {
  Activate(flows_[flow]);
  virtual_time_ = std::max(virtual_time_, flows_[flow].start_tag);
  flows_[flow].start_tag += 1.0 / flows_[flow].weight;
}

void FairQueue::Remove(FlowIndex flow, RequestTicket ticket) {
  std::deque<RequestTicket>& tickets = flows_[flow].tickets;
  const auto found = std::find(tickets.begin(), tickets.end(), ticket);
  if (found == tickets.end())
    return;

  tickets.erase(found);
  --size_;
}

std::size_t FairQueue::FlowSize(FlowIndex flow) const {
  return flows_[flow].tickets.size();
}

double FairQueue::ShareOf(FlowIndex flow) const {
  double total_weight = 0;
  for (std::size_t i = 0; i < flows_.size(); ++i) {
    if (i == flow || !flows_[i].tickets.empty()) {
      total_weight += flows_[i].weight;
    }
  }
  return flows_[flow].weight / total_weight;
}

std::vector<catalogue::BrandShare> FairQueue::Flows() const {
  std::vector<catalogue::BrandShare> shares;
  for (const Flow& flow : flows_) {
    shares.push_back({.brand = flow.brand, .weight = flow.weight});
  }
  return shares;
}

void FairQueue::Activate(Flow& flow) {
  // An idle flow must not accumulate credit. Otherwise it would block the other
  // flows once it has requests again.
  if (flow.tickets.empty()) {
    flow.start_tag = std::max(flow.start_tag, virtual_time_);
  }
}

}  // namespace medlarcroft::decision
