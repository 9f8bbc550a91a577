#include "dockpoint/routing/attempt_policy.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

const Knobs kKnobs;

AttemptHistory history(bool repeatable, bool resumable, int attempts) {
  AttemptHistory result;
  result.repeatable = repeatable;
  result.resumable = resumable;
  result.attempts_allowed = attempts;
  return result;
}

bool decides(AttemptHistory& past, AttemptFailure failure, NextStep expected) {
  return decide_after_failure(past, failure, kKnobs) == expected;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(attempt_policy)

BOOST_AUTO_TEST_CASE(attempts_that_did_not_run_are_retried_up_to_the_limit) {
  AttemptHistory past = history(false, false, 1);
  for (int send = 1; send < kKnobs.maximum_sends_not_run; ++send) {
    BOOST_TEST(decides(past, AttemptFailure::kNotRun, NextStep::kRetry));
  }
  BOOST_TEST(decides(past, AttemptFailure::kNotRun, NextStep::kRefuse));
}

// Guards against sound requests that are refused since a few replicas crashed just before.
BOOST_AUTO_TEST_CASE(replicas_that_have_ended_do_not_use_up_the_sends_to_those_that_run) {
  AttemptHistory past = history(false, false, 1);
  for (int send = 1; send < kKnobs.maximum_sends_to_gone_replicas; ++send) {
    BOOST_TEST(decides(past, AttemptFailure::kReplicaGone, NextStep::kRetry));
  }
  BOOST_TEST(past.not_run_in_row == 0);
  BOOST_TEST(decides(past, AttemptFailure::kReplicaGone, NextStep::kRefuse));
}

BOOST_AUTO_TEST_CASE(attempts_that_may_have_run_are_retried_only_if_repeatable_and_never_refused) {
  AttemptHistory once = history(false, false, 3);
  BOOST_TEST(decides(once, AttemptFailure::kMayHaveRun, NextStep::kFail));

  AttemptHistory repeatable = history(true, false, 2);
  BOOST_TEST(decides(repeatable, AttemptFailure::kMayHaveRun, NextStep::kRetry));
  for (int send = 1; send < kKnobs.maximum_sends_not_run; ++send) {
    BOOST_TEST(decides(repeatable, AttemptFailure::kNotRun, NextStep::kRetry));
  }
  // One attempt may have run, so a refusal would wrongly promise "not run".
  BOOST_TEST(decides(repeatable, AttemptFailure::kNotRun, NextStep::kFail));
}

BOOST_AUTO_TEST_CASE(attempts_that_may_have_run_are_limited_by_the_route) {
  AttemptHistory past = history(true, false, 2);
  BOOST_TEST(decides(past, AttemptFailure::kMayHaveRun, NextStep::kRetry));
  BOOST_TEST(decides(past, AttemptFailure::kMayHaveRun, NextStep::kFail));
}

BOOST_AUTO_TEST_CASE(a_stream_is_continued_only_if_it_is_resumable) {
  AttemptHistory plain = history(false, false, 2);
  plain.answer_begun = true;
  BOOST_TEST(decides(plain, AttemptFailure::kInterrupted, NextStep::kAbortStream));

  AttemptHistory resumable = history(true, true, 2);
  resumable.answer_begun = true;
  BOOST_TEST(decides(resumable, AttemptFailure::kInterrupted, NextStep::kResume));
  BOOST_TEST(decides(resumable, AttemptFailure::kNotRun, NextStep::kResume));
  BOOST_TEST(decides(resumable, AttemptFailure::kInterrupted, NextStep::kAbortStream));
}

BOOST_AUTO_TEST_SUITE_END()
