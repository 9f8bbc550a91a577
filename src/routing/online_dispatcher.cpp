#include "dockpoint/routing/online_dispatcher.hpp"

#include <algorithm>
#include <limits>

namespace dockpoint {
namespace {

/// Weight of the newest service time in the exponential moving average.
constexpr double kServiceTimeSmoothing = 0.05;

/// Longest window of the measured start rate, and the shortest busy period that allows an estimate.
constexpr Duration kRateWindow = std::chrono::seconds(5);
constexpr Duration kShortestBusyTime = std::chrono::milliseconds(500);

double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// A refusal counts as an answer: only unreachable or lost engines count as failed.
EngineHealthSignal health_signal(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
    case AttemptEnd::kUnknown:
    case AttemptEnd::kInterrupted:
      return EngineHealthSignal::kFailed;
    case AttemptEnd::kCompleted:
    case AttemptEnd::kRefused:
    case AttemptEnd::kDeadline:
    case AttemptEnd::kCallerGone:
      break;
  }
  return EngineHealthSignal::kAnswered;
}

bool may_have_run(AttemptEnd end) {
  return end != AttemptEnd::kNotSent && end != AttemptEnd::kRefused;
}

}  // namespace

OnlineDispatcher::OnlineDispatcher(const Knobs& knobs, EngineTable& engines, Router& router,
                                   OnlineActions& actions)
    : knobs_(knobs),
      engines_(engines),
      router_(router),
      actions_(actions),
      retry_budget_(knobs),
      mean_service_seconds_(to_seconds(knobs.initial_service_time)) {}

void OnlineDispatcher::configure(TimePoint now) {
  retry_budget_.set_percent(engines_.config().limits.retry_budget_percent);
  tick(now);
}

void OnlineDispatcher::submit(OnlineRequest request, TimePoint now) {
  const RequestNumber number = request.number;
  State& state = requests_[number];
  state.request = std::move(request);
  ++counts_.admitted;
  if (engines_.config().find_service(state.request.service) == nullptr) {
    finish_with_error(number, ResultCode::kUnknownModel,
                      "no service is named \"" + state.request.service + "\"");
    return;
  }
  if (state.request.deadline <= now) {
    finish_with_error(number, ResultCode::kDeadlineExceeded, "the deadline has passed");
    return;
  }
  // Requests that already wait go first.
  const bool others_wait = queue_.size() > 0;
  if (others_wait || !try_start(state, now)) {
    enqueue(state, now);
  }
  if (others_wait) {
    tick(now);
  }
}

void OnlineDispatcher::resume(TimePoint now) {
  paused_until_ = TimePoint{};
  tick(now);
}

bool OnlineDispatcher::try_start(State& state, TimePoint now) {
  if (now < paused_until_) {
    return false;
  }
  const ServiceConfig* service = engines_.config().find_service(state.request.service);
  const RequestNumber number = state.request.number;
  if (service == nullptr) {
    finish_with_error(number, ResultCode::kUnknownModel, "the service was removed");
    return true;
  }
  const RouteChoice choice =
      router_.choose({service, state.request.prefix_key, state.failed_engines}, now);
  if (choice.failure == RouteFailure::kAllBusy) {
    return false;
  }
  if (choice.failure == RouteFailure::kNoEligibleEngine) {
    finish_with_error(number, ResultCode::kNoEligibleEngine,
                      "no engine can take requests for \"" + service->name + "\" now");
    return true;
  }
  state.engine = choice.engine->config.name;
  state.started = now;
  ++state.attempts;
  engines_.started(state.engine, WorkClass::kOnline);
  record_start(now);
  actions_.start_attempt(number, choice.engine->config, service->priority);
  return true;
}

void OnlineDispatcher::enqueue(State& state, TimePoint now) {
  const OnlineRequest& request = state.request;
  const ServiceConfig* service = engines_.config().find_service(request.service);
  last_wait_estimate_ = estimated_wait(request, *service, now);
  const bool refuses_early = knobs_.mechanisms.early_refusal;
  if (refuses_early && now + last_wait_estimate_ > request.deadline) {
    finish_with_error(request.number, ResultCode::kOverloaded,
                      "the wait would be longer than the deadline allows");
    return;
  }
  const auto limit = refuses_early
                         ? static_cast<std::size_t>(engines_.config().limits.online_queue_per_node)
                         : std::numeric_limits<std::size_t>::max();
  const int weight = engines_.config().tenant_weight(request.tenant);
  const RequestNumber number = request.number;
  const FairQueue::PushResult pushed =
      queue_.push({number, knobs_.mechanisms.tenant_fairness ? request.tenant : std::string{},
                   request.estimated_tokens, weight, request.deadline},
                  limit);
  if (pushed.displaced) {
    finish_with_error(*pushed.displaced, ResultCode::kOverloaded,
                      "the queue is full and this tenant has the most waiting");
  }
  if (!pushed.accepted) {
    finish_with_error(number, ResultCode::kOverloaded, "the queue is full");
  }
}

