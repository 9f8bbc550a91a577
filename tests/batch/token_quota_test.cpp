/// The limit on waiting tokens, enforced by several nodes over a faulty log.

#include "dockpoint/batch/token_quota.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "dockpoint/log/hedged_log.hpp"
#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"
#include "support/log_faults.hpp"

using namespace dockpoint;
using dockpoint::test::at;
using dockpoint::test::draw_log_faults;

namespace {

const TopicPartition kPartition{"reservations", 0};
constexpr std::int64_t kStepMs = 10;

/// State of a job in the log and of its items.
struct Job {
  double tokens = 0;
  double waiting = 0;
  bool in_log = false;
  bool accepted = false;
};
using Jobs = std::map<std::string, Job>;

/// One node's view of the jobs: a node owns either all partitions or none, and then knows no job.
class Owner : public OwnedJobs {
 public:
  explicit Owner(const Jobs& jobs) : jobs_(jobs) {}
  bool owns = false;

  std::optional<State> find(const std::string& job) const override {
    if (!owns) {
      return std::nullopt;
    }
    const auto found = jobs_.find(job);
    const bool known = found != jobs_.end() && found->second.in_log;
    return State{known, known ? found->second.waiting : 0};
  }
  std::vector<OpenJob> open_jobs(const std::string&) const override {
    std::vector<OpenJob> open;
    for (const auto& [id, job] : jobs_) {
      if (owns && job.in_log && job.waiting > 0) {
        open.push_back({id, {}, job.waiting});
      }
    }
    return open;
  }

 private:
  const Jobs& jobs_;
};

/// Simulation of nodes that share a log, reproducible from its seed. Jobs are submitted and
/// resubmitted on all nodes, items finish at random, and nodes restart and pause.
class World {
 public:
  World(std::uint64_t seed, double limit) : random_(seed), limit_(limit) {
    for (int index = 0; index < kNodes; ++index) {
      start(index);
    }
  }

  /// @return a description of the first violation, or an empty string.
  std::string simulate() {
    constexpr std::int64_t kFaultsEndMs = 30'000;
    constexpr std::int64_t kEndMs = 60'000;
    for (now_ = 0; now_ < kEndMs && problem_.empty(); now_ += kStepMs) {
      if (now_ < kFaultsEndMs) {
        inject_faults();
      } else {
        log_.faults = {};
      }
      log_.advance(at(now_));
      for (int index = 0; index < kNodes; ++index) {
        tick(index);
      }
      finish_items();
    }
    if (problem_.empty()) {
      check_end();
    }
    return problem_;
  }

