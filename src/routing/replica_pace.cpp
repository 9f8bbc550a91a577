#include "dockpoint/routing/replica_pace.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace dockpoint {
namespace {

/// Samples are clamped to this many mean deviations from the level.
constexpr double kMaxDeviations = 2.5;
/// Assumed mean deviation of the samples at first; logarithmic.
constexpr double kInitialDeviation = 0.3;
/// Lower bound of the mean deviation in the clamp; logarithmic.
constexpr double kMinDeviation = 0.05;
/// Hysteresis: a replica whose factor differs from 1 keeps it down to this share of the threshold,
/// logarithmic, so that a replica near the threshold does not oscillate.
constexpr double kHysteresisShare = 0.6;
/// Standard errors by which a level has to differ from the median to be significant.
constexpr double kCertainErrors = 2.5;

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

const char* to_string(PaceClass pace) {
  switch (pace) {
    case PaceClass::kFast:
      return "fast";
    case PaceClass::kUsual:
      return "usual";
    case PaceClass::kSlow:
      return "slow";
  }
  return "unknown";
}

void ReplicaPaces::add(std::uint32_t replica_key, const std::string& service) {
  ReplicaState known;
  known.service = service;
  replicas_[replica_key] = std::move(known);
}

void ReplicaPaces::forget(std::uint32_t replica_key) {
  replicas_.erase(replica_key);
}

void ReplicaPaces::observed(std::uint32_t replica_key, PaceSample kind, Duration step,
                            TimePoint /*now*/) {
  const auto found = replicas_.find(replica_key);
  const double microseconds = std::chrono::duration<double, std::micro>(step).count();
  if (found == replicas_.end() || microseconds < 1) {
    return;
  }
  Service& service = services_[found->second.service];
  if (kind == PaceSample::kEvent && !std::exchange(service.streams, true)) {
    for (auto& [key, known] : replicas_) {
      known.step = known.service == found->second.service ? Level{} : known.step;
    }
  }
  if (kind == PaceSample::kRun && service.streams) {
    return;
  }
  Level& level = found->second.step;
  const double sample = std::log(microseconds);
  if (level.samples++ == 0) {
    level = {sample, kInitialDeviation, 1};
    return;
  }
  const double weight = 1.0 / std::min<double>(level.samples, knobs_.pace_memory_runs);
  const double most = kMaxDeviations * std::max(level.deviation, kMinDeviation);
  const double distance = std::clamp(sample - level.value, -most, most);
  level.value += weight * distance;
  level.deviation += weight * (std::abs(distance) - level.deviation);
}

void ReplicaPaces::stated(std::uint32_t replica_key, double factor, TimePoint now) {
  const auto found = replicas_.find(replica_key);
  if (found == replicas_.end() || !(factor > 0)) {
    return;
  }
  ReplicaState& known = found->second;
  const double limit = std::log(knobs_.pace_limit);
  known.stated = std::clamp(std::log(factor), -limit, limit);
  known.stated_at = now;
  // Only deviations from the long-term level count: a constant value says nothing about the
  // present.
  const double most = 1.0 / knobs_.pace_memory_runs;
  known.stated_usually += std::clamp(known.stated - known.stated_usually, -most, most);
}

void ReplicaPaces::add_peer_paces(std::uint32_t node, const std::vector<PaceEntry>& entries,
                                  TimePoint now) {
  for (const PaceEntry& entry : entries) {
    const auto found = replicas_.find(entry.replica_key);
    if (found == replicas_.end() || entry.step_us == 0) {
      continue;
    }
    auto& peer_levels = found->second.peer_levels;
    if (peer_levels.size() < knobs_.pace_report_sources || peer_levels.contains(node)) {
      peer_levels[node] = {std::log(entry.step_us), now};
    }
  }
}

double ReplicaPaces::expected(std::uint32_t replica_key, TimePoint now) const {
  const auto found = replicas_.find(replica_key);
  if (found == replicas_.end()) {
    return 1;
  }
  const ReplicaState& known = found->second;
  if (!known.stated_at) {
    return known.usual;
  }
  const Duration faded = now - *known.stated_at - knobs_.pace_stated_fresh;
  const double age = std::chrono::duration<double>(faded) / knobs_.pace_stated_fade;
  const double trust = 1 - std::clamp(age, 0.0, 1.0);
  const double moment = std::exp(trust * (known.stated - known.stated_usually));
  return std::clamp(known.usual * moment, 1 / knobs_.pace_limit, knobs_.pace_limit);
}

double ReplicaPaces::usual(std::uint32_t replica_key) const {
  const auto found = replicas_.find(replica_key);
  return found == replicas_.end() ? 1 : found->second.usual;
}

bool ReplicaPaces::learnt(const ReplicaState& known) const {
  return known.step.samples >= knobs_.pace_least_runs;
}

double ReplicaPaces::consensus_distance(const ReplicaState& known, double middle) const {
  std::vector<double> distances{0};
  for (const auto& [node, peer_level] : known.peer_levels) {
    distances.push_back(peer_level.value - middle);
  }
  std::sort(distances.begin(), distances.end());
  const double upper = distances[distances.size() / 2];
  const double lower = distances[(distances.size() - 1) / 2];
  return std::abs(upper) < std::abs(lower) ? upper : lower;
}

std::vector<PaceChange> ReplicaPaces::update(TimePoint now) {
  std::map<std::string, std::vector<ReplicaState*>> by_service;
  std::map<std::uint32_t, PaceClass> before;
  for (auto& [key, known] : replicas_) {
    std::erase_if(known.peer_levels, [&](const auto& entry) {
      return now - entry.second.received > knobs_.pace_report_lifetime;
    });
    before[key] = class_of(known);
    by_service[known.service].push_back(&known);
  }
  for (auto& [service, replicas] : by_service) {
    update_service(replicas, services_[service]);
  }
  std::vector<PaceChange> changes;
  for (const auto& [key, former] : before) {
    const ReplicaState& known = replicas_.at(key);
    if (class_of(known) != former) {
      changes.push_back({key, former, class_of(known), known.usual});
    }
  }
  return changes;
}

void ReplicaPaces::update_service(const std::vector<ReplicaState*>& replicas, Service& service) {
  std::set<std::uint32_t> reporting_nodes;
  for (const ReplicaState* known : replicas) {
    for (const auto& [node, peer_level] : known->peer_levels) {
      reporting_nodes.insert(node);
    }
  }
  // The reports of a single node are not used for the median of the service.
  std::vector<double> levels;
  for (const ReplicaState* known : replicas) {
    if (learnt(*known)) {
      levels.push_back(known->step.value);
    } else if (reporting_nodes.size() > 1 && !known->peer_levels.empty()) {
      std::vector<double> peer_levels;
      for (const auto& [node, peer_level] : known->peer_levels) {
        peer_levels.push_back(peer_level.value);
      }
      levels.push_back(median(std::move(peer_levels)));
    }
  }
  const double middle = levels.empty() ? 0 : median(levels);
  const double limit = std::log(knobs_.pace_limit);
  const double clear = std::log(knobs_.pace_clear_factor);
  service.differ = false;
  for (ReplicaState* known : replicas) {
    double distance = consensus_distance(*known, middle);
    double error = 0;
    if (learnt(*known)) {
      distance = known->step.value - middle;
      const double runs = std::min(known->step.samples, knobs_.pace_memory_runs);
      error = kCertainErrors * known->step.deviation / std::sqrt(runs);
    }
    const double bound = known->differs ? kHysteresisShare * clear : std::max(clear, error);
    known->differs = std::abs(distance) >= bound;
    known->usual = known->differs ? std::exp(std::clamp(distance, -limit, limit)) : 1;
    service.differ = service.differ || known->differs;
  }
}

std::vector<PaceEntry> ReplicaPaces::report(TimePoint now) {
  if (now < next_report_) {
    return {};
  }
  next_report_ = now + knobs_.pace_report_interval;
  std::vector<std::pair<int, PaceEntry>> known_best;
  for (const auto& [key, known] : replicas_) {
    const auto service = services_.find(known.service);
    if (service != services_.end() && service->second.differ && learnt(known)) {
      const auto step = static_cast<std::uint32_t>(std::lround(std::exp(known.step.value)));
      known_best.push_back({known.step.samples, {key, step}});
    }
  }
  std::sort(known_best.begin(), known_best.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  known_best.resize(std::min(known_best.size(), knobs_.pace_entries));
  std::vector<PaceEntry> entries;
  entries.reserve(known_best.size());
  for (const auto& [samples, entry] : known_best) {
    entries.push_back(entry);
  }
  return entries;
}

PaceClass ReplicaPaces::class_of(const ReplicaState& known) const {
  if (!known.differs) {
    return PaceClass::kUsual;
  }
  return known.usual > 1 ? PaceClass::kSlow : PaceClass::kFast;
}

std::map<PaceClass, int> ReplicaPaces::classes() const {
  std::map<PaceClass, int> counts{
      {PaceClass::kFast, 0}, {PaceClass::kUsual, 0}, {PaceClass::kSlow, 0}};
  for (const auto& [key, known] : replicas_) {
    ++counts[class_of(known)];
  }
  return counts;
}

}  // namespace dockpoint
