#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>

#include "dockpoint/routing/engine_table.hpp"

namespace dockpoint {

/// Input of the choice of an engine.
struct RouteQuery {
  const ServiceConfig* service = nullptr;
  std::uint64_t prefix_key = 0;    ///< Hash of the prompt's prefix; 0: none.
  std::set<std::string> excluded;  ///< Engines on which this request has failed before.
};

/// Why no engine was chosen.
enum class RouteFailure { kNone, kNoEligibleEngine, kAllBusy };

struct RouteChoice {
  const EngineView* engine = nullptr;  ///< Null on failure; valid until the table changes.
  RouteFailure failure = RouteFailure::kNone;
};

/// Chooses the engine of an online request.
///
/// Requests with the same prefix go to the same engine, chosen by rendezvous hashing, to use its
/// prefix cache, unless its load exceeds `affinity_load_bound` times the mean. Otherwise the less
/// loaded of two random candidates is taken, with a preference for the node's own zone between
/// similarly loaded ones. Choosing the least loaded of all engines would send every node to the
/// same engine, because load reports lag.
class Router {
 public:
  /// @param zone zone of this node.
  Router(const Knobs& knobs, const EngineTable& engines, std::string zone, std::uint64_t seed);

  RouteChoice choose(const RouteQuery& query, TimePoint now);

 private:
  const EngineView* choose_by_prefix(const std::vector<const EngineView*>& open,
                                     std::uint64_t prefix_key) const;
  const EngineView* choose_of_two(const std::vector<const EngineView*>& open);
  double cost(const EngineView& engine) const;

  const Knobs& knobs_;
  const EngineTable& engines_;
  const std::string zone_;
  std::mt19937_64 random_;
};

}  // namespace dockpoint
