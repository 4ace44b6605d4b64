#include "medlarcroft/delivery/response_delivery.h"

#include <utility>

namespace medlarcroft::delivery {

namespace {

// A client that reads a few kilobytes a second acknowledges at least every
// second; its window opens by a segment or half its buffer at a time.
constexpr Duration kStopPatience = std::chrono::seconds(2);
// Callers leave at their deadline, just when its timer is due here.
constexpr Duration kOverdueSlack = std::chrono::milliseconds(500);

}  // namespace

void ResponseDelivery::OnRequest(MonotonicTime now) {
  has_request_ = true;
  since_ = now;
  progressed_at_ = now;
  request_.clear();
  wanted_until_.reset();
}

void ResponseDelivery::Identify(std::string request,
                                MonotonicTime wanted_until) {
  request_ = std::move(request);
  wanted_until_ = wanted_until;
}

void ResponseDelivery::OnResponse(std::size_t undelivered, MonotonicTime now) {
  has_request_ = false;
  undelivered_ = undelivered;
  since_ = now;
  progressed_at_ = now;
}

void ResponseDelivery::OnMeasured(std::size_t undelivered, MonotonicTime now) {
  if (undelivered < undelivered_) {
    progressed_at_ = now;
  }
  undelivered_ = undelivered;
}

bool ResponseDelivery::IsOverdue(MonotonicTime now) const {
  return has_request_ && wanted_until_ && now >= *wanted_until_ + kOverdueSlack;
}

bool ResponseDelivery::DelaysStop(MonotonicTime now) const {
  if (!wanted_until_) {
    return false;
  }
  const bool is_awaited =
      now < *wanted_until_ || WithoutProgress(now) < kStopPatience;
  return has_request_ || (undelivered_ > 0 && is_awaited);
}

}  // namespace medlarcroft::delivery
