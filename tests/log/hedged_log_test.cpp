#include "dockpoint/log/hedged_log.hpp"

#include <boost/test/unit_test.hpp>

#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

const TopicPartition kPartition{"topic", 0};

struct Fixture {
  Knobs knobs;
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  HedgedLog hedged{knobs, log};
  std::vector<LogStatus> outcomes;
  std::int64_t now = 0;
  std::int64_t settled_at = -1;

  Fixture() { run(10); }

  void append(const std::optional<ProducerPosition>& position = std::nullopt) {
    hedged.append(kPartition, {{"key", "value", 0}}, position,
                  [this](const AppendOutcome& outcome) {
                    outcomes.push_back(outcome.status);
                    settled_at = now;
                  });
  }
  void run(std::int64_t milliseconds) {
    const std::int64_t end = now + milliseconds;
    for (; now < end; now += 10) {
      log.advance(at(now));
      hedged.tick(at(now));
    }
  }
  std::size_t appended() { return log.history(kPartition).size(); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(hedged_log, Fixture)

BOOST_AUTO_TEST_CASE(an_answered_write_is_sent_once) {
  append();
  run(2'000);
  BOOST_TEST(outcomes.size() == 1U);
  BOOST_TEST((outcomes.front() == LogStatus::kOk));
  BOOST_TEST(appended() == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_with_a_lost_answer_is_settled_by_the_hedged_call) {
  log.faults.lose_answers = 1;
  append();
  run(60);
  log.faults.lose_answers = 0;
  run(3'000);
  BOOST_TEST(outcomes.size() == 1U);
  BOOST_TEST((outcomes.front() == LogStatus::kOk));
  BOOST_TEST(settled_at <= 200);
}

BOOST_AUTO_TEST_CASE(a_hedged_append_with_a_producer_position_is_applied_once) {
  log.faults.lose_answers = 1;
  append(ProducerPosition{"owner", 1, 0});
  run(60);
  log.faults.lose_answers = 0;
  run(3'000);
  BOOST_TEST((outcomes == std::vector<LogStatus>{LogStatus::kOk}));
  BOOST_TEST(appended() == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_without_any_answer_ends_as_unknown) {
  log.faults.silent = true;
  append();
  run(5'000);
  BOOST_TEST((outcomes == std::vector<LogStatus>{LogStatus::kUnknown}));
}

BOOST_AUTO_TEST_CASE(a_refusal_is_reported_at_once_unless_another_call_may_have_been_applied) {
  log.faults.down = true;
  append();
  run(20);
  BOOST_TEST((outcomes == std::vector<LogStatus>{LogStatus::kRefused}));
  outcomes.clear();
  log.faults.down = false;
  log.faults.lose_answers = 1;
  append();
  run(60);
  log.faults.lose_answers = 0;
  log.faults.down = true;
  run(5'000);
  BOOST_TEST((outcomes == std::vector<LogStatus>{LogStatus::kUnknown}));
}

BOOST_AUTO_TEST_CASE(a_join_is_hedged_but_not_after_a_leave) {
  log.faults.silent = true;
  int answers = 0;
  hedged.join("group", "member", {"topic"}, std::chrono::seconds(2), 0,
              [&](const JoinOutcome&) { ++answers; });
  run(50);
  log.faults.silent = false;
  hedged.leave("group", "member", [](LogStatus) {});
  run(1'000);
  BOOST_TEST(answers == 0);
  std::size_t owned = 0;
  log.owners("group", [&](const OwnersOutcome& outcome) { owned = outcome.rows.size(); });
  run(100);
  BOOST_TEST(owned == 0U);
  hedged.join("group", "member", {"topic"}, std::chrono::seconds(2), 0,
              [&](const JoinOutcome&) { ++answers; });
  run(100);
  BOOST_TEST(answers == 1);
}

BOOST_AUTO_TEST_CASE(destruction_with_pending_calls_is_safe) {
  {
    HedgedLog short_lived(knobs, log);
    short_lived.tick(at(now));
    short_lived.append(kPartition, {{"key", "value", 0}}, std::nullopt,
                       [this](const AppendOutcome&) { outcomes.push_back(LogStatus::kOk); });
  }
  run(3'000);
  BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_CASE(a_conditional_append_with_a_lost_answer_is_applied_once) {
  log.faults.lose_answers = 1;
  hedged.append_at(kPartition, 0, {{"key", "value", 0}},
                   [this](const AppendOutcome& outcome) { outcomes.push_back(outcome.status); });
  log.faults.lose_answers = 0;
  run(400);
  BOOST_REQUIRE(outcomes.size() == 1);
  BOOST_TEST((outcomes[0] ==
              LogStatus::kEndMoved));  // The writer reads the partition and finds its record.
  BOOST_TEST(appended() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
