#include "dockpoint/routing/replica_selector.hpp"

#include <algorithm>
#include <cmath>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/routing/arrival_estimate.hpp"

namespace dockpoint {
namespace {

/// Above this exponent, softplus equals its argument.
constexpr double kLargeExponent = 40;

double to_milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration from_milliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace

ReplicaSelector::ReplicaSelector(const Knobs& knobs, const ReplicaDirectory& directory,
                                 std::string zone, std::uint64_t seed)
    : knobs_(knobs), directory_(directory), zone_(std::move(zone)), random_(seed) {}

ReplicaChoice ReplicaSelector::choose(const ReplicaQuery& query, TimePoint now) {
  const std::vector<const Replica*> open = candidates(query, now);
  if (open.empty()) {
    return {};
  }
  const std::vector<PrefixStep> steps = steps_of(query.prompt);
  if (const Candidate own = own_slot(query, steps, now); own.replica != nullptr) {
    return record_choice(query.service, own, now);
  }
  const auto home_keys = homes(directory_.ready(query.service), steps);
  const double prompt_tokens = steps.empty() ? 0 : steps.back().tokens;
  const WaterFilling filling = spread_unseen(open, query, now);
  std::vector<Candidate> all;
  all.reserve(open.size());
  for (std::size_t index = 0; index < open.size(); ++index) {
    const Replica& replica = *open[index];
    Candidate candidate;
    candidate.replica = &replica;
    candidate.expected_load = replica.load(now) + filling.expected()[index];
    candidate.competing_load = candidate.expected_load - yielding_items(replica, query.traffic);
    candidate.missing_tokens = prompt_tokens - cached_tokens(replica, steps, home_keys, now);
    all.push_back(candidate);
  }
  Candidate* best = nullptr;
  for (const std::size_t index : shortlist(all, prompt_tokens, filling)) {
    Candidate& candidate = all[index];
    candidate.wait_ms = wait_ms(*candidate.replica, candidate.competing_load, query.service, now);
    candidate.cost_ms = cost_ms(candidate, now);
    if (best == nullptr || candidate.cost_ms < best->cost_ms - knobs_.selection_margin_ms) {
      best = &candidate;
    }
  }
  return record_choice(query.service, *best, now);
}

ReplicaChoice ReplicaSelector::record_choice(const std::string& service, const Candidate& candidate,
                                             TimePoint now) {
  history_of(service).sends.add(now);
  if (cold_limiter_ != nullptr && now < candidate.replica->cold_until) {
    cold_limiter_->sent(service, candidate.replica->key, now);
  }
  return {candidate.replica, from_milliseconds(candidate.wait_ms), candidate.missing_tokens,
          candidate.expected_load, candidate.own_slot};
}

ReplicaSelector::Candidate ReplicaSelector::own_slot(const ReplicaQuery& query,
                                                     const std::vector<PrefixStep>& steps,
                                                     TimePoint now) {
  if (shares_ == nullptr || query.traffic != TrafficClass::kOnline) {
    return {};
  }
  const PrefixStep* shared = shared_step(steps);
  if (shared != nullptr && shared->tokens >= knobs_.affinity_tokens) {
    return {};
  }
  const double prompt_tokens = steps.empty() ? 0 : steps.back().tokens;
  Candidate best;
  double best_end_ms = 0;
  for (const SlotShare& share : shares_->shares_for(query.service, directory_)) {
    const Replica* replica = directory_.find_key(share.replica_key);
    // Keys may collide, even between replicas of different services.
    const bool of_service = replica != nullptr && replica->record.service == query.service;
    if (!of_service || replica->online >= share.slots || replica->full(now) ||
        !usable(*replica, query, now)) {
      continue;
    }
    Candidate candidate;
    candidate.replica = replica;
    candidate.expected_load = replica->load(now);
    candidate.competing_load = candidate.expected_load - yielding_items(*replica, query.traffic);
    candidate.missing_tokens = prompt_tokens - cached_tokens(*replica, steps, {0, 0}, now);
    candidate.wait_ms = wait_ms(*replica, candidate.competing_load, query.service, now);
    candidate.cost_ms = cost_ms(candidate, now);
    candidate.own_slot = true;
    // Prefer faster replicas: their slots become free sooner for the next request.
    const double slower = directory_.paces().expected(replica->key, now) - 1;
    const double end_ms = candidate.cost_ms + slower * service_ms(query.service);
    if (best.replica == nullptr || end_ms < best_end_ms) {
      best = candidate;
      best_end_ms = end_ms;
    }
  }
  return best;
}

double ReplicaSelector::unseen_requests(const std::vector<const Replica*>& open,
                                        const std::string& service, TimePoint now) const {
  constexpr double kMinUnseen = 0.5;
  ArrivalObservation observation;
  for (const Replica* replica : open) {
    observation.in_flight += replica->all_online();
  }
  observation.service_time = from_milliseconds(service_ms(service));
  const auto known = services_.find(service);
  observation.own_requests = known == services_.end() ? 0 : known->second.sends.value(now);
  observation.memory = knobs_.arrival_memory;
  observation.nodes = static_cast<double>(directory_.peers()) + 1;
  observation.prior_requests = knobs_.arrival_prior_requests;
  const Duration delay = knobs_.load_view_delay + directory_.mean_peer_age(now);
  return std::max(kMinUnseen, expected_arrivals(observation, delay));
}

double ReplicaSelector::service_ms(const std::string& service) const {
  const auto known = services_.find(service);
  const bool learnt = known != services_.end() && known->second.service_ms > 0;
  return learnt ? known->second.service_ms : to_milliseconds(knobs_.initial_service_time);
}

WaterFilling ReplicaSelector::spread_unseen(const std::vector<const Replica*>& open,
                                            const ReplicaQuery& query, TimePoint now) const {
  std::vector<SlotLoad> loads;
  loads.reserve(open.size());
  for (const Replica* replica : open) {
    loads.push_back({replica->load(now) - yielding_items(*replica, query.traffic),
                     static_cast<double>(std::max(1, replica->record.slots))});
  }
  return {loads, unseen_requests(open, query.service, now)};
}

double ReplicaSelector::yielding_items(const Replica& replica, TrafficClass traffic) const {
  return traffic == TrafficClass::kOnline ? knobs_.yield_trust * replica.all_batch() : 0;
}

std::vector<std::size_t> ReplicaSelector::shortlist(const std::vector<Candidate>& all,
                                                    double prompt_tokens,
                                                    const WaterFilling& filling) {
  std::vector<double> preference;
  preference.reserve(all.size());
  for (const Candidate& candidate : all) {
    const bool own_zone = candidate.replica->record.zone == zone_;
    preference.push_back(own_zone ? knobs_.own_zone_preference : 1.0);
  }
  std::vector<std::size_t> compared = filling.draw(knobs_.selection_draws, preference, random_);
  for (std::size_t index = 0; index < all.size(); ++index) {
    if (prompt_tokens - all[index].missing_tokens >= knobs_.affinity_tokens) {
      compared.push_back(index);
    }
  }
  return compared;
}

double ReplicaSelector::cost_ms(const Candidate& candidate, TimePoint now) const {
  const Replica& replica = *candidate.replica;
  const double reading =
      replica.prefill_tokens + peer_prefill(replica, now) + candidate.missing_tokens;
  const double fill = candidate.competing_load / std::max(1, replica.record.slots);
  const double pace = directory_.paces().expected(replica.key, now);
  double cost = candidate.wait_ms + pace * reading / knobs_.prefill_tokens_per_ms;
  cost += std::min(1.0, fill) * knobs_.slot_pressure_ms;
  cost += replica.record.zone == zone_ ? 0 : knobs_.remote_zone_ms;
  cost += now < replica.cold_until ? knobs_.cold_replica_ms : 0;
  return cost;
}

std::vector<const Replica*> ReplicaSelector::candidates(const ReplicaQuery& query,
                                                        TimePoint now) const {
  std::vector<const Replica*> ready = directory_.ready(query.service);
  std::erase_if(ready, [&](const Replica* replica) {
    return !eligible(*replica, query) || over_cold_limit(*replica, now);
  });
  std::vector<const Replica*> open;
  for (const Replica* replica : ready) {
    if (!trusted(*replica, now)) {
      continue;
    }
    const double limit = knobs_.batch_fill * std::max(1, replica->record.slots);
    if (query.traffic == TrafficClass::kBatch && replica->load(now) >= limit) {
      continue;
    }
    open.push_back(replica);
  }
  if (open.empty() && query.traffic == TrafficClass::kOnline) {
    return ready;  // A replica that failed recently is better than none.
  }
  return open;
}

bool ReplicaSelector::trusted(const Replica& replica, TimePoint now) const {
  const bool trial_taken = replica.on_trial() && replica.online + replica.batch > 0;
  return !directory_.ejected(replica, now) && !replica.outlier && !trial_taken;
}

bool ReplicaSelector::usable(const Replica& replica, const ReplicaQuery& query,
                             TimePoint now) const {
  return directory_.takes_work(replica) && eligible(replica, query) &&
         !over_cold_limit(replica, now) && trusted(replica, now);
}

bool ReplicaSelector::eligible(const Replica& replica, const ReplicaQuery& query) {
  const bool version_fits =
      query.software_version.empty() || replica.record.software_version == query.software_version;
  return version_fits && !query.excluded.contains(replica.record.id);
}

bool ReplicaSelector::over_cold_limit(const Replica& replica, TimePoint now) const {
  return cold_limiter_ != nullptr && now < replica.cold_until &&
         !cold_limiter_->admits(replica.record.service, replica.key, now);
}

std::vector<ReplicaSelector::PrefixStep> ReplicaSelector::steps_of(
    const std::vector<PromptPart>& prompt) const {
  std::vector<PrefixStep> steps;
  std::uint64_t chain = 0;
  double tokens = 0;
  for (const PromptPart& part : prompt) {
    chain = combine_hash(chain, part.id);
    tokens += part.tokens;
    const auto found = by_chain_.find(chain);
    steps.push_back({chain, tokens, found == by_chain_.end() ? nullptr : &*found->second});
  }
  return steps;
}

const ReplicaSelector::PrefixStep* ReplicaSelector::shared_step(
    const std::vector<PrefixStep>& steps) {
  return steps.size() < 2 ? nullptr : &steps[steps.size() - 2];
}

std::pair<std::uint32_t, std::uint32_t> ReplicaSelector::homes(
    const std::vector<const Replica*>& all, const std::vector<PrefixStep>& steps) const {
  const PrefixStep* shared = shared_step(steps);
  if (shared == nullptr) {
    return {0, 0};
  }
  const std::uint64_t chain = shared->chain;
  std::pair<std::uint64_t, std::uint32_t> first{0, 0};
  std::pair<std::uint64_t, std::uint32_t> second{0, 0};
  for (const Replica* replica : all) {
    const std::pair<std::uint64_t, std::uint32_t> scored{combine_hash(chain, replica->key),
                                                         replica->key};
    if (scored > first) {
      second = first;
      first = scored;
    } else if (scored > second) {
      second = scored;
    }
  }
  return {first.second, second.second};
}

double ReplicaSelector::cached_tokens(const Replica& replica, const std::vector<PrefixStep>& steps,
                                      const std::pair<std::uint32_t, std::uint32_t>& homes,
                                      TimePoint now) const {
  double cached = 0;
  for (const PrefixStep& step : steps) {
    if (step.entry == nullptr) {
      break;
    }
    const auto& known = step.entry->replicas;
    const auto found = std::find_if(known.begin(), known.end(), [&](const auto& entry) {
      return entry.first == replica.key && now - entry.second < knobs_.prefix_lifetime;
    });
    if (found == known.end()) {
      break;
    }
    cached = step.tokens;
  }
  if (const PrefixStep* shared = shared_step(steps)) {
    const double confidence = replica.key == homes.first    ? knobs_.home_confidence
                              : replica.key == homes.second ? knobs_.second_home_confidence
                                                            : 0;
    cached = std::max(cached, shared->tokens * confidence);
  }
  return cached;
}

double ReplicaSelector::peer_prefill(const Replica& replica, TimePoint now) const {
  const double read = to_milliseconds(now - replica.peer_prefill_at) * knobs_.prefill_tokens_per_ms;
  return std::max(0.0, replica.peer_prefill_tokens - read);
}

double ReplicaSelector::wait_ms(const Replica& replica, double expected_load,
                                const std::string& service, TimePoint now) const {
  const int slots = std::max(1, replica.record.slots);
  // The load is an expected value: near the limit, the request waits with some probability.
  const double beyond = expected_load + 1 - slots;
  const double spread = knobs_.load_uncertainty;
  const double waiting = spread * std::log1p(std::exp(std::min(beyond / spread, kLargeExponent)));
  const double hold_ms = service_ms(service) * directory_.paces().expected(replica.key, now);
  return std::max(waiting, beyond) * hold_ms / slots;
}

void ReplicaSelector::note_prompt(const std::string& replica, const std::vector<PromptPart>& prompt,
                                  TimePoint now) {
  const Replica* known = directory_.find(replica);
  if (known == nullptr) {
    return;
  }
  std::uint64_t chain = 0;
  for (const PromptPart& part : prompt) {
    chain = combine_hash(chain, part.id);
    PrefixEntry& entry = touch(chain);
    const auto found = std::find_if(entry.replicas.begin(), entry.replicas.end(),
                                    [&](const auto& held) { return held.first == known->key; });
    if (found != entry.replicas.end()) {
      found->second = now;
      continue;
    }
    if (entry.replicas.size() >= knobs_.prefix_replicas) {
      entry.replicas.erase(entry.replicas.begin());
    }
    entry.replicas.emplace_back(known->key, now);
  }
}

ReplicaSelector::PrefixEntry& ReplicaSelector::touch(std::uint64_t chain) {
  const auto found = by_chain_.find(chain);
  if (found != by_chain_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return recent_.front();
  }
  if (recent_.size() >= knobs_.prefix_entries) {
    by_chain_.erase(recent_.back().chain);
    recent_.pop_back();
  }
  recent_.push_front({chain, {}});
  by_chain_[chain] = recent_.begin();
  return recent_.front();
}

void ReplicaSelector::note_service_time(const std::string& service, Duration time) {
  constexpr double kWeight = 0.05;
  const double sample = to_milliseconds(time);
  double& mean = history_of(service).service_ms;
  mean = mean <= 0 ? sample : mean + kWeight * (sample - mean);
}

ReplicaSelector::ServiceHistory& ReplicaSelector::history_of(const std::string& service) {
  return services_.try_emplace(service, ServiceHistory{0, DecayingCount(knobs_.arrival_memory)})
      .first->second;
}

}  // namespace dockpoint
