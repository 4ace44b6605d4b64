#include "medlarcroft/news/peer_news.h"

#include <algorithm>

#include "medlarcroft/core/packed_number.h"

namespace medlarcroft::news {

namespace {

constexpr std::size_t kNumberBytes = 4;
constexpr std::uint32_t kMostRequests = 255;

}  // namespace

std::string EncodePlaced(const std::vector<PlacedObject>& placed) {
  std::string text;
  text.reserve(placed.size() * kPlacedBytes);
  for (const PlacedObject& item : placed) {
    AppendPacked(text, static_cast<std::uint32_t>(item.target), kNumberBytes);
    AppendPacked(text, item.object.Value(), kNumberBytes);
  }
  return text;
}

std::string EncodeLoads(const std::vector<ToldLoad>& loads) {
  std::string text;
  text.reserve(loads.size() * kLoadBytes);
  for (const ToldLoad& load : loads) {
    AppendPacked(text, static_cast<std::uint32_t>(load.target), kNumberBytes);
    AppendPacked(text, std::min(load.requests, kMostRequests), 1);
  }
  return text;
}

std::optional<std::vector<PlacedObject>> DecodePlaced(std::string_view bytes) {
  if (bytes.size() % kPlacedBytes != 0) {
    return std::nullopt;
  }
  std::vector<PlacedObject> placed;
  placed.reserve(bytes.size() / kPlacedBytes);
  while (!bytes.empty()) {
    const request_path::TargetNumber target{TakePacked(bytes, kNumberBytes)};
    placed.push_back({.target = target,
                      .object = request_path::ObjectKey::FromValue(
                          TakePacked(bytes, kNumberBytes))});
  }
  return placed;
}

std::optional<std::vector<ToldLoad>> DecodeLoads(std::string_view bytes) {
  if (bytes.size() % kLoadBytes != 0) {
    return std::nullopt;
  }
  std::vector<ToldLoad> loads;
  loads.reserve(bytes.size() / kLoadBytes);
  while (!bytes.empty()) {
    const request_path::TargetNumber target{TakePacked(bytes, kNumberBytes)};
    loads.push_back({.target = target, .requests = TakePacked(bytes, 1)});
  }
  return loads;
}

}  // namespace medlarcroft::news
