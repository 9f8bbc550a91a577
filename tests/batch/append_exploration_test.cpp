/// Explores the order in which appends of results are answered, lost, applied late, repeated by
/// hedged calls, fenced and moved to another owner.
///
/// One owner, then another, of one partition, over a log with random faults. A wrapper records what
/// each sequence number was sent with. The checks compare what readers see with the log.

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "dockpoint/batch/partition_owner.hpp"
#include "dockpoint/log/hedged_log.hpp"
#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"
#include "support/log_faults.hpp"

using namespace dockpoint;
using dockpoint::test::at;
using dockpoint::test::draw_log_faults;

namespace {

constexpr std::int64_t kStepMs = 20;
constexpr std::int64_t kFaultsEndMs = 12'000;
constexpr std::int64_t kEndMs = 24'000;
constexpr std::uint32_t kItems = 8;
const std::string kJob = "a";
const BatchTopics kTopics{"jobs", "results", "reservations", "group"};

/// Passes calls on, and records the content of each sequence number.
class RecordingLog : public PartitionedLog {
 public:
  explicit RecordingLog(MemoryLog& log) : log_(log) {}

  std::string problem;
  std::size_t appends = 0;

  const LogLimits& limits() const override { return log_.limits(); }
  void append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
              const std::optional<ProducerPosition>& position,
              std::function<void(AppendOutcome)> done) override {
    if (position) {
      ++appends;
      check(*position, records);
    }
    log_.append(partition, records, position, std::move(done));
  }
  void append_at(const TopicPartition& partition, LogOffset expected_end,
                 const std::vector<KeyedRecord>& records,
                 std::function<void(AppendOutcome)> done) override {
    log_.append_at(partition, expected_end, records, std::move(done));
  }
  void read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
            std::function<void(ReadOutcome)> done) override {
    log_.read(partition, from, times, std::move(done));
  }
  void newest(const TopicPartition& partition, const std::string& after_key,
              std::function<void(NewestOutcome)> done) override {
    log_.newest(partition, after_key, std::move(done));
  }
  void join(const std::string& group, const std::string& member,
            const std::vector<std::string>& topics, Duration lease, std::uint64_t generation,
            std::function<void(JoinOutcome)> done) override {
    log_.join(group, member, topics, lease, generation, std::move(done));
  }
  void leave(const std::string& group, const std::string& member,
             std::function<void(LogStatus)> done) override {
    log_.leave(group, member, std::move(done));
  }
  void owners(const std::string& group, std::function<void(OwnersOutcome)> done) override {
    log_.owners(group, std::move(done));
  }

 private:
  using Content = std::vector<std::pair<std::string, std::string>>;

  void check(const ProducerPosition& position, const std::vector<KeyedRecord>& records) {
    Content content;
    bool has_result = false;
    for (const KeyedRecord& record : records) {
      content.emplace_back(record.key, record.value);
      has_result = has_result || record.key.starts_with('r');
    }
    const auto number = std::pair(position.epoch, position.sequence);
    const auto [sent, added] = content_of_.try_emplace(number, content);
    // The owner after this one may take the number with a marker, and reads the log after it.
    const bool marker = content.size() == 1 && content.front().second.empty();
    if (sent->second != content && !marker) {
      problem = "sequence number " + std::to_string(position.sequence) + " has two contents";
    }
    if (!has_result) {
      return;
    }
    const auto [first, fresh] = number_of_.try_emplace(std::pair(position.epoch, content), number);
    if (first->second != number) {
      problem = "records of sequence number " + std::to_string(first->second.second) +
                " were sent under " + std::to_string(position.sequence);
    }
  }

  MemoryLog& log_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Content> content_of_;
  std::map<std::pair<std::uint64_t, Content>, std::pair<std::uint64_t, std::uint64_t>> number_of_;
};

/// One owner at a time, replaced now and then, in the same epoch or a higher one.
class World : PartitionOwnerObserver {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {
    BatchJob job;
    job.id = kJob;
    job.items.resize(kItems);
    memory_.append({kTopics.jobs, 0}, job_records(job, 4096), std::nullopt,
                   [](const AppendOutcome&) {});
    start_owner();
  }

  /// @return a description of the first violation, or an empty string.
  std::string simulate() {
    for (now_ = 0; now_ < kEndMs && log_.problem.empty(); now_ += kStepMs) {
      if (now_ < kFaultsEndMs) {
        disturb();
      } else {
        memory_.faults = {};
      }
      memory_.advance(at(now_));
      hedged_.tick(at(now_));
      owner_->tick(at(now_));
      if (former_) {
        former_->tick(at(now_));
      }
      if (std::exchange(ended_, false)) {
        start_owner();
      }
      run_items();
      check_positions();
    }
    if (log_.problem.empty() && positions_.size() != kItems) {
      log_.problem = std::to_string(positions_.size()) + " items are listed";
    }
    return log_.problem;
  }

