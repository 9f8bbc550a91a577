#include "dockpoint/config/routing_configuration.hpp"

#include <algorithm>
#include <numeric>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

char lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
}

/// Compares host names without regard to case and to a port after the requested name.
bool same_host(std::string_view requested, std::string_view configured) {
  requested = requested.substr(0, requested.find(':'));
  return std::equal(requested.begin(), requested.end(), configured.begin(), configured.end(),
                    [](char one, char other) { return lower(one) == lower(other); });
}

bool same_services(const std::vector<WeightedService>& left,
                   const std::vector<WeightedService>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const WeightedService& one, const WeightedService& other) {
                      return one.service == other.service && one.weight == other.weight;
                    });
}

}  // namespace

const RouteConfig* RoutingConfiguration::match(std::string_view host, std::string_view path) const {
  const RouteConfig* best = nullptr;
  for (const RouteConfig& route : routes) {
    const bool longer = best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer && path.starts_with(route.path_prefix) && same_host(host, route.host)) {
      best = &route;
    }
  }
  return best;
}

const std::string& ServiceRotation::next(const RouteConfig& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  State& state = routes_[route.name];
  if (!same_services(state.services, route.services)) {
    state.services = route.services;
    state.credit.clear();
    const std::uint64_t seed = combine_hash(hash64(route.name), offset_);
    for (std::size_t index = 0; index < route.services.size(); ++index) {
      constexpr double kTwoPower16 = 65536;
      const double turn = static_cast<double>(combine_hash(seed, index) % 65536) / kTwoPower16;
      state.credit.push_back(turn * route.services[index].weight);
    }
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t index = 0; index < route.services.size(); ++index) {
    total += route.services[index].weight;
    state.credit[index] += route.services[index].weight;
    if (state.credit[index] > state.credit[best]) {
      best = index;
    }
  }
  state.credit[best] -= total;
  return route.services[best].service;
}

}  // namespace dockpoint
