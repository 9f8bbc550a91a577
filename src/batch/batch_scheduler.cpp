#include "dockpoint/batch/batch_scheduler.hpp"

#include <algorithm>
#include <tuple>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

const BatchCandidate* BatchScheduler::choose(const std::vector<BatchCandidate>& candidates) {
  const auto rank = [this](const BatchCandidate& candidate) {
    return std::make_tuple(shares_.virtual_time(candidate.tenant), -candidate.priority,
                           candidate.slack_seconds, std::string_view(candidate.job));
  };
  for (const BatchCandidate& candidate : candidates) {
    shares_.activate(candidate.tenant);
  }
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
  return best == candidates.end() ? nullptr : &*best;
}

void BatchScheduler::charge(const BatchCandidate& candidate) {
  shares_.charge(candidate.tenant, 1.0, candidate.weight);
}

int batch_allowance(const Knobs& knobs, const EngineView& engine, const LimitsConfig& limits,
                    const std::string& node, int nodes, TimePoint now) {
  if (!knobs.mechanisms.batch_allowance) {
    return engine.config.slots;
  }
  const bool known = engine.reported && now - engine.reported_at < knobs.load_stale_after;
  if (!known || engine.load.waiting_online > 0) {
    return 0;
  }
  constexpr int kPercent = 100;
  const int slots = engine.config.slots;
  const int reserve = (slots * limits.batch_reserve_percent + kPercent - 1) / kPercent;
  const int idle = std::max(0, slots - reserve - engine.estimated_online());
  const int sharers = std::max(1, nodes);
  const auto rank = static_cast<int>(rendezvous_score(engine.config.name, node) %
                                     static_cast<std::uint64_t>(sharers));
  return idle / sharers + (rank < idle % sharers ? 1 : 0);
}

}  // namespace dockpoint
