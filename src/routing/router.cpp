#include "dockpoint/routing/router.hpp"

#include <algorithm>
#include <numeric>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

/// Penalty added to the utilization of an engine in another zone.
constexpr double kOtherZoneCost = 0.05;

/// An engine accepts online requests up to its slots plus a small queue, so that a freed slot is
/// reused immediately.
bool open_for_online(const EngineView& engine) {
  const int allowance = std::max(1, engine.config.slots / 4);
  return engine.estimated_online() < engine.config.slots + allowance;
}

}  // namespace

Router::Router(const Knobs& knobs, const EngineTable& engines, std::string zone, std::uint64_t seed)
    : knobs_(knobs), engines_(engines), zone_(std::move(zone)), random_(seed) {}

RouteChoice Router::choose(const RouteQuery& query, TimePoint now) {
  std::vector<const EngineView*> candidates = engines_.candidates(*query.service, now);
  std::erase_if(candidates, [&](const EngineView* engine) {
    return query.excluded.contains(engine->config.name);
  });
  if (candidates.empty()) {
    return {nullptr, RouteFailure::kNoEligibleEngine};
  }
  std::erase_if(candidates, [](const EngineView* engine) { return !open_for_online(*engine); });
  if (candidates.empty()) {
    return {nullptr, RouteFailure::kAllBusy};
  }
  const EngineView* engine =
      query.prefix_key == 0 ? nullptr : choose_by_prefix(candidates, query.prefix_key);
  if (engine == nullptr) {
    engine = choose_of_two(candidates);
  }
  return {engine, RouteFailure::kNone};
}

const EngineView* Router::choose_by_prefix(const std::vector<const EngineView*>& open,
                                           std::uint64_t prefix_key) const {
  const std::string key = std::to_string(prefix_key);
  const auto score = [&](const EngineView* engine) {
    return rendezvous_score(key, engine->config.name);
  };
  const auto best = std::max_element(
      open.begin(), open.end(),
      [&](const EngineView* left, const EngineView* right) { return score(left) < score(right); });
  const double total = std::accumulate(
      open.begin(), open.end(), 0.0,
      [](double sum, const EngineView* engine) { return sum + engine->online_utilization(); });
  const double mean = total / static_cast<double>(open.size());
  const double one_request = 1.0 / (*best)->config.slots;
  const bool within_bound =
      (*best)->online_utilization() <= knobs_.affinity_load_bound * mean + one_request;
  return within_bound ? *best : nullptr;
}

const EngineView* Router::choose_of_two(const std::vector<const EngineView*>& open) {
  std::uniform_int_distribution<std::size_t> pick(0, open.size() - 1);
  const EngineView* first = open[pick(random_)];
  const EngineView* second = open[pick(random_)];
  return cost(*second) < cost(*first) ? second : first;
}

double Router::cost(const EngineView& engine) const {
  const double distance = engine.config.zone() == zone_ ? 0.0 : kOtherZoneCost;
  return engine.online_utilization() + distance;
}

}  // namespace dockpoint