  std::size_t appends() const { return log_.appends; }
  std::int64_t inactive_ms() const { return inactive_ms_; }

 private:
  bool chance(std::uint64_t one_in) { return random_() % one_in == 0; }

  void start_owner() {
    owner_ = std::make_unique<PartitionOwner>(knobs_, hedged_, kTopics, 0, epoch_, random_(),
                                              static_cast<PartitionOwnerObserver&>(*this));
  }

  void disturb() {
    if (chance(25)) {
      memory_.faults = draw_log_faults(random_);
    }
    if (chance(40)) {
      owner_->verify();
    }
    if (chance(150)) {
      ++epoch_;
      owner_->end_reads();
      former_ = std::move(owner_);  // Unaware of it for a while, and still writing.
      start_owner();
    }
    if (chance(200)) {
      start_owner();  // The same epoch, with calls of the owner before it under way.
    }
  }

  void run_items() {
    inactive_ms_ += owner_->active() ? 0 : kStepMs;
    const bool calm = now_ >= kFaultsEndMs;
    for (std::uint32_t item = 0; item < kItems; ++item) {
      if (calm || chance(kItems * 20)) {
        run_item(*owner_, item);
      }
      if (former_ && chance(kItems * 20)) {
        run_item(*former_, item);
      }
    }
  }

  void run_item(PartitionOwner& owner, std::uint32_t item) {
    const LedgerJob* job = owner.ledger().find(kJob);
    const bool may_write = owner.active() || (&owner == former_.get() && !owner.fenced());
    if (job == nullptr || !may_write || job->listed[item]) {
      return;
    }
    if (chance(2)) {
      BOOST_REQUIRE(owner.write_checkpoint(kJob, item, {"part", 1, 0}, true));
    }
    if (!owner.has_pending_result(kJob, item)) {
      owner.write_result(kJob, {item, true, std::to_string(random_())});
    }
  }

  /// Checks that what was read once stays, and that it is in the log.
  void check_positions() {
    const LedgerJob* job = owner_->active() ? owner_->ledger().find(kJob) : nullptr;
    if (job == nullptr) {
      return;
    }
    for (std::size_t place = 0; place < job->results.size(); ++place) {
      const std::string& text = job->results[place].text;
      if (place == positions_.size()) {
        positions_.push_back(text);
      }
      if (positions_[place] != text) {
        log_.problem = "position " + std::to_string(place) + " changed";
      }
    }
    if (job->results.size() < positions_.size()) {
      log_.problem = "a result that was read is missing";
    }
  }

  void on_partition_active(int /*partition*/) override {}
  void on_job(int /*partition*/, const std::string& /*job*/) override {}
  void on_job_ended(int /*partition*/, const std::string& /*job*/) override {}
  void on_results(int /*partition*/, const std::string& /*job*/) override {}
  void on_partition_fenced(int /*partition*/, OwnershipEnd /*reason*/) override {
    ended_ = ended_ || owner_->fenced();
  }

  std::mt19937_64 random_;
  Knobs knobs_;
  MemoryLog memory_{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, random_()};
  RecordingLog log_{memory_};
  HedgedLog hedged_{knobs_, log_};
  std::int64_t now_ = 0;
  std::int64_t inactive_ms_ = 0;
  std::uint64_t epoch_ = 1;
  bool ended_ = false;
  std::unique_ptr<PartitionOwner> owner_;
  std::unique_ptr<PartitionOwner> former_;
  std::vector<std::string> positions_;  ///< Texts of the results that were read.
};

}  // namespace

BOOST_AUTO_TEST_SUITE(append_exploration)

// Guards against results that are listed but in no log, whatever happens to calls.
BOOST_AUTO_TEST_CASE(results_that_were_read_stay_whatever_happens_to_appends) {
  constexpr std::uint64_t kSeeds = 10'000;
  std::size_t appends = 0;
  std::int64_t inactive_ms = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    World world(seed);
    const std::string problem = world.simulate();
    BOOST_TEST(problem.empty(), "seed " << seed << ": " << problem);
    appends += world.appends();
    inactive_ms += world.inactive_ms();
  }
  BOOST_TEST_MESSAGE("appends=" << appends << " inactiveMs=" << inactive_ms);
}

BOOST_AUTO_TEST_SUITE_END()