  std::size_t accepted() const {
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(), jobs_.end(), [](const auto& entry) { return entry.second.accepted; }));
  }

 private:
  static constexpr int kNodes = 4;

  struct Node {
    Node(const Knobs& knobs, MemoryLog& memory, const Jobs& jobs, std::uint64_t seed)
        : owner(jobs), log(knobs, memory), quota(knobs, log, kPartition, "route", owner, seed) {}
    Owner owner;
    HedgedLog log;
    TokenQuota quota;
  };

  void start(int index) {
    nodes_[index] = std::make_unique<Node>(knobs_, log_, jobs_, random_());
    nodes_[index]->owner.owns = index == owner_;
  }

  bool chance(int one_in) { return random_() % static_cast<std::uint64_t>(one_in) == 0; }

  void inject_faults() {
    const int node = static_cast<int>(random_() % kNodes);
    if (chance(500)) {
      start(node);
    }
    if (chance(500)) {
      paused_until_[node] = now_ + static_cast<std::int64_t>(random_() % 6'000);
    }
    if (chance(400)) {
      log_.faults = draw_log_faults(random_);
    }
    if (chance(600)) {
      log_.forget_history();
    }
    if (chance(300)) {
      owner_ = node;
      for (int index = 0; index < kNodes; ++index) {
        nodes_[index]->owner.owns = index == owner_;
      }
    }
  }

  void tick(int index) {
    if (now_ < paused_until_[index]) {
      return;
    }
    Node& node = *nodes_[index];
    node.log.tick(at(now_));
    node.quota.tick(at(now_), now_, {limit_, kNodes});
    if (chance(40)) {
      submit(node, "job" + std::to_string(number_++));
    } else if (chance(200) && number_ > 0) {
      submit(node, "job" + std::to_string(random_() % number_));
    }
  }

  void submit(Node& node, const std::string& id) {
    Job& job = jobs_[id];
    if (job.tokens == 0) {
      job.tokens = job.waiting = 1 + static_cast<double>(random_() % 20);
    }
    auto started = std::make_shared<bool>(false);
    const QuotaStart start =
        node.quota.reserve({id, job.tokens, at(now_) + knobs_.submission_wait},
                           [this, id, started, sent = now_](const QuotaAnswer& answer) {
                             handle_answer(id, answer, sent, *started);
                           });
    if (start == QuotaStart::kProceed) {
      *started = true;
      job.in_log = true;
    }
  }

  void handle_answer(const std::string& id, const QuotaAnswer& answer, std::int64_t sent,
                     bool started) {
    Job& job = jobs_[id];
    const bool in_time = at(now_) < at(sent) + knobs_.submission_wait;
    if (answer.verdict == QuotaVerdict::kReserved && in_time) {
      job.in_log = true;
      job.accepted = true;
      check_limit(id);
    } else if (answer.verdict == QuotaVerdict::kOverLimit && started) {
      problem_ = id + " was refused after the answer kProceed";
    }
  }

  void check_limit(const std::string& id) {
    double waiting = 0;
    for (const auto& [other, job] : jobs_) {
      waiting += job.accepted ? job.waiting : 0;
    }
    if (waiting > limit_) {
      problem_ = "after accepting " + id + " " + std::to_string(waiting) + " tokens wait at " +
                 std::to_string(now_) + " ms";
    }
  }

  void finish_items() {
    for (auto& [id, job] : jobs_) {
      if (job.in_log && job.waiting > 0 && chance(60)) {
        job.waiting = std::max(0.0, job.waiting - 5);
      }
    }
  }

  /// Checks that no tokens leak: once all items are finished, the whole limit is available again.
  void check_end() {
    const std::int64_t settled = now_ + 25'000;
    for (; now_ < settled; now_ += kStepMs) {
      for (auto& [id, job] : jobs_) {
        job.waiting = job.in_log ? 0 : job.waiting;
      }
      log_.advance(at(now_));
      for (auto& node : nodes_) {
        node->log.tick(at(now_));
        node->quota.tick(at(now_), now_, {limit_, kNodes});
      }
    }
    if (nodes_[owner_]->quota.waiting_tokens() > 0) {
      problem_ =
          std::to_string(nodes_[owner_]->quota.waiting_tokens()) + " tokens are reserved by no job";
    }
  }

  std::mt19937_64 random_;
  const double limit_;
  Knobs knobs_;
  MemoryLog log_{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, random_()};
  Jobs jobs_;
  std::int64_t now_ = 0;
  std::uint64_t number_ = 0;
  int owner_ = 0;
  std::unique_ptr<Node> nodes_[kNodes];
  std::int64_t paused_until_[kNodes] = {};
  std::string problem_;
};

/// One node that owns no partition, on a log without faults.
struct Fixture {
  Knobs knobs;
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  Jobs jobs;
  Owner owner{jobs};
  TokenQuota quota{knobs, log, kPartition, "route", owner, 3};
  QuotaRoute route{100, 4};
  std::vector<QuotaAnswer> answers;
  std::int64_t now = 0;

  Fixture() { run(10); }