void OnlineDispatcher::attempt_ended(RequestNumber request, AttemptEnd end, TimePoint now) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  State& state = found->second;
  engines_.ended(state.engine, WorkClass::kOnline, health_signal(end), now);
  state.failed_engines.insert(state.engine);
  state.engine.clear();
  state.may_have_run = state.may_have_run || may_have_run(end);
  switch (end) {
    case AttemptEnd::kCompleted:
      complete(state, now);
      break;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kRefused:
      retry_or_refuse(state, now);
      break;
    case AttemptEnd::kUnknown:
      if (state.request.repeatable || !knobs_.mechanisms.repeat_only_repeatable) {
        retry_or_refuse(state, now);
      } else {
        finish_with_error(request, ResultCode::kOutcomeUnknown,
                          "the engine was lost after the request was sent");
      }
      break;
    case AttemptEnd::kInterrupted:
      if (knobs_.mechanisms.interrupted_ends) {
        finish_with_error(request, ResultCode::kStreamInterrupted,
                          "the engine's answer ended early and could not be resumed");
      } else {
        retry_or_refuse(state, now);
      }
      break;
    case AttemptEnd::kDeadline:
      finish_with_error(request, ResultCode::kDeadlineExceeded,
                        "the deadline passed before the answer was complete");
      break;
    case AttemptEnd::kCallerGone:
      requests_.erase(found);
      break;
  }
  tick(now);
}

void OnlineDispatcher::complete(const State& state, TimePoint now) {
  const double seconds = to_seconds(now - state.started);
  mean_service_seconds_ += kServiceTimeSmoothing * (seconds - mean_service_seconds_);
  retry_budget_.record_success();
  ++counts_.completed;
  requests_.erase(state.request.number);
}

void OnlineDispatcher::retry_or_refuse(State& state, TimePoint now) {
  const RequestNumber number = state.request.number;
  if (state.request.deadline <= now) {
    finish_with_error(number, ResultCode::kDeadlineExceeded, "the deadline has passed");
    return;
  }
  if (state.attempts >= knobs_.maximum_attempts) {
    finish_with_error(number, ResultCode::kEngineUnreachable, "every engine that was tried failed");
    return;
  }
  if (!retry_budget_.try_spend()) {
    finish_with_error(number, ResultCode::kRetryBudgetExhausted,
                      "the attempt failed and the retry budget is spent");
    return;
  }
  ++counts_.retries;
  if (!try_start(state, now)) {
    enqueue(state, now);
  }
}

void OnlineDispatcher::tick(TimePoint now) {
  for (const QueuedRequest& expired : queue_.expire(now)) {
    finish_with_error(expired.id, ResultCode::kDeadlineExceeded,
                      "the deadline passed while waiting");
  }
  const auto fits = [&](const QueuedRequest& queued) {
    return try_start(requests_.at(queued.id), now);
  };
  while (queue_.size() > 0 && queue_.pop(fits)) {
  }
}

void OnlineDispatcher::finish_with_error(RequestNumber request, ResultCode code,
                                         std::string message) {
  const bool may_have_run =
      requests_.at(request).may_have_run && knobs_.mechanisms.truthful_not_run;
  const RunState run = may_have_run ? RunState::kUnknown : RunState::kNotRun;
  Error error{code, std::move(message), {}, run, {}};
  if (describe(code).retry_after) {
    error.retry_after = retry_after();
  }
  ++counts_.refused;
  requests_.erase(request);
  actions_.refuse(request, error);
}

Duration OnlineDispatcher::estimated_wait(const OnlineRequest& request,
                                          const ServiceConfig& service, TimePoint now) const {
  // Other nodes share the same engines, so the measured start rate predicts the wait better than
  // the number of slots.
  double rate = measured_start_rate(now);
  if (rate <= 0) {
    int slots = 0;
    for (const EngineView* engine : engines_.candidates(service, now)) {
      slots += engine->config.slots;
    }
    rate = std::max(1, slots) / mean_service_seconds_;
  }
  const auto ahead = static_cast<double>(queue_.ahead_of(request.tenant) + 1);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / rate));
}

void OnlineDispatcher::record_start(TimePoint now) {
  if (queue_.size() == 0) {
    busy_since_.reset();
    busy_starts_.clear();
    return;
  }
  if (!busy_since_) {
    busy_since_ = now;
  }
  busy_starts_.push_back(now);
  while (now - busy_starts_.front() > kRateWindow) {
    busy_starts_.pop_front();
  }
}

double OnlineDispatcher::measured_start_rate(TimePoint now) const {
  if (!busy_since_ || now - *busy_since_ < kShortestBusyTime) {
    return 0;
  }
  const Duration window = std::min(kRateWindow, now - *busy_since_);
  return static_cast<double>(busy_starts_.size()) / to_seconds(window);
}

std::chrono::seconds OnlineDispatcher::retry_after() const {
  const Duration wait =
      std::clamp(last_wait_estimate_, knobs_.minimum_retry_after, knobs_.maximum_retry_after);
  return std::chrono::ceil<std::chrono::seconds>(wait);
}

}  // namespace dockpoint
