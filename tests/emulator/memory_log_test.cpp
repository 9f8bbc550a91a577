#include "emulator/memory_log.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

const TopicPartition kPartition{"results", 0};

struct Fixture {
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  std::int64_t now = 0;

  /// @return the answer to an append of one record per key.
  AppendOutcome append(std::uint64_t epoch, std::uint64_t sequence,
                       const std::vector<std::string>& keys) {
    std::vector<KeyedRecord> records;
    for (const std::string& key : keys) {
      records.push_back({key, "value", 0});
    }
    AppendOutcome answer;
    log.append(kPartition, records, ProducerPosition{"owner", epoch, sequence},
               [&](const AppendOutcome& outcome) { answer = outcome; });
    now += 10;
    log.advance(at(now));
    return answer;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(memory_log, Fixture)

BOOST_AUTO_TEST_CASE(an_append_without_records_takes_no_sequence_number) {
  BOOST_TEST((append(1, 7, {"a"}).status == LogStatus::kOk));
  BOOST_TEST((append(1, 8, {}).status == LogStatus::kOk));
  const AppendOutcome ahead = append(1, 9, {"b"});
  BOOST_TEST((ahead.status == LogStatus::kOutOfSequence));
  BOOST_TEST(ahead.due_sequence == 8U);
  BOOST_TEST((append(1, 8, {"b"}).status == LogStatus::kOk));
  BOOST_TEST(log.history(kPartition).size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_append_without_records_raises_the_epoch_and_fences_lower_ones) {
  BOOST_TEST((append(1, 0, {"a"}).status == LogStatus::kOk));
  BOOST_TEST((append(2, 5, {}).status == LogStatus::kOk));
  BOOST_TEST((append(1, 1, {"b"}).status == LogStatus::kFenced));
  BOOST_TEST(log.history(kPartition).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_higher_epoch_begins_at_any_sequence_number) {
  BOOST_TEST((append(1, 3, {"a"}).status == LogStatus::kOk));
  BOOST_TEST((append(2, 40, {"b"}).status == LogStatus::kOk));
  BOOST_TEST(append(2, 43, {"c"}).due_sequence == 41U);
}

BOOST_AUTO_TEST_CASE(one_of_the_last_five_appends_gets_its_first_answer_again) {
  const AppendOutcome first = append(1, 0, {"a", "b"});
  for (std::uint64_t sequence = 1; sequence < 5; ++sequence) {
    append(1, sequence, {"c"});
  }
  const AppendOutcome again = append(1, 0, {"other"});
  BOOST_TEST((again.status == LogStatus::kOk));
  BOOST_TEST(again.end == first.end);
  append(1, 5, {"c"});
  BOOST_TEST((append(1, 0, {"a", "b"}).status == LogStatus::kOutOfSequence));
  BOOST_TEST(log.history(kPartition).size() == 7U);
}

BOOST_AUTO_TEST_CASE(a_late_append_is_applied_only_if_its_condition_still_holds) {
  log.faults.delay_appends = 1;
  log.append_at(kPartition, 0, {{"a", "value", 0}}, [](const AppendOutcome&) {});
  log.append_at(kPartition, 0, {{"b", "value", 0}}, [](const AppendOutcome&) {});
  log.faults = {};
  for (; now < 8'000; now += 10) {
    log.advance(at(now));
  }
  BOOST_TEST(log.history(kPartition).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