  void run(std::int64_t milliseconds) {
    const std::int64_t end = now + milliseconds;
    for (; now < end; now += 10) {
      log.advance(at(now));
      quota.tick(at(now), now, route);
    }
  }
  QuotaStart reserve(const std::string& job, double tokens, const std::string& tenant = {}) {
    return quota.reserve({job, tokens, at(now) + knobs.submission_wait, tenant},
                         [this](const QuotaAnswer& answer) { answers.push_back(answer); });
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(token_quota)

BOOST_AUTO_TEST_CASE(accepted_jobs_never_exceed_the_limit_under_failures) {
  constexpr std::uint64_t kSeeds = 120;
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const double limit = seed % 2 == 0 ? 60 : 400;  // Too small for allotments, and large enough.
    World world(seed, limit);
    const std::string problem = world.simulate();
    BOOST_TEST(problem.empty(), "seed " << seed << ": " << problem);
    accepted += world.accepted();
  }
  BOOST_TEST(accepted > kSeeds * 100);
}

BOOST_FIXTURE_TEST_CASE(a_job_over_the_limit_is_refused_with_a_retry_time, Fixture) {
  BOOST_TEST((reserve("a", 60) == QuotaStart::kWait));
  BOOST_TEST((reserve("b", 60) == QuotaStart::kWait));
  run(100);
  BOOST_REQUIRE(answers.size() == 2);
  BOOST_TEST((answers[0].verdict == QuotaVerdict::kOverLimit));
  BOOST_TEST((answers[0].fits_after >= knobs.quota_retry_earliest));
  BOOST_TEST((answers[1].verdict == QuotaVerdict::kReserved));
}

BOOST_FIXTURE_TEST_CASE(a_repeated_submission_reserves_no_additional_tokens, Fixture) {
  reserve("a", 60);
  run(100);
  reserve("a", 60);
  run(100);
  BOOST_REQUIRE(answers.size() == 2);
  BOOST_TEST((answers[1].verdict == QuotaVerdict::kReserved));
  BOOST_TEST(quota.waiting_tokens() == 60);
}

BOOST_FIXTURE_TEST_CASE(a_job_far_below_the_limit_proceeds_from_the_allotment, Fixture) {
  route.limit = 1'000;
  run(10'000);
  BOOST_TEST((reserve("a", 60) == QuotaStart::kProceed));
  BOOST_TEST((reserve("b", 60) == QuotaStart::kProceed));
  BOOST_TEST((reserve("c", 60) == QuotaStart::kWait));  // The node's allotment is 125.
  run(100);
  BOOST_REQUIRE(answers.size() == 3);
  BOOST_TEST((answers[2].verdict == QuotaVerdict::kReserved));
}

BOOST_FIXTURE_TEST_CASE(finished_items_release_their_tokens, Fixture) {
  owner.owns = true;
  jobs["a"] = {80, 80, true, true};
  reserve("a", 80);
  run(500);
  jobs["a"].waiting = 20;
  run(1'000);
  reserve("b", 60);
  run(100);
  BOOST_REQUIRE(answers.size() == 2);
  BOOST_TEST((answers[1].verdict == QuotaVerdict::kReserved));
}

BOOST_FIXTURE_TEST_CASE(the_limit_applies_to_each_tenant_separately, Fixture) {
  reserve("a", 60, "clinic");
  reserve("b", 60, "shop");
  reserve("c", 60, "clinic");
  run(100);
  BOOST_REQUIRE(answers.size() == 3);
  BOOST_TEST((answers[0].verdict == QuotaVerdict::kOverLimit));
  BOOST_TEST((answers[1].verdict == QuotaVerdict::kReserved));
  BOOST_TEST((answers[2].verdict == QuotaVerdict::kReserved));
  BOOST_TEST(quota.waiting_tokens("clinic") == 60);
  BOOST_TEST(quota.waiting_tokens("shop") == 60);
}

BOOST_FIXTURE_TEST_CASE(idle_tenants_add_no_log_calls, Fixture) {
  const auto calls_of = [&](std::int64_t milliseconds) {
    const std::size_t before = log.reads();
    run(milliseconds);
    return log.reads() - before;
  };
  reserve("a0", 1, "tenant-0");
  run(1'000);
  const std::size_t with_one = calls_of(12'000);
  for (int tenant = 1; tenant < 50; ++tenant) {
    reserve("a" + std::to_string(tenant), 1, "tenant-" + std::to_string(tenant));
  }
  run(1'000);
  BOOST_TEST(calls_of(12'000) <= with_one + 2);
}

BOOST_FIXTURE_TEST_CASE(a_reservation_without_a_job_is_removed, Fixture) {
  owner.owns = true;
  reserve("a", 80);
  run(14'000);
  BOOST_TEST(quota.waiting_tokens() == 80);
  run(3'000);
  BOOST_TEST(quota.waiting_tokens() == 0);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_reserved_while_the_log_is_down, Fixture) {
  log.faults.down = true;
  reserve("a", 60);
  run(3'000);
  BOOST_REQUIRE(answers.size() == 1);
  BOOST_TEST((answers[0].verdict == QuotaVerdict::kUnavailable));
  BOOST_TEST(log.history(kPartition).empty());
}

BOOST_AUTO_TEST_SUITE_END()
