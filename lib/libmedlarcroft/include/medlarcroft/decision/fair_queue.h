#ifndef MEDLARCROFT_DECISION_FAIR_QUEUE_H_
#define MEDLARCROFT_DECISION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/decision/request.h"

namespace medlarcroft::decision {

/// @brief Queue of one service's waiting requests, shared between brands by
/// weighted start-time fair queueing.
///
/// When one brand sends many times its share, a single queue would make the
/// callers of the other brands wait behind it or be refused. Here each brand
/// with waiting requests is served in proportion to its weight, and capacity
/// that a brand does not use goes to the others. Brands that are not in the
/// catalogue share one flow of weight one, so that invented brand names gain
/// neither slots nor memory.
class FairQueue {
 public:
  using FlowIndex = std::uint32_t;

  explicit FairQueue(bool is_fair);

  /// Replaces the weights. Waiting requests are kept; those of a removed brand
  /// move to the flow for brands outside the catalogue.
  void Configure(std::span<const catalogue::BrandShare> brands);

  [[nodiscard]] FlowIndex FlowOf(const BrandName& brand) const;

  void Push(FlowIndex flow, RequestTicket ticket);
  /// Queues a request that has been dispatched before ahead of the others of
  /// its flow.
  void PushFront(FlowIndex flow, RequestTicket ticket);
  /// Removes and returns the next request; nullopt if none is waiting.
  [[nodiscard]] std::optional<RequestTicket> Pop();
  /// Accounts for a request that bypassed the queue, so that it still counts
  /// against its brand's share.
  void Charge(FlowIndex flow);
  void Remove(FlowIndex flow, RequestTicket ticket);

  [[nodiscard]] std::size_t Size() const { return size_; }
  [[nodiscard]] bool IsEmpty() const { return size_ == 0; }
  [[nodiscard]] std::size_t FlowSize(FlowIndex flow) const;

  /// @return the fraction of the service, in (0, 1], that the flow gets if it
  /// has waiting requests, given the flows that have some now.
  [[nodiscard]] double ShareOf(FlowIndex flow) const;

  /// @return the flows in the order of the catalogue; the last one is the flow
  /// for brands outside the catalogue.
  [[nodiscard]] std::vector<catalogue::BrandShare> Flows() const;

 private:
  struct Flow {
    BrandName brand;
    double weight = 1.0;
    /// Virtual time at which the flow's next request may start.
    double start_tag = 0;
    std::deque<RequestTicket> tickets;
  };

  void Activate(Flow& flow);

  bool is_fair_;
  std::vector<Flow> flows_;
  std::unordered_map<BrandName, FlowIndex> flow_indexes_;
  double virtual_time_ = 0;
  std::size_t size_ = 0;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_FAIR_QUEUE_H_
