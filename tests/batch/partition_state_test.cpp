#include "dockpoint/batch/partition_state.hpp"

#include <boost/test/unit_test.hpp>

#include "dockpoint/batch/checkpoint.hpp"
#include "dockpoint/core/codec.hpp"

using namespace dockpoint;

namespace {

struct Fixture {
  RecordVerdict add(RecordBody body) {
    const Offset offset = state.next_offset();
    return state.apply(offset, PartitionRecord{{1, ++number}, std::move(body)});
  }
  void take_over(Epoch epoch, const std::string& owner) {
    BOOST_TEST((add(OwnershipClaim{epoch, epoch - 1, owner, 1}) == RecordVerdict::kApplied));
  }
  RecordVerdict accept(Epoch epoch, const std::string& id, ItemIndex items) {
    JobAccepted accepted;
    accepted.epoch = epoch;
    accepted.job.id = id;
    accepted.job.items = items;
    return add(std::move(accepted));
  }
  RecordVerdict complete(const std::string& job, ItemIndex item, const std::string& body = "r") {
    ItemCompleted completed;
    completed.job = job;
    completed.item = item;
    completed.status = 200;
    completed.body = body;
    return add(std::move(completed));
  }

  PartitionState state;
  std::uint64_t number = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(partition_state, Fixture)

BOOST_AUTO_TEST_CASE(the_first_of_two_concurrent_claims_wins) {
  take_over(1, "a");
  BOOST_TEST((add(OwnershipClaim{1, 0, "b", 1}) == RecordVerdict::kStaleEpoch));
  BOOST_TEST(state.owner() == "a");
  take_over(2, "b");
  BOOST_TEST((add(OwnershipRelease{1}) == RecordVerdict::kStaleEpoch));
  BOOST_TEST(state.owner() == "b");
}

BOOST_AUTO_TEST_CASE(owner_decisions_with_a_stale_epoch_are_rejected) {
  take_over(1, "a");
  BOOST_TEST((accept(1, "job", 2) == RecordVerdict::kApplied));
  take_over(2, "b");
  BOOST_TEST((accept(1, "other", 2) == RecordVerdict::kStaleEpoch));
  BOOST_TEST((add(ItemAttempt{1, "job", 0}) == RecordVerdict::kStaleEpoch));
  BOOST_TEST((add(OnlineAttempt{1, "key", "t"}) == RecordVerdict::kStaleEpoch));
}

BOOST_AUTO_TEST_CASE(the_first_completion_is_the_result_regardless_of_its_writer) {
  take_over(1, "a");
  accept(1, "job", 2);
  take_over(2, "b");
  const Offset first = state.next_offset();
  BOOST_TEST((complete("job", 0, "from a") == RecordVerdict::kApplied));
  BOOST_TEST((complete("job", 0, "from b") == RecordVerdict::kRepeated));
  BOOST_TEST(state.find_job("job")->results[0] == first + 1);
  BOOST_TEST(state.find_job("job")->completed == 1U);
  complete("job", 1);
  BOOST_TEST((state.find_job("job")->status() == JobStatus::kCompleted));
  BOOST_TEST(state.open_jobs().empty());
}

BOOST_AUTO_TEST_CASE(attempts_and_completions_are_ignored_after_a_cancellation) {
  take_over(1, "a");
  accept(1, "job", 2);
  complete("job", 0);
  BOOST_TEST((add(JobCancelled{"job", 9}) == RecordVerdict::kApplied));
  BOOST_TEST((complete("job", 1) == RecordVerdict::kRepeated));
  BOOST_TEST((add(ItemAttempt{1, "job", 1}) == RecordVerdict::kRepeated));
  BOOST_TEST(state.find_job("job")->completed == 1U);
  BOOST_TEST((state.find_job("job")->status() == JobStatus::kCancelled));
}

BOOST_AUTO_TEST_CASE(only_the_first_attempt_of_an_item_is_applied) {
  take_over(1, "a");
  accept(1, "job", 1);
  BOOST_TEST((add(ItemAttempt{1, "job", 0}) == RecordVerdict::kApplied));
  BOOST_TEST((add(ItemAttempt{1, "job", 0}) == RecordVerdict::kRepeated));
  take_over(2, "b");
  BOOST_TEST((add(ItemAttempt{2, "job", 0}) == RecordVerdict::kRepeated));
}

BOOST_AUTO_TEST_CASE(only_the_request_holding_an_idempotency_key_can_withdraw_it) {
  take_over(1, "a");
  BOOST_TEST((add(OnlineAttempt{1, "key", "t1"}) == RecordVerdict::kApplied));
  BOOST_TEST((add(OnlineAttempt{1, "key", "t2"}) == RecordVerdict::kRepeated));
  BOOST_TEST((add(OnlineAttemptWithdrawn{"key", "t2"}) == RecordVerdict::kRepeated));
  BOOST_TEST(state.online_attempted("key"));
  BOOST_TEST((add(OnlineAttemptWithdrawn{"key", "t1"}) == RecordVerdict::kApplied));
  BOOST_TEST((add(OnlineAttempt{1, "key", "t2"}) == RecordVerdict::kApplied));
}

BOOST_AUTO_TEST_CASE(a_restored_snapshot_evolves_like_the_original_state) {
  take_over(1, "a");
  accept(1, "job", 3);
  complete("job", 1);
  add(ItemAttempt{1, "job", 2});
  const std::unique_ptr<PartitionState> restored = PartitionState::restore(state.snapshot());
  BOOST_TEST_REQUIRE((restored != nullptr));
  const PartitionRecord next{{1, 99}, ItemCompleted{"job", 0, "c", 200, 0, "{}", 5}};
  const Offset offset = state.next_offset();
  BOOST_TEST((state.apply(offset, next) == restored->apply(offset, next)));
  BOOST_TEST(state.snapshot() == restored->snapshot());
  BOOST_TEST((PartitionState::restore("garbage") == nullptr));
}

BOOST_AUTO_TEST_CASE(records_survive_serialization_and_unknown_types_are_not_decoded) {
  const PartitionRecord record{{7, 8}, ItemCompleted{"job", 3, "c", 200, 0, "{}", 5}};
  const std::string bytes = encode(record);
  const auto decoded = decode_partition_record(bytes);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(encode(*decoded) == bytes);
  BOOST_TEST(!decode_partition_record("").has_value());
  BOOST_TEST(!decode_partition_record(bytes.substr(0, bytes.size() / 2)).has_value());
  // A record type of a later version: [version, id, type, body].
  const std::string later = pack(std::make_tuple(1, std::make_tuple(7, 8), 200, std::string("x")));
  BOOST_TEST(!decode_partition_record(later).has_value());
}

BOOST_AUTO_TEST_CASE(the_newest_complete_checkpoint_is_found_among_incomplete_ones) {
  const std::string old_snapshot(1000, 'o');
  const std::string new_snapshot(1000, 'n');
  std::vector<std::string> stream = make_checkpoint_records(10, 1, old_snapshot, 300);
  const std::vector<std::string> first = make_checkpoint_records(20, 2, new_snapshot, 300);
  const std::vector<std::string> second =
      make_checkpoint_records(30, 3, "unfinished" + old_snapshot, 300);
  for (std::size_t index = 0; index < first.size(); ++index) {
    stream.push_back(first[index]);
    if (index + 1 < second.size()) {
      stream.push_back(second[index]);  // The writer crashes before the last chunk.
    }
  }
  BOOST_TEST(assemble_checkpoint(stream).value() == new_snapshot);
  stream.resize(4);
  BOOST_TEST(assemble_checkpoint(stream).value() == old_snapshot);
  stream.resize(3);
  BOOST_TEST(!assemble_checkpoint(stream).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
