#pragma once

#include "dockpoint/core/knobs.hpp"

/// What to do when an attempt of an online request has ended.
///
/// A request that was sent and not answered may have run. It is sent again only if it may be
/// repeated; a refusal that promises "not run" is given only if no attempt may have run.
namespace dockpoint {

/// How an attempt ended without an answer for the caller.
enum class AttemptFailure {
  kNotRun,       ///< The replica said so, or no connection took a byte.
  kMayHaveRun,   ///< It was sent, and no answer came that the caller could be given.
  kInterrupted,  ///< The caller has a part of the answer.
};

/// What to do next.
enum class NextStep {
  kRetry,        ///< Send the request to another replica.
  kResume,       ///< Go on with the stream at another replica.
  kRefuse,       ///< It has not run and will not: refuse, with a time to come back.
  kFail,         ///< It may have run: fail without a promise.
  kAbortStream,  ///< Break the caller's connection: what it has is not complete.
};

/// The history of one request.
struct AttemptHistory {
  bool repeatable = false;
  bool resumable = false;
  int attempts_allowed = 1;   ///< Replicas that may run it.
  int runs_possible = 0;      ///< Attempts that may have run.
  int not_run_in_row = 0;     ///< Since the last attempt that may have run.
  bool answer_begun = false;  ///< The caller has received a part of the answer.
};

/// Counts a failed attempt and decides. Pure.
NextStep decide_after_failure(AttemptHistory& history, AttemptFailure failure, const Knobs& knobs);

}  // namespace dockpoint
