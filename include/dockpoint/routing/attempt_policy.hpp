#pragma once

#include "dockpoint/core/knobs.hpp"

/// Retry policy for online requests.
///
/// A request that was sent and got no answer may have run, so it is retried only if it is
/// repeatable. A refusal that promises "not run" is given only if no attempt may have run.
///
/// Replicas that turn a request away show that the fleet is full, so a few end it. A replica that
/// has just crashed and is still listed shows nothing of the kind, and costs no time.
namespace dockpoint {

/// Failure of an attempt, classified by what the engine may have done.
enum class AttemptFailure {
  kNotRun,       ///< The replica reported it, or no connection accepted a byte.
  kReplicaGone,  ///< The replica's machine refused the connection: its process has ended.
  kMayHaveRun,   ///< The request was sent, but no answer usable for the caller arrived.
  kInterrupted,  ///< The caller has received part of the answer.
};

/// Action that follows a failed attempt.
enum class NextStep {
  kRetry,        ///< Send the request to another replica.
  kResume,       ///< Resume the stream at another replica.
  kRefuse,       ///< Refuse with a retry time: the request has not run and will not run.
  kFail,         ///< Fail without a promise: the request may have run.
  kAbortStream,  ///< Close the caller's connection: the answer it received is incomplete.
};

/// Attempts of one request so far.
struct AttemptHistory {
  bool repeatable = false;
  bool resumable = false;
  int attempts_allowed = 1;  ///< Limit on attempts that may have run.
  int runs_possible = 0;     ///< Attempts that may have run.
  int replicas_gone = 0;     ///< Attempts that failed as `kReplicaGone`.
  int not_run_in_row = 0;  ///< Consecutive attempts that did not run, since the last that may have.
  bool answer_begun = false;  ///< The caller has received part of the answer.
};

/// Records a failed attempt in `history` and returns the next step. Has no other side effects.
NextStep decide_after_failure(AttemptHistory& history, AttemptFailure failure, const Knobs& knobs);

}  // namespace dockpoint
