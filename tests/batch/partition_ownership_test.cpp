/// Partition ownership under log failures, restarts and pauses of nodes.
///
/// Simulates nodes that share an in-memory log. Each node runs the production group member,
/// partition owners and checkpoints; its simulated replica finishes an item after a random number
/// of ticks. The checks use only results visible to readers and records in the log.

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "dockpoint/batch/group_member.hpp"
#include "dockpoint/batch/partition_owner.hpp"
#include "dockpoint/log/hedged_log.hpp"
#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"
#include "support/log_faults.hpp"

using namespace dockpoint;
using dockpoint::test::at;
using dockpoint::test::draw_log_faults;

namespace {

constexpr int kPartitions = 4;
constexpr std::int64_t kStepMs = 20;
const BatchTopics kTopics{"jobs", "results", "reservations", "owners"};

/// One node's connection to the log, which can be cut.
class CuttableLog : public PartitionedLog {
 public:
  explicit CuttableLog(MemoryLog& log) : log_(log) {}

  bool cut = false;

  /// Fails the calls that were made while the connection was cut and have timed out.
  void advance(TimePoint now) {
    now_ = now;
    std::vector<std::pair<TimePoint, std::function<void()>>> later;
    for (auto& [at, end] : std::exchange(ends_, {})) {
      if (at <= now) {
        end();
      } else {
        later.emplace_back(at, std::move(end));
      }
    }
    std::move(later.begin(), later.end(), std::back_inserter(ends_));
  }

  const LogLimits& limits() const override { return log_.limits(); }
  void append(const TopicPartition& partition, const std::vector<KeyedRecord>& records,
              const std::optional<ProducerPosition>& position,
              std::function<void(AppendOutcome)> done) override {
    if (!lost([done] { done({}); })) {
      log_.append(partition, records, position, std::move(done));
    }
  }
  void append_at(const TopicPartition& partition, LogOffset expected_end,
                 const std::vector<KeyedRecord>& records,
                 std::function<void(AppendOutcome)> done) override {
    if (!lost([done] { done({}); })) {
      log_.append_at(partition, expected_end, records, std::move(done));
    }
  }
  void read(const TopicPartition& partition, LogOffset from, const ReadTimes& times,
            std::function<void(ReadOutcome)> done) override {
    if (!lost([done] { done({}); })) {
      log_.read(partition, from, times, std::move(done));
    }
  }
  void newest(const TopicPartition& partition, const std::string& after_key,
              std::function<void(NewestOutcome)> done) override {
    if (!lost([done] { done({}); })) {
      log_.newest(partition, after_key, std::move(done));
    }
  }
  void join(const std::string& group, const std::string& member,
            const std::vector<std::string>& topics, Duration lease, std::uint64_t generation,
            std::function<void(JoinOutcome)> done) override {
    if (!lost([done] { done({}); })) {
      log_.join(group, member, topics, lease, generation, std::move(done));
    }
  }
  void leave(const std::string& group, const std::string& member,
             std::function<void(LogStatus)> done) override {
    log_.leave(group, member, std::move(done));
  }
  void owners(const std::string& group, std::function<void(OwnersOutcome)> done) override {
    log_.owners(group, std::move(done));
  }

 private:
  bool lost(std::function<void()> end) {
    if (cut) {
      ends_.emplace_back(now_ + std::chrono::milliseconds(1500), std::move(end));
    }
    return cut;
  }

  MemoryLog& log_;
  TimePoint now_{};
  std::vector<std::pair<TimePoint, std::function<void()>>> ends_;
};

/// One simulated node.
class Node : PartitionOwnerObserver, GroupMemberObserver {
 public:
  Node(const Knobs& knobs, CuttableLog& log, const std::string& name, std::uint64_t seed)
      : knobs_(knobs),
        log_(knobs, log),
        random_(seed),
        group_(knobs, log_, kTopics.group, kTopics.jobs, name, seed,
               static_cast<GroupMemberObserver&>(*this)) {}

