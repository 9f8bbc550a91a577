#include "dockpoint/batch/batch_dispatcher.hpp"

#include <algorithm>

namespace dockpoint {
namespace {

/// Assumed duration of one item. Used only to rank jobs by slack.
constexpr double kExpectedItemSeconds = 1.0;

}  // namespace

BatchDispatcher::BatchDispatcher(const Knobs& knobs, Options options, EngineTable& engines,
                                 Partitions& partitions, Dispatch dispatch)
    : knobs_(knobs),
      options_(std::move(options)),
      engines_(engines),
      partitions_(partitions),
      dispatch_(std::move(dispatch)) {}

std::uint32_t BatchDispatcher::demand(TimePoint now, UnixSeconds wall_clock) {
  const std::size_t jobs = candidates(now, wall_clock).size();
  return static_cast<std::uint32_t>(jobs + static_cast<std::size_t>(in_flight_));
}

std::vector<BatchCandidate> BatchDispatcher::candidates(TimePoint now, UnixSeconds wall_clock) {
  std::vector<BatchCandidate> found;
  for (const auto& [number, partition] : partitions_) {
    if (!partition->may_send(now)) {
      continue;
    }
    for (const std::string& id : partition->sendable_jobs()) {
      if (!partition->has_ready_item(id, now)) {
        continue;
      }
      const JobState& job = partition->state().jobs().at(id);
      const double left = static_cast<double>(job.spec.items - job.completed);
      const auto until_deadline = static_cast<double>(job.spec.deadline - wall_clock);
      found.push_back({number, id, job.spec.tenant,
                       engines_.config().tenant_weight(job.spec.tenant), job.spec.priority,
                       until_deadline - left * kExpectedItemSeconds});
    }
  }
  return found;
}

void BatchDispatcher::send_items(int nodes, TimePoint now, UnixSeconds wall_clock) {
  std::vector<BatchCandidate> ready = candidates(now, wall_clock);
  while (in_flight_ < options_.maximum_in_flight && !ready.empty()) {
    if (!send_one(ready, nodes, now)) {
      return;
    }
    std::erase_if(ready, [&](const BatchCandidate& candidate) {
      return !partitions_.at(candidate.partition)->has_ready_item(candidate.job, now);
    });
  }
}

bool BatchDispatcher::send_one(const std::vector<BatchCandidate>& candidates, int nodes,
                               TimePoint now) {
  const auto spec_of = [this](const BatchCandidate& candidate) -> const JobSpec& {
    return partitions_.at(candidate.partition)->state().find_job(candidate.job)->spec;
  };
  std::vector<BatchCandidate> servable;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(servable),
               [&](const BatchCandidate& candidate) {
                 return engine_for(spec_of(candidate), nodes, now) != nullptr;
               });
  const BatchCandidate* chosen = scheduler_.choose(servable);
  if (chosen == nullptr) {
    return false;
  }
  const EngineView* engine = engine_for(spec_of(*chosen), nodes, now);
  std::optional<ItemDispatch> item = partitions_.at(chosen->partition)->take_item(chosen->job, now);
  if (!item) {
    return true;  // The item is sent once its attempt record is confirmed.
  }
  item->engine = engine->config.name;
  item->engine_address = engine->config.address;
  scheduler_.charge(*chosen);
  engines_.started(item->engine, WorkClass::kBatch);
  ++in_flight_;
  dispatch_(*item);
  return true;
}

const EngineView* BatchDispatcher::engine_for(const JobSpec& job, int nodes, TimePoint now) {
  const ServiceConfig* service = engines_.config().find_service(job.service);
  if (service == nullptr) {
    return nullptr;
  }
  const Selector& selector = selector_of(job);
  const EngineView* best = nullptr;
  int best_room = 0;
  for (const EngineView* engine : engines_.candidates(*service, now)) {
    if (!selector.matches(engine->config.labels)) {
      continue;
    }
    const int allowance =
        batch_allowance(knobs_, *engine, engines_.config().limits, options_.node, nodes, now);
    const int room = allowance - engine->batch_in_flight;
    if (room > best_room) {
      best = engine;
      best_room = room;
    }
  }
  return best;
}

const Selector& BatchDispatcher::selector_of(const JobSpec& job) {
  const auto known = selectors_.find(job.selector);
  if (known != selectors_.end()) {
    return known->second;
  }
  Selector selector;
  if (!job.selector.empty()) {
    // The selector was validated when the job was accepted.
    error_of([&]() -> Result<void> {
      BOOST_LEAF_AUTO(object, parse_json_object(job.selector));
      Problems problems;
      selector = Selector::read(ObjectReader(object, "", problems));
      return {};
    });
  }
  return selectors_.emplace(job.selector, std::move(selector)).first->second;
}

void BatchDispatcher::item_ended(const ItemOutcome& outcome, TimePoint now) {
  in_flight_ = std::max(0, in_flight_ - 1);
  const bool failed = outcome.end == ItemEnd::kNotSent || outcome.end == ItemEnd::kUnknown;
  engines_.ended(outcome.engine, WorkClass::kBatch,
                 failed ? EngineHealthSignal::kFailed : EngineHealthSignal::kAnswered, now);
}

}  // namespace dockpoint
