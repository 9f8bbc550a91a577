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
/// A request is sent at once if an engine has capacity. Otherwise it waits in a bounded queue that
/// is fair across tenants, unless the estimated wait already exceeds its deadline. A request that
/// is given up is refused immediately with a retry-after time.
///
/// An attempt is retried on another engine only if it certainly did not run, or if the request is
/// repeatable and the caller has received no part of the answer. Retries are limited by the retry
/// budget, `maximum_attempts` and the deadline.
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

/// Result of an attempt on an engine.
enum class AttemptEnd {
  kCompleted,    ///< The complete answer was delivered, or an error that no retry would change.
  kNotSent,      ///< No connection to the engine could be established.
  kRefused,      ///< The engine answered that it did not run the request.
  kUnknown,      ///< The request was sent but not answered; the caller has received nothing.
  kInterrupted,  ///< The caller has received part of the answer.
  kDeadline,     ///< The deadline passed; the engine was told to cancel.
  kCallerGone,   ///< The caller closed its connection; the engine was told to cancel.
};

/// Side effects that the dispatcher requests. Implementations must not block or call back.
class OnlineActions {
 public:
  virtual ~OnlineActions() = default;
  /// Sends the request to `engine`; report its end with `OnlineDispatcher::attempt_ended`.
  virtual void start_attempt(RequestNumber request, const EngineConfig& engine, int priority) = 0;
  /// Ends the request with an error.
  virtual void refuse(RequestNumber request, const Error& error) = 0;
};

/// Counters since the start of the node.
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

  /// Applies the limits of a new configuration and retries the waiting requests.
  void configure(TimePoint now);

  void submit(OnlineRequest request, TimePoint now);

  /// Reports the end of the attempt started by `start_attempt`.
  void attempt_ended(RequestNumber request, AttemptEnd end, TimePoint now);

  /// Starts no attempts until `until` or until `resume` is called; requests wait meanwhile.
  void pause(TimePoint until) { paused_until_ = until; }
  void resume(TimePoint now);

  /// Processes deadlines and the queue; call at least every 50 ms and after load reports.
  void tick(TimePoint now);

  std::size_t waiting() const { return queue_.size(); }
  std::size_t in_flight() const { return requests_.size() - queue_.size(); }
  const OnlineCounts& counts() const { return counts_; }

 private:
  struct State {
    OnlineRequest request;
    std::string engine;  ///< Engine of the running attempt; empty while waiting.
    TimePoint started{};
    int attempts = 0;
    bool may_have_run = false;  ///< An earlier attempt ended with an unknown outcome.
    std::set<std::string> failed_engines;
  };

  /// @return false if every engine is busy; otherwise the request has started or has failed.
  bool try_start(State& state, TimePoint now);
  void enqueue(State& state, TimePoint now);
  void retry_or_refuse(State& state, TimePoint now);
  void complete(const State& state, TimePoint now);
  /// Ends a request with an error that states whether it may have run.
  void finish_with_error(RequestNumber request, ResultCode code, std::string message);
  Duration estimated_wait(const OnlineRequest& request, const ServiceConfig& service,
                          TimePoint now) const;
  void record_start(TimePoint now);
  /// @return start rate (requests a second) of this node since its queue was last empty, or zero if
  /// that period is too short for an estimate.
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
  TimePoint paused_until_{};
  std::optional<TimePoint> busy_since_;  ///< Time since which the queue has not been empty.
  std::deque<TimePoint> busy_starts_;    ///< Recent starts within this busy period.
  OnlineCounts counts_;
};

}  // namespace dockpoint
