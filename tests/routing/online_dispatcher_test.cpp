#include "dockpoint/routing/online_dispatcher.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "support/fleet.hpp"

using namespace dockpoint;
using test::at;

namespace {

struct Recorder : OnlineActions {
  struct Attempt {
    RequestNumber request;
    std::string engine;
  };
  void start_attempt(RequestNumber request, const EngineConfig& engine, int) override {
    attempts.push_back({request, engine.name});
  }
  void refuse(RequestNumber request, const Error& error) override {
    refusals.emplace_back(request, error);
  }
  std::vector<Attempt> attempts;
  std::vector<std::pair<RequestNumber, Error>> refusals;
};

struct Fixture {
  explicit Fixture(int engine_count = 2, int slots = 4) : engines(knobs) {
    engines.configure(test::make_fleet(engine_count, slots));
    dispatcher.configure(at(0));
  }

  OnlineRequest request(RequestNumber number, bool repeatable = true) {
    OnlineRequest made;
    made.number = number;
    made.service = "lm";
    made.tenant = "t";
    made.repeatable = repeatable;
    made.deadline = at(60'000);
    return made;
  }

  Knobs knobs;
  EngineTable engines;
  Router router{knobs, engines, "zone-1", 1};
  Recorder actions;
  OnlineDispatcher dispatcher{knobs, engines, router, actions};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(online_dispatcher, Fixture)

BOOST_AUTO_TEST_CASE(a_request_starts_at_once_if_an_engine_has_capacity) {
  dispatcher.submit(request(1), at(0));
  BOOST_TEST_REQUIRE(actions.attempts.size() == 1U);
  dispatcher.attempt_ended(1, AttemptEnd::kCompleted, at(100));
  BOOST_TEST(dispatcher.in_flight() == 0U);
  BOOST_TEST(dispatcher.counts().completed == 1U);
}

BOOST_AUTO_TEST_CASE(an_attempt_that_did_not_run_is_retried_on_another_engine) {
  dispatcher.submit(request(1, false), at(0));
  dispatcher.attempt_ended(1, AttemptEnd::kNotSent, at(1));
  BOOST_TEST_REQUIRE(actions.attempts.size() == 2U);
  BOOST_TEST(actions.attempts[0].engine != actions.attempts[1].engine);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_retried_only_if_the_request_is_repeatable) {
  dispatcher.submit(request(1, true), at(0));
  dispatcher.attempt_ended(1, AttemptEnd::kUnknown, at(1));
  BOOST_TEST(actions.attempts.size() == 2U);
  dispatcher.submit(request(2, false), at(0));
  dispatcher.attempt_ended(2, AttemptEnd::kUnknown, at(1));
  BOOST_TEST(actions.attempts.size() == 3U);
  BOOST_TEST_REQUIRE(actions.refusals.size() == 1U);
  BOOST_TEST((actions.refusals[0].second.code == ResultCode::kOutcomeUnknown));
  BOOST_TEST((actions.refusals[0].second.run == RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(not_run_is_reported_only_if_no_attempt_may_have_run) {
  // The first attempt may have run, whatever the outcome of the second.
  dispatcher.submit(request(1, true), at(0));
  dispatcher.attempt_ended(1, AttemptEnd::kUnknown, at(1));
  dispatcher.attempt_ended(1, AttemptEnd::kNotSent, at(2));
  BOOST_TEST_REQUIRE(actions.refusals.size() == 1U);
  BOOST_TEST((actions.refusals[0].second.run == RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(an_interrupted_answer_is_never_retried) {
  dispatcher.submit(request(1, true), at(0));
  dispatcher.attempt_ended(1, AttemptEnd::kInterrupted, at(1));
  BOOST_TEST(actions.attempts.size() == 1U);
  BOOST_TEST_REQUIRE(actions.refusals.size() == 1U);
  BOOST_TEST((actions.refusals[0].second.code == ResultCode::kStreamInterrupted));
}

BOOST_AUTO_TEST_CASE(retries_stop_when_the_budget_is_spent) {
  knobs.ejection_failures = 1'000'000;
  for (RequestNumber number = 1; number <= 50; ++number) {
    dispatcher.submit(request(number), at(0));
    dispatcher.attempt_ended(number, AttemptEnd::kNotSent, at(1));
    dispatcher.attempt_ended(number, AttemptEnd::kNotSent, at(1));
  }
  BOOST_TEST(dispatcher.counts().retries == static_cast<std::uint64_t>(knobs.retry_budget_reserve));
  BOOST_TEST(actions.refusals.size() == 50U);
  BOOST_TEST((actions.refusals.back().second.code == ResultCode::kRetryBudgetExhausted));
  BOOST_TEST(actions.refusals.back().second.retry_after.count() >= 1);
}

BOOST_AUTO_TEST_CASE(a_request_whose_estimated_wait_exceeds_its_deadline_is_refused_at_once) {
  RequestNumber number = 1;
  while (actions.attempts.size() == number - 1) {
    dispatcher.submit(request(number++), at(0));
  }
  OnlineRequest hurried = request(number);
  hurried.deadline = at(1);
  dispatcher.submit(hurried, at(0));
  BOOST_TEST_REQUIRE(actions.refusals.size() == 1U);
  BOOST_TEST((actions.refusals[0].second.code == ResultCode::kOverloaded));
  BOOST_TEST((actions.refusals[0].second.run == RunState::kNotRun));
  BOOST_TEST(actions.refusals[0].second.retry_after.count() >= 1);
}

BOOST_AUTO_TEST_CASE(a_waiting_request_starts_when_an_engine_has_capacity_again) {
  RequestNumber number = 1;
  while (actions.attempts.size() == number - 1) {
    dispatcher.submit(request(number++), at(0));
  }
  BOOST_TEST(dispatcher.waiting() == 1U);
  const std::size_t before = actions.attempts.size();
  dispatcher.attempt_ended(1, AttemptEnd::kCompleted, at(10));
  BOOST_TEST(actions.attempts.size() == before + 1);
  BOOST_TEST(dispatcher.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(a_waiting_request_is_refused_when_its_deadline_passes) {
  RequestNumber number = 1;
  while (actions.attempts.size() == number - 1) {
    dispatcher.submit(request(number++), at(0));
  }
  dispatcher.tick(at(60'000));
  BOOST_TEST_REQUIRE(actions.refusals.size() == 1U);
  BOOST_TEST((actions.refusals[0].second.code == ResultCode::kDeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(a_leaving_engine_gets_no_new_work_until_it_restarts) {
  EngineLoad load;
  load.incarnation = 5;
  load.sequence = 1;
  load.leaving = true;
  engines.report("engine-1", load, at(0));
  load.sequence = 2;
  load.leaving = false;
  engines.report("engine-1", load, at(1));
  for (RequestNumber number = 1; number <= 4; ++number) {
    dispatcher.submit(request(number), at(1));
  }
  for (const Recorder::Attempt& attempt : actions.attempts) {
    BOOST_TEST(attempt.engine == "engine-2");
  }
  load.incarnation = 6;  // The engine restarted as a new process.
  engines.report("engine-1", load, at(2));
  BOOST_TEST(!engines.find("engine-1")->leaving());
}

BOOST_AUTO_TEST_CASE(consecutive_failures_eject_an_engine_for_the_ejection_time) {
  for (int failure = 0; failure < knobs.ejection_failures; ++failure) {
    engines.started("engine-1", WorkClass::kOnline);
    engines.ended("engine-1", WorkClass::kOnline, EngineHealthSignal::kFailed, at(0));
  }
  BOOST_TEST(!engines.usable(*engines.find("engine-1"), at(1)));
  BOOST_TEST(engines.usable(*engines.find("engine-1"), at(0) + knobs.ejection_time));
}

BOOST_AUTO_TEST_CASE(requests_with_the_same_prefix_share_an_engine_up_to_the_load_bound) {
  std::map<std::string, int> counts;
  for (RequestNumber number = 1; number <= 3; ++number) {
    OnlineRequest made = request(number);
    made.prefix_key = 77;
    dispatcher.submit(made, at(0));
    dispatcher.attempt_ended(number, AttemptEnd::kCompleted, at(1));
    ++counts[actions.attempts.back().engine];
  }
  BOOST_TEST(counts.size() == 1U);
  for (RequestNumber number = 10; number < 18; ++number) {
    OnlineRequest made = request(number);
    made.prefix_key = 77;
    dispatcher.submit(made, at(2));
    ++counts[actions.attempts.back().engine];
  }
  BOOST_TEST(counts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
