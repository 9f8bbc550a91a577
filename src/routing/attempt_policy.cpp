#include "dockpoint/routing/attempt_policy.hpp"

namespace dockpoint {
namespace {

NextStep give_up(const AttemptHistory& history) {
  if (history.answer_begun) {
    return NextStep::kAbortStream;
  }
  return history.runs_possible == 0 ? NextStep::kRefuse : NextStep::kFail;
}

NextStep retry_or_resume(const AttemptHistory& history) {
  return history.answer_begun ? NextStep::kResume : NextStep::kRetry;
}

}  // namespace

NextStep decide_after_failure(AttemptHistory& history, AttemptFailure failure, const Knobs& knobs) {
  if (failure == AttemptFailure::kNotRun) {
    ++history.not_run_in_row;
    return history.not_run_in_row < knobs.maximum_sends_not_run ? retry_or_resume(history)
                                                                : give_up(history);
  }
  if (failure == AttemptFailure::kReplicaGone) {
    ++history.replicas_gone;
    return history.replicas_gone < knobs.maximum_sends_to_gone_replicas ? retry_or_resume(history)
                                                                        : give_up(history);
  }
  ++history.runs_possible;
  history.not_run_in_row = 0;
  const bool allowed = history.answer_begun ? history.resumable : history.repeatable;
  if (allowed && history.runs_possible < history.attempts_allowed) {
    return retry_or_resume(history);
  }
  return give_up(history);
}

}  // namespace dockpoint
