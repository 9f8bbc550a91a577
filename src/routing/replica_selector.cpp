#include "dockpoint/routing/replica_selector.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

double to_milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
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
  const auto home_keys = homes(directory_.ready(query.service), steps);
  const double prompt_tokens = steps.empty() ? 0 : steps.back().tokens;
  std::uniform_real_distribution<double> jitter(0.0, knobs_.selection_jitter_ms);
  Candidate best;
  for (const Replica* replica : open) {
    Candidate candidate{replica, 0, wait_ms(*replica, query.service, now), 0};
    candidate.missing_tokens = prompt_tokens - cached_tokens(*replica, steps, home_keys, now);
    const double reading =
        replica->prefill_tokens + peer_prefill(*replica, now) + candidate.missing_tokens;
    const int slots = std::max(1, replica->record.slots);
    const double fill = std::min(1.0, static_cast<double>(replica->load(now)) / slots);
    candidate.cost_ms = candidate.wait_ms + reading / knobs_.prefill_tokens_per_ms +
                        fill * knobs_.slot_pressure_ms + jitter(random_);
    candidate.cost_ms += replica->record.zone == zone_ ? 0 : knobs_.remote_zone_ms;
    candidate.cost_ms += now < replica->cold_until ? knobs_.cold_replica_ms : 0;
    if (best.replica == nullptr || candidate.cost_ms < best.cost_ms) {
      best = candidate;
    }
  }
  return {
      best.replica,
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(best.wait_ms)),
      best.missing_tokens};
}

std::vector<const Replica*> ReplicaSelector::candidates(const ReplicaQuery& query,
                                                        TimePoint now) const {
  std::vector<const Replica*> ready = directory_.ready(query.service);
  std::erase_if(
      ready, [&](const Replica* replica) { return query.excluded.contains(replica->record.id); });
  std::vector<const Replica*> open;
  for (const Replica* replica : ready) {
    const bool trial_taken = replica->on_trial() && replica->online + replica->batch > 0;
    if (directory_.ejected(*replica, now) || trial_taken) {
      continue;
    }
    const double limit = knobs_.batch_fill * std::max(1, replica->record.slots);
    if (query.traffic == TrafficClass::kBatch && replica->load(now) >= limit) {
      continue;
    }
    open.push_back(replica);
  }
  if (open.empty() && query.traffic == TrafficClass::kOnline) {
    return ready;  // Better a replica that failed lately than none.
  }
  return open;
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

std::pair<std::uint32_t, std::uint32_t> ReplicaSelector::homes(
    const std::vector<const Replica*>& all, const std::vector<PrefixStep>& steps) const {
  if (steps.size() < 2) {
    return {0, 0};
  }
  const std::uint64_t chain = steps[steps.size() - 2].chain;
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
  if (steps.size() >= 2) {
    const double shared = steps[steps.size() - 2].tokens;
    const double confidence = replica.key == homes.first    ? knobs_.home_confidence
                              : replica.key == homes.second ? knobs_.second_home_confidence
                                                            : 0;
    cached = std::max(cached, shared * confidence);
  }
  return cached;
}

double ReplicaSelector::peer_prefill(const Replica& replica, TimePoint now) const {
  const double read = to_milliseconds(now - replica.peer_prefill_at) * knobs_.prefill_tokens_per_ms;
  return std::max(0.0, replica.peer_prefill_tokens - read);
}

double ReplicaSelector::wait_ms(const Replica& replica, const std::string& service,
                                TimePoint now) const {
  const int slots = std::max(1, replica.record.slots);
  const int beyond = replica.load(now) - slots + 1;
  if (beyond <= 0) {
    return 0;
  }
  const auto known = service_ms_.find(service);
  const double service_ms =
      known == service_ms_.end() ? to_milliseconds(knobs_.initial_service_time) : known->second;
  return beyond * service_ms / slots;
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
  const auto [entry, added] = service_ms_.try_emplace(service, sample);
  if (!added) {
    entry->second += kWeight * (sample - entry->second);
  }
}

double ReplicaSelector::utilization(const std::string& service, TimePoint now) const {
  int slots = 0;
  int load = 0;
  for (const Replica* replica : directory_.ready(service)) {
    slots += std::max(1, replica->record.slots);
    load += replica->load(now);
  }
  return slots == 0 ? 1.0 : static_cast<double>(load) / slots;
}

}  // namespace dockpoint
