#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dockpoint/admission/fair_queue.hpp"
#include "dockpoint/admission/retry_budget.hpp"
#include "dockpoint/core/error.hpp"
#include "dockpoint/routing/router.hpp"

/// Admission, routing and retries of online requests on one node.
///
/// A request goes to an engine at once if one is open. Otherwise it waits in a bounded queue that
/// is fair across tenants, unless the estimated wait already exceeds its deadline. Whoever is
/// given up on is told at once, with the time to come back.
///
/// Retries. An attempt is repeated on another engine only if it certainly did not run, or if the
/// request is repeatable and none of its answer has reached the caller; never beyond the retry
/// budget, `maximum_attempts` or the deadline.
namespace dockpoint {

using RequestNumber = std::uint64_t;

struct OnlineRequest {
  RequestNumber number = 0;
  std::string service;
  std::string tenant;
  std::uint64_t prefix_key = 0;
  double estimated_tokens = 1;
  bool repeatable = true;
  TimePoint deadline{};
};

/// How an attempt on an engine ended.
enum class AttemptEnd {
  kCompleted,    ///< The whole answer was delivered, or an answer that no retry would change.
  kNotSent,      ///< No connection to the engine could be made.
  kRefused,      ///< The engine answered that it did not run it.
  kUnknown,      ///< It was sent and the answer did not come; the caller has received nothing.
  kInterrupted,  ///< The caller has received a part of the answer.
  kDeadline,     ///< The deadline passed first; the engine was told to stop.
  kCallerGone,   ///< The caller closed its connection; the engine was told to stop.
};

/// What the dispatcher wants done; must not block or call back.
class OnlineActions {
 public:
  virtual ~OnlineActions() = default;
  /// Sends the request to `engine`, which ends in `OnlineDispatcher::attempt_ended`.
  virtual void start_attempt(RequestNumber request, const EngineConfig& engine, int priority) = 0;
  /// Ends the request with an error.
  virtual void refuse(RequestNumber request, const Error& error) = 0;
};

/// Counts since the start of the node.
struct OnlineCounts {
  std::uint64_t admitted = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t retries = 0;
};

/// See the top of this file. Not thread-safe; borrows all references.
class OnlineDispatcher {
 public:
  OnlineDispatcher(const Knobs& knobs, EngineTable& engines, Router& router,
                   OnlineActions& actions);

  /// Takes the limits of a new configuration into use and retries what waits.
  void configure(TimePoint now);

  void submit(OnlineRequest request, TimePoint now);

  /// Reports the end of the attempt that `start_attempt` began.
  void attempt_ended(RequestNumber request, AttemptEnd end, TimePoint now);

  /// Starts no attempt before `until` or `release`; requests wait meanwhile.
  void pause(TimePoint until) { held_until_ = until; }
  void resume(TimePoint now);

  /// Drives deadlines and the queue; call at least every 50 ms and after load reports.
  void tick(TimePoint now);

  std::size_t waiting() const { return queue_.size(); }
  std::size_t in_flight() const { return requests_.size() - queue_.size(); }
  const OnlineCounts& counts() const { return counts_; }

 private:
  struct State {
    OnlineRequest request;
    std::string engine;  ///< Of the running attempt; empty while waiting.
    TimePoint started{};
    int attempts = 0;
    bool may_have_run = false;  ///< An earlier attempt ended without a certain answer.
    std::set<std::string> failed_engines;
  };

  /// Tries to start the request. @return false if every engine is busy.
  bool try_start(State& state, TimePoint now);
  void enqueue(State& state, TimePoint now);
  void retry_or_refuse(State& state, TimePoint now);
  void complete(const State& state, TimePoint now);
  /// Ends a request with an error that says whether it may have run.
  void finish_with_error(RequestNumber request, ResultCode code, std::string message);
  Duration estimated_wait(const OnlineRequest& request, const ServiceConfig& service,
                          TimePoint now) const;
  void note_start(TimePoint now);
  /// @return requests a second that this node could start since its queue was last empty, or zero
  /// if that is too short a time to tell.
  double measured_start_rate(TimePoint now) const;
  std::chrono::seconds retry_after() const;

  const Knobs& knobs_;
  EngineTable& engines_;
  Router& router_;
  OnlineActions& actions_;
  RetryBudget retry_budget_;
  FairQueue queue_;
  std::map<RequestNumber, State> requests_;
  double mean_service_seconds_;
  Duration last_wait_estimate_{};
  TimePoint held_until_{};
  std::optional<TimePoint> busy_since_;  ///< The queue has not been empty since.
  std::deque<TimePoint> busy_starts_;    ///< Recent starts in this busy time.
  OnlineCounts counts_;
};

}  // namespace dockpoint
