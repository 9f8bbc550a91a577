#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>

#include "dockpoint/routing/engine_table.hpp"

namespace dockpoint {

/// What the choice of an engine depends on.
struct RouteQuery {
  const ServiceConfig* service = nullptr;
  std::uint64_t prefix_key = 0;    ///< Hash of the start of the prompt; 0: none.
  std::set<std::string> excluded;  ///< Engines that failed this request before.
};

/// Why there is no engine.
enum class RouteFailure { kNone, kNoEligibleEngine, kAllBusy };

struct RouteChoice {
  const EngineView* engine = nullptr;  ///< Null on failure; valid until the table changes.
  RouteFailure failure = RouteFailure::kNone;
};

/// Chooses the engine of an online request.
///
/// Requests that share a prefix go to the same engine, by rendezvous hashing, so that its prefix
/// cache is used, unless it is loaded above `affinity_load_bound` times the mean. Otherwise the
/// less loaded of two random candidates is taken, its own zone first among equals: choosing the
/// least loaded of all would send every node to the same engine while reports lag.
class Router {
 public:
  /// @param zone of this node.
  Router(const Knobs& knobs, const EngineTable& engines, std::string zone, std::uint64_t seed);

  RouteChoice choose(const RouteQuery& query, TimePoint now);

 private:
  const EngineView* by_prefix(const std::vector<const EngineView*>& open,
                              std::uint64_t prefix_key) const;
  const EngineView* by_two_choices(const std::vector<const EngineView*>& open);
  double cost(const EngineView& engine) const;

  const Knobs& knobs_;
  const EngineTable& engines_;
  const std::string zone_;
  std::mt19937_64 random_;
};

}  // namespace dockpoint