  void tick(TimePoint now) {
    now_ = now;
    log_.tick(now);
    group_.tick(now);
    for (auto& [partition, owner] : owners_) {
      owner->tick(now);
    }
    for (const int partition : std::exchange(fenced_, {})) {
      group_.fenced(partition);
    }
    run_items();
    std::vector<int> idle;
    for (auto& [partition, owner] : owners_) {
      if (owner->pending_writes() == 0) {
        idle.push_back(partition);
      }
    }
    for (const int partition : idle) {
      group_.released(partition);
    }
  }

  const LedgerJob* read(const std::string& job) const {
    const auto owner = owners_.find(job_partition(job, kPartitions));
    if (!group_.lease_valid(now_)) {
      return nullptr;
    }
    return owner != owners_.end() && owner->second->active() ? owner->second->ledger().find(job)
                                                             : nullptr;
  }

 private:
  void run_items() {
    for (auto& [partition, owner] : owners_) {
      if (!owner->active()) {
        continue;
      }
      for (const auto& [id, job] : owner->ledger().jobs()) {
        for (std::uint32_t item = 0; !job.ended && item < job.job.items.size(); ++item) {
          if (!job.listed[item] && !owner->has_pending_result(id, item) && random_() % 10 == 0) {
            BOOST_REQUIRE(owner->write_checkpoint(id, item, {"part", 1, 0}, true));
            owner->write_result(id, {item, true, id + std::to_string(item)});
          }
        }
      }
    }
  }

  void on_partition_active(int) override {}
  void on_job(int, const std::string&) override {}
  void on_job_ended(int, const std::string&) override {}
  void on_results(int, const std::string&) override {}
  void on_partition_fenced(int partition, OwnershipEnd /*reason*/) override {
    fenced_.push_back(partition);
  }
  void on_acquired(int partition, std::uint64_t epoch) override {
    owners_[partition] =
        std::make_unique<PartitionOwner>(knobs_, log_, kTopics, partition, epoch, epoch,
                                         static_cast<PartitionOwnerObserver&>(*this));
  }
  void on_revoked(int) override {}
  void on_ownership_uncertain(int partition) override { owners_[partition]->verify(); }
  void on_lost(int partition) override { owners_.erase(partition); }

  const Knobs& knobs_;
  HedgedLog log_;
  std::mt19937_64 random_;
  TimePoint now_{};
  std::map<int, std::unique_ptr<PartitionOwner>> owners_;
  std::vector<int> fenced_;
  GroupMember group_;
};

/// Simulation of all nodes, reproducible from its seed.
class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {
    for (int index = 0; index < kNodes; ++index) {
      links_[index] = std::make_unique<CuttableLog>(log_);
      start(index);
    }
  }

  /// @return a description of the first violation, or an empty string.
  std::string simulate() {
    constexpr std::int64_t kFaultsEndMs = 30'000;
    constexpr std::int64_t kEndMs = 50'000;
    for (now_ = 0; now_ < kEndMs && problem_.empty(); now_ += kStepMs) {
      if (now_ < kFaultsEndMs) {
        inject_faults();
      } else {
        log_.faults = {};
        for (auto& link : links_) {
          link->cut = false;
        }
      }
      log_.advance(at(now_));
      for (auto& link : links_) {
        link->advance(at(now_));
      }
      for (int index = 0; index < kNodes; ++index) {
        if (nodes_[index] && now_ >= paused_until_[index]) {
          nodes_[index]->tick(at(now_));
        } else if (!nodes_[index] && now_ >= restart_at_[index]) {
          start(index);
        }
      }
      check_all_nodes();
    }
    if (problem_.empty()) {
      check_end();
    }
    return problem_;
  }

 private:
  static constexpr int kNodes = 3;

  void start(int index) {
    const std::string name = "n" + std::to_string(index) + "#" + std::to_string(++runs_);
    nodes_[index] = std::make_unique<Node>(knobs_, *links_[index], name, random_());
  }

  bool chance(int one_in) { return random_() % static_cast<std::uint64_t>(one_in) == 0; }

