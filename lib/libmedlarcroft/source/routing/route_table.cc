#include "medlarcroft/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

namespace medlarcroft::routing {

namespace {

std::string NormalisedHost(std::string_view host) {
  const std::size_t port = host.rfind(':');
  if (port != std::string_view::npos &&
      host.find(']', port) == std::string_view::npos) {
    host = host.substr(0, port);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

bool RouteTable::Apply(RoutingConfiguration configuration) {
  if (configuration.version <= version_) {
    return false;
  }
  version_ = configuration.version;
  limits_ = configuration.limits;
  accounts_.Replace(std::move(configuration.accounts));
  services_.clear();
  for (ServiceRules& service : configuration.services) {
    services_.emplace(service.name, service);
  }
  routes_.clear();
  for (Route& route : configuration.routes) {
    auto& host_routes = routes_[NormalisedHost(route.host)];
    host_routes.push_back(std::make_shared<const Route>(std::move(route)));
  }
  for (auto& [host, host_routes] : routes_) {
    std::stable_sort(host_routes.begin(), host_routes.end(),
                     [](const auto& left, const auto& right) {
                       return left->path_prefix.size() >
                              right->path_prefix.size();
                     });
  }
  credits_.clear();
  return true;
}

std::shared_ptr<const Route> RouteTable::Find(std::string_view host,
                                              std::string_view target) const {
  const auto host_routes = routes_.find(NormalisedHost(host));
  if (host_routes == routes_.end()) {
    return nullptr;
  }
  const std::string_view path = PathOf(target);
  for (const auto& route : host_routes->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

ServiceName RouteTable::ChooseService(const Route& route) {
  if (route.weighted_services.size() == 1) {
    return route.weighted_services.front().service;
  }
  const double total = std::accumulate(
      route.weighted_services.begin(), route.weighted_services.end(), 0.0,
      [](double sum, const WeightedService& part) {
        return sum + part.weight;
      });
  std::vector<double>& credits = credits_[route.name];
  credits.resize(route.weighted_services.size());
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += total > 0 ? route.weighted_services[i].weight / total : 0;
  }
  const auto most = std::max_element(credits.begin(), credits.end());
  *most -= 1.0;
  return route
      .weighted_services[static_cast<std::size_t>(most - credits.begin())]
      .service;
}

const ServiceRules* RouteTable::FindService(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace medlarcroft::routing
