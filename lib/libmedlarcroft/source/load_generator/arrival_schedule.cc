#include "medlarcroft/load_generator/arrival_schedule.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::load_generator {

ArrivalSchedule::ArrivalSchedule(const LoadPlan& plan,
                                 ports::RandomSource& random)
    : plan_(plan), random_(random) {
  double rank = 1;
  for (const BrandLoad& brand : plan_.brands) {
    brand_weights_.push_back(brand.weight / std::pow(rank, plan_.brand_skew));
    rank++;
  }

  double highest_factor = 1;
  for (const Burst& burst : plan_.bursts) {
    // Factors of overlapping bursts multiply.
    highest_factor *= std::max(1.0, burst.factor);
  }
  for (const ClassLoad& load : plan_.classes) {
    max_rate_ += load.rate * highest_factor;
  }
}

std::optional<Arrival> ArrivalSchedule::Next() {
  // Thinning: candidates are drawn at the maximum rate, and each is accepted
  // with the probability of the current rate over the maximum rate.
  while (max_rate_ > 0) {
    const double gap = -std::log(1.0 - random_.NextUnit()) / max_rate_;
    at_ += FromSeconds(gap);
    if (at_ >= plan_.duration) {
      return std::nullopt;
    }
    double drawn = random_.NextUnit() * max_rate_;
    for (std::size_t i = 0; i < plan_.classes.size(); ++i) {
      drawn -= RateAt(i, at_);
      if (drawn < 0) {
        return Arrival{.at = at_, .class_index = i, .brand_index = DrawBrand()};
      }
    }
  }
  return std::nullopt;
}

double ArrivalSchedule::RateAt(std::size_t class_index, Duration at) const {
  const ClassLoad& load = plan_.classes[class_index];
  double rate = load.rate;
  for (const Burst& burst : plan_.bursts) {
    const bool is_affected =
        burst.service.empty() || burst.service == load.service;
    if (is_affected && at >= burst.at && at < burst.at + burst.duration) {
      rate *= burst.factor;
    }
  }
  return rate;
}

std::size_t ArrivalSchedule::DrawBrand() {
  double total = 0;
  for (const double weight : brand_weights_) {
    total += weight;
  }
  double drawn = random_.NextUnit() * total;
  for (std::size_t i = 0; i < brand_weights_.size(); ++i) {
    drawn -= brand_weights_[i];
    if (drawn < 0) {
      return i;
    }
  }
  return brand_weights_.size() - 1;
}

}  // namespace medlarcroft::load_generator