  void inject_faults() {
    const int node = static_cast<int>(random_() % kNodes);
    if (chance(60)) {
      submit();
    }
    if (chance(200)) {
      nodes_[node].reset();
      restart_at_[node] = now_ + static_cast<std::int64_t>(random_() % 4'000);
    }
    if (chance(200)) {
      paused_until_[node] = now_ + static_cast<std::int64_t>(random_() % 6'000);
    }
    if (chance(150)) {
      log_.faults = draw_log_faults(random_);
    }
    if (chance(250)) {
      links_[node]->cut = !links_[node]->cut;
    }
    if (chance(300)) {
      log_.forget_history();
    }
    if (chance(300)) {
      log_.rebalance();
    }
  }

  void submit() {
    BatchJob job{"job" + std::to_string(jobs_.size()), "host", "/", 0, {}};
    const std::size_t items = 1 + random_() % 4;
    for (std::size_t index = 0; index < items; ++index) {
      BatchItem item;
      item.id = job.id + "-" + std::to_string(index);
      job.items.push_back(item);
    }
    jobs_[job.id] = items;
    log_.append({kTopics.jobs, job_partition(job.id, kPartitions)}, job_records(job, 4096),
                std::nullopt, [this, id = job.id](const AppendOutcome& outcome) {
                  if (outcome.status == LogStatus::kOk) {
                    accepted_.insert(id);
                  }
                });
  }

  /// Checks on every node that the item at a result position never changes once read.
  void check_all_nodes() {
    for (const auto& [id, items] : jobs_) {
      for (int index = 0; index < kNodes; ++index) {
        const LedgerJob* job = nodes_[index] ? nodes_[index]->read(id) : nullptr;
        for (std::size_t place = 0; job != nullptr && place < job->results.size(); ++place) {
          const auto [seen, added] = positions_.try_emplace({id, place}, job->results[place].item);
          if (seen->second != job->results[place].item) {
            problem_ = id + " changed at position " + std::to_string(place);
          }
        }
        if (job != nullptr && now_ >= paused_until_[index]) {
          check_length(id, job->results.size());
        }
      }
    }
  }

  /// Checks that results read on any node more than a second ago are visible on every node that
  /// answers.
  void check_length(const std::string& id, std::size_t length) {
    constexpr std::int64_t kSettleMs = 1'000;
    auto& lengths = lengths_[id];
    for (const auto& [read_at, read_length] : lengths) {
      if (read_length > length && read_at + kSettleMs < now_ && log_.faults.calm()) {
        problem_ = id + " has " + std::to_string(length) + " results, but " +
                   std::to_string(read_length) + " were read before";
      }
    }
    if (lengths.empty() || length > lengths.back().second) {
      lengths.emplace_back(now_, length);
    }
  }

  void check_end() {
    for (const std::string& id : accepted_) {
      const LedgerJob* found = nullptr;
      for (const auto& node : nodes_) {
        found = found == nullptr && node ? node->read(id) : found;
      }
      if (found == nullptr) {
        problem_ = id + " was accepted but cannot be read";
      } else if (!found->complete()) {
        problem_ = id + " was accepted but has unfinished items";
      }
    }
    for (int partition = 0; partition < kPartitions; ++partition) {
      std::map<std::string, int> written;
      for (const KeyedRecord& record : log_.history({kTopics.results, partition})) {
        if (record.key.starts_with('r') && ++written[record.key] > 1) {
          problem_ = "a result was written twice: " + record.key;
        }
      }
    }
  }

  std::mt19937_64 random_;
  Knobs knobs_;
  MemoryLog log_{LogLimits{kPartitions, 4096, 65536, std::chrono::seconds(1)}, 5};
  std::int64_t now_ = 0;
  std::uint64_t runs_ = 0;
  std::unique_ptr<CuttableLog> links_[kNodes];
  std::unique_ptr<Node> nodes_[kNodes];
  std::map<std::string, std::vector<std::pair<std::int64_t, std::size_t>>> lengths_;
  std::int64_t restart_at_[kNodes] = {};
  std::int64_t paused_until_[kNodes] = {};
  std::map<std::string, std::size_t> jobs_;
  std::set<std::string> accepted_;
  std::map<std::pair<std::string, std::size_t>, std::uint32_t> positions_;
  std::string problem_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(partition_ownership)

BOOST_AUTO_TEST_CASE(result_positions_are_stable_and_accepted_items_end_once_under_failures) {
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::string problem = World(seed).simulate();
    BOOST_TEST(problem.empty(), "seed " << seed << ": " << problem);
  }
}

BOOST_AUTO_TEST_SUITE_END()
