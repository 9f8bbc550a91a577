#include "dockpoint/batch/partition_owner.hpp"

#include <boost/test/unit_test.hpp>

#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

constexpr std::size_t kRecordBytes = 4096;
const BatchTopics kTopics{"jobs", "results", "reservations", "group"};

/// An owner of one partition on an in-memory log, in simulated time.
struct Fixture : PartitionOwnerObserver {
  Knobs knobs;
  MemoryLog log{LogLimits{1, kRecordBytes, 16 * kRecordBytes, std::chrono::seconds(1)}, 1};
  std::unique_ptr<PartitionOwner> owner = make_owner(1);
  std::int64_t now = 0;

  std::unique_ptr<PartitionOwner> make_owner(std::uint64_t epoch) {
    return std::make_unique<PartitionOwner>(knobs, log, kTopics, 0, epoch, epoch, *this);
  }
  void run(std::int64_t milliseconds) {
    const std::int64_t end = now + milliseconds;
    for (; now < end; now += 10) {
      log.advance(at(now));
      owner->tick(at(now));
    }
  }
  void submit(const std::string& id, std::size_t items) {
    BatchJob job;
    job.id = id;
    job.items.resize(items);
    log.append({kTopics.jobs, 0}, job_records(job, kRecordBytes), std::nullopt,
               [](const AppendOutcome&) {});
  }
  std::size_t results(const std::string& id) const {
    const LedgerJob* job = owner->ledger().find(id);
    return job == nullptr ? 0 : job->results.size();
  }

  std::vector<std::uint32_t> listed_items(const std::string& id) const {
    std::vector<std::uint32_t> items;
    const LedgerJob* job = owner->ledger().find(id);
    for (std::size_t index = 0; job != nullptr && index < job->results.size(); ++index) {
      items.push_back(job->results[index].item);
    }
    return items;
  }

  void on_partition_active(int /*partition*/) override {}
  void on_job(int /*partition*/, const std::string& /*job*/) override {}
  void on_job_ended(int /*partition*/, const std::string& /*job*/) override {}
  void on_results(int /*partition*/, const std::string& /*job*/) override {}
  void on_partition_fenced(int /*partition*/, OwnershipEnd /*reason*/) override {}
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(partition_owner, Fixture)

// Regression test: an owner verifies its epoch with an empty append under its next sequence number.
// The answer was lost, and results of items that had ended in the meantime were added to the retry.
// The log took the retry for a duplicate of the completed append and confirmed it: the results were
// readable but never written. The next owner ran the items again and listed them in another order
// (position 0 changed from item 1 to item 0, position 1 from item 4 to item 1).
BOOST_AUTO_TEST_CASE(results_are_not_added_to_the_retry_of_an_earlier_append) {
  submit("a", 2);
  run(500);
  BOOST_TEST(owner->active());
  log.faults.lose_answers = 1;
  owner->verify();
  run(50);
  owner->write_result("a", {1, true, "text"});
  run(500);
  log.faults.lose_answers = 0;
  run(5'000);
  BOOST_TEST(results("a") == 1U);
  owner = make_owner(2);
  run(500);
  BOOST_TEST(results("a") == 1U);
}

// Guards against results that are listed but in no log: an append in doubt was sent again under
// another sequence number, its late call took the next number, and the results appended under that
// number were confirmed with its answer.
BOOST_AUTO_TEST_CASE(results_stay_in_place_when_an_append_is_applied_late_after_a_verification) {
  submit("a", 3);
  run(500);
  owner->write_result("a", {2, true, "text"});
  run(500);
  owner->verify();
  run(500);
  log.faults.delay_appends = 1;
  log.faults.shortest_delay = log.faults.longest_delay = std::chrono::milliseconds(3'000);
  owner->write_result("a", {1, true, "text"});
  run(50);
  log.faults = {};
  run(5'000);
  owner->write_result("a", {0, true, "text"});
  run(500);
  const std::vector<std::uint32_t> listed = listed_items("a");
  BOOST_TEST(listed == (std::vector<std::uint32_t>{2, 1, 0}), boost::test_tools::per_element());
  owner = make_owner(2);
  run(500);
  BOOST_TEST(listed_items("a") == listed, boost::test_tools::per_element());
}

// Guards against an item's text that lacks what it wrote within one second: the step was dropped as
// too large, and the steps after it were joined to those before.
BOOST_AUTO_TEST_CASE(a_checkpoint_larger_than_a_record_reaches_the_next_owner_whole) {
  submit("a", 1);
  run(500);
  const std::string large(3 * kRecordBytes, 'x');
  BOOST_TEST(owner->write_checkpoint("a", 0, {"before ", 1, 0}, false));
  BOOST_TEST(owner->write_checkpoint("a", 0, {large, 2, 0}, false));
  BOOST_TEST(owner->write_checkpoint("a", 0, {" after", 3, 0}, false));
  run(500);
  owner = make_owner(2);
  run(500);
  const auto* loaded = owner->ledger().checkpoint("a", 0);
  BOOST_REQUIRE(loaded != nullptr);
  BOOST_TEST(loaded->checkpoint.text == "before " + large + " after");
  BOOST_TEST(loaded->checkpoint.last_event.value() == 3U);
}

BOOST_AUTO_TEST_CASE(output_too_large_for_an_append_is_reported_and_leaves_earlier_steps) {
  submit("a", 1);
  run(500);
  BOOST_TEST(owner->write_checkpoint("a", 0, {"before", 1, 0}, false));
  BOOST_TEST(!owner->write_checkpoint("a", 0, {std::string(9 * kRecordBytes, 'x'), 2, 0}, false));
  run(500);
  owner = make_owner(2);
  run(500);
  const auto* loaded = owner->ledger().checkpoint("a", 0);
  BOOST_REQUIRE(loaded != nullptr);
  BOOST_TEST(loaded->checkpoint.text == "before");
}

// Guards against stale reads: the next owner lists a result whose append the former owner takes for
// unconfirmed, and a caller that has read it there must not miss it at the former owner.
BOOST_AUTO_TEST_CASE(a_revoked_owner_serves_no_reads_and_its_results_reach_the_next_owner) {
  submit("a", 2);
  run(500);
  log.faults.lose_answers = 1;
  owner->write_result("a", {1, true, "text"});
  run(50);
  const std::unique_ptr<PartitionOwner> former = std::move(owner);
  former->end_reads();
  BOOST_TEST(!former->active());
  log.faults.lose_answers = 0;
  owner = make_owner(2);
  run(500);
  BOOST_TEST(owner->active());
  BOOST_TEST(results("a") == 1U);
  BOOST_TEST(!former->active());
}

BOOST_AUTO_TEST_SUITE_END()
