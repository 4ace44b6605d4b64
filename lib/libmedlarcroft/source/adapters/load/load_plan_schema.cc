#include "adapters/load/load_plan_schema.h"

#include "adapters/process/text_rules.h"

namespace medlarcroft::adapters {

namespace {

using load_generator::BrandLoad;
using load_generator::Burst;
using load_generator::ClassLoad;
using load_generator::LoadPlan;

constexpr SettingRange kAnyDuration{0, 86'400'000};
constexpr double kMaxRate = 1e6;

bool IsMethod(std::string_view text) {
  return text == "GET" || text == "POST" || text == "PUT" || text == "DELETE";
}

constexpr TextRule kMethod{&IsMethod, "one of GET, POST, PUT, DELETE"};

SettingsSchema<ClassLoad> MakeClassSchema() {
  SettingsSchema<ClassLoad> schema;
  schema
      .Text("service", &ClassLoad::service, kSettingName,
            {.description = "service in the catalogue", .is_required = true})
      .Real("rate", &ClassLoad::rate, {0, kMaxRate},
            {.description = "mean requests per second outside bursts"})
      .Text("method", &ClassLoad::method, kMethod,
            {.description = "method of the requests"})
      .Integer("body_bytes", &ClassLoad::body_bytes, {0, 1 << 20},
               {.description = "size of each request's body"})
      .Milliseconds("deadline_ms", &ClassLoad::deadline, {1, 3'600'000},
                    {.description = "time by which the response is needed"})
      .Flag("needs_key", &ClassLoad::needs_key,
            {.description = "each request carries an idempotency key"})
      .Real("retry_ratio", &ClassLoad::retry_ratio, {0, 1},
            {.description = "fraction of the unsuccessful attempts that "
                            "the caller retries"})
      .Integer("max_attempts", &ClassLoad::max_attempts, {1, 20},
               {.description = "maximum number of attempts per request"})
      .Real("max_late_ratio", &ClassLoad::max_late_ratio, {0, 1},
            {.description = "limit on late, failed and unsent requests"})
      .Real("max_refused_ratio", &ClassLoad::max_refused_ratio, {0, 1},
            {.description = "limit on refused requests"});
  return schema;
}

SettingsSchema<BrandLoad> MakeBrandSchema() {
  SettingsSchema<BrandLoad> schema;
  schema
      .Text("brand", &BrandLoad::brand, kSettingName,
            {.description = "brand whose callers send requests",
             .is_required = true})
      .Real("weight", &BrandLoad::weight, {0, kMaxRate},
            {.description = "request rate relative to other brands"});
  return schema;
}

SettingsSchema<Burst> MakeBurstSchema() {
  SettingsSchema<Burst> schema;
  schema
      .Milliseconds("at_ms", &Burst::at, kAnyDuration,
                    {.description = "from the start of the run"})
      .Milliseconds("duration_ms", &Burst::duration, kAnyDuration,
                    {.description = "duration of the burst"})
      .Real("factor", &Burst::factor, {0, 1000},
            {.description = "multiplies the rate; 0: no requests"})
      .Text("service", &Burst::service, kSettingName,
            {.description = "affected service; unset: all"});
  return schema;
}

SettingsSchema<LoadPlan> MakeSchema() {
  SettingsSchema<LoadPlan> schema;
  schema
      .Milliseconds("duration_ms", &LoadPlan::duration, {100, 86'400'000},
                    {.description = "length of the run"})
      .Integer("seed", &LoadPlan::seed, {0, 1LL << 53},
               {.description = "seed of arrivals, brands and choices"})
      .List("classes", &LoadPlan::classes, MakeClassSchema(),
            {.description = "services and their request rates",
             .is_required = true})
      .List("brands", &LoadPlan::brands, MakeBrandSchema(),
            {.description = "brands and their weights", .is_required = true})
      .Real("brand_skew", &LoadPlan::brand_skew, {0, 10},
            {.description = "Zipf exponent by rank in the list of brands"})
      .List("bursts", &LoadPlan::bursts, MakeBurstSchema(),
            {.description = "periods with another rate"})
      .Integer("max_in_flight", &LoadPlan::max_in_flight, {1, 1'000'000},
               {.description = "maximum number of requests in flight"});
  return schema;
}

}  // namespace

const SettingsSchema<LoadPlan>& LoadPlanSchema() {
  static const SettingsSchema<LoadPlan> schema = MakeSchema();
  return schema;
}

}  // namespace medlarcroft::adapters
