#include "dockpoint/routing/engine_table.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

std::uint32_t engine_key(const std::string& name) {
  return static_cast<std::uint32_t>(hash64(name));
}

int EngineView::estimated_online() const {
  return online_in_flight + online_of_other_nodes;
}

double EngineView::online_utilization() const {
  return static_cast<double>(estimated_online()) / config.slots;
}

bool EngineView::leaving() const {
  const bool announced = left_incarnation != 0 && left_incarnation >= load.incarnation;
  return config.draining || listed_as_leaving || announced;
}

void EngineTable::configure(std::shared_ptr<const FleetConfig> config) {
  config_ = std::move(config);
  std::map<std::string, EngineView> next;
  for (const auto& [name, engine] : config_->engines) {
    const auto known = engines_.find(name);
    const bool same = known != engines_.end() && known->second.config.address == engine.address;
    EngineView view = same ? known->second : EngineView{};
    view.config = engine;
    next.emplace(name, std::move(view));
  }
  engines_ = std::move(next);
  names_by_key_.clear();
  for (const auto& [name, view] : engines_) {
    names_by_key_[engine_key(name)] = name;
  }
  set_leaving_addresses(leaving_addresses_);
}

bool EngineTable::report(const std::string& engine, const EngineLoad& load, TimePoint now) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return false;
  }
  EngineView& view = found->second;
  if (view.reported && !load.newer_than(view.load)) {
    return false;
  }
  if (load.leaving) {
    view.left_incarnation = load.incarnation;
  }
  view.load = load;
  view.reported = true;
  view.reported_at = now;
  // The report lags and may count requests of this node that have ended since. Only the part beyond
  // this node's recent peak is attributed to other nodes.
  const int reported_online = static_cast<int>(load.running_online + load.waiting_online);
  const int own = std::max(view.online_peak, view.previous_online_peak);
  view.online_of_other_nodes = std::max(0, reported_online - own);
  view.previous_online_peak = view.online_peak;
  view.online_peak = view.online_in_flight;
  return true;
}

bool EngineTable::report(const EngineDigest& digest, TimePoint now) {
  const auto name = names_by_key_.find(digest.engine_key);
  return name != names_by_key_.end() && report(name->second, digest.load, now);
}

void EngineTable::set_leaving_addresses(const std::vector<std::string>& addresses) {
  leaving_addresses_ = addresses;
  for (auto& [name, view] : engines_) {
    view.listed_as_leaving =
        std::find(addresses.begin(), addresses.end(), view.config.address) != addresses.end();
  }
}

void EngineTable::started(const std::string& engine, WorkClass work) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return;
  }
  if (work == WorkClass::kBatch) {
    ++found->second.batch_in_flight;
    return;
  }
  EngineView& view = found->second;
  ++view.online_in_flight;
  view.online_peak = std::max(view.online_peak, view.online_in_flight);
}

void EngineTable::ended(const std::string& engine, WorkClass work, EngineHealthSignal signal,
                        TimePoint now) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return;
  }
  EngineView& view = found->second;
  if (work == WorkClass::kBatch) {
    view.batch_in_flight = std::max(0, view.batch_in_flight - 1);
  } else {
    view.online_in_flight = std::max(0, view.online_in_flight - 1);
  }
  if (signal == EngineHealthSignal::kAnswered) {
    view.failures_in_row = 0;
    view.ejections = 0;
    return;
  }
  ++view.failures_in_row;
  if (view.failures_in_row >= knobs_.ejection_failures) {
    eject(view, now);
  }
}

void EngineTable::eject(EngineView& engine, TimePoint now) {
  constexpr int kMaximumDoublings = 10;
  const Duration time = knobs_.ejection_time * (1 << std::min(engine.ejections, kMaximumDoublings));
  engine.ejected_until = now + std::min(time, knobs_.ejection_time_limit);
  ++engine.ejections;
  // After the ejection a single failure ejects the engine again.
  engine.failures_in_row = knobs_.ejection_failures - 1;
}

bool EngineTable::usable(const EngineView& engine, TimePoint now) const {
  const bool stays = !engine.leaving() || !knobs_.mechanisms.leave_tracking;
  return stays && now >= engine.ejected_until;
}

std::vector<const EngineView*> EngineTable::candidates(const ServiceConfig& service,
                                                       TimePoint now) const {
  std::vector<const EngineView*> found;
  for (const auto& [name, view] : engines_) {
    if (FleetConfig::eligible(view.config, service) && usable(view, now)) {
      found.push_back(&view);
    }
  }
  return found;
}

const EngineView* EngineTable::find(const std::string& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

}  // namespace dockpoint
