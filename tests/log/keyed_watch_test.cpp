#include "dockpoint/log/keyed_watch.hpp"

#include <boost/test/unit_test.hpp>

#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

const TopicPartition kPartition{"topic", 0};

struct Fixture : KeyedWatchObserver {
  Knobs knobs;
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  KeyedWatch watch{knobs, log, kPartition, 7, *this};
  std::map<std::string, std::string> values;
  int snapshots = 0;
  int losses = 0;
  std::int64_t now = 0;

  void put(const std::string& key, const std::string& value) {
    log.append(kPartition, {{key, value, 0}}, std::nullopt, [](const AppendOutcome&) {});
  }
  void run(std::int64_t milliseconds) {
    const std::int64_t end = now + milliseconds;
    for (; now < end; now += 10) {
      log.advance(at(now));
      watch.tick(at(now));
    }
  }
  void on_snapshot(const std::vector<KeyedRecord>& records) override {
    ++snapshots;
    values.clear();
    for (const KeyedRecord& record : records) {
      values[record.key] = record.value;
    }
  }
  void on_record(const KeyedRecord& record) override {
    if (record.value.empty()) {
      values.erase(record.key);
    } else {
      values[record.key] = record.value;
    }
  }
  void on_caught_up() override {}
  void on_reachable(bool reachable, Duration /*silence*/) override { losses += reachable ? 0 : 1; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(keyed_watch, Fixture)

BOOST_AUTO_TEST_CASE(it_loads_all_pages_and_follows) {
  for (int key = 0; key < 120; ++key) {
    put("k" + std::to_string(key), "1");
  }
  run(200);
  BOOST_TEST(values.size() == 120U);
  put("k5", "2");
  put("k6", "");
  run(100);
  BOOST_TEST(values["k5"] == "2");
  BOOST_TEST(!values.contains("k6"));
  BOOST_TEST(snapshots == 1);
}

BOOST_AUTO_TEST_CASE(many_records_in_a_row_come_in_few_reads) {
  run(200);
  const std::size_t before = log.reads();
  for (int key = 0; key < 200; ++key) {
    put("k" + std::to_string(key), "1");
    run(10);
  }
  run(500);
  BOOST_TEST(values.size() == 200U);
  BOOST_TEST(log.reads() - before <= 13U);  // One in 200 ms, over 2.5 s.
}

BOOST_AUTO_TEST_CASE(a_record_that_comes_alone_is_told_at_once) {
  run(1'000);
  put("k", "1");
  run(20);
  BOOST_TEST(values.contains("k"));
}

BOOST_AUTO_TEST_CASE(it_loads_anew_when_history_is_gone) {
  run(100);
  log.faults.down = true;
  run(5'000);
  log.faults.down = false;
  put("a", "1");
  put("b", "1");
  put("a", "");
  log.forget_history();
  run(3'000);
  BOOST_TEST((values == std::map<std::string, std::string>{{"b", "1"}}));
  BOOST_TEST(losses == 1);
}

BOOST_AUTO_TEST_CASE(a_node_that_wakes_vouches_for_nothing_before_its_first_round) {
  for (std::int64_t phase = 0; phase < 3'000; phase += 50) {
    run(200 + phase);
    BOOST_TEST((watch.state(at(now)) == WatchState::kFollowing));
    now += 10'000;
    BOOST_TEST((watch.state(at(now)) == WatchState::kOverdue));
    run(5'000);
  }
}

BOOST_AUTO_TEST_CASE(after_a_suspension_nothing_is_vouched_for_until_the_log_confirms_it) {
  for (std::int64_t phase = 0; phase < 3'000; phase += 100) {
    run(200 + phase);
    BOOST_TEST((watch.state(at(now)) == WatchState::kFollowing));
    // Connections died meanwhile: a read that was under way is never answered.
    log.faults.silent = true;
    log.advance(at(now));
    now += 60'000;
    log.faults.silent = false;
    put("k", std::to_string(phase));
    watch.mark_unconfirmed();
    BOOST_TEST((watch.state(at(now)) == WatchState::kOverdue));
    run(200);
    BOOST_TEST((watch.state(at(now)) == WatchState::kFollowing));
    BOOST_TEST(values["k"] == std::to_string(phase));
  }
}

BOOST_AUTO_TEST_CASE(it_outlives_a_silent_log) {
  run(100);
  log.faults.silent = true;
  run(6'000);
  log.faults.silent = false;
  put("a", "1");
  run(2'000);
  BOOST_TEST(values["a"] == "1");
}

// The log was silent for five seconds. A read that had begun shortly before its return was never
// answered, and the watch waited for it until its time limit, 3.25 s, so that a configuration that
// was acknowledged after the return was not in force within its 2 s. All nodes were in step:
//   fleet: log lost topic=CONFIGURATION   at nine of nine nodes, 7.466 to 7.480 s
//   fleet: log regained topic=REPLICAS    at nine of nine nodes, 14.330 to 14.486 s, where the
//   log had answered again from 11.37 s on.
// The silence here ends at each phase of a read.
BOOST_AUTO_TEST_CASE(news_after_a_silent_log_returns_come_in_time) {
  constexpr std::int64_t kInForceMs = 2'000;
  constexpr std::int64_t kPhaseStepMs = 100;
  run(200);
  for (std::int64_t silence = 300; silence < 7'000; silence += kPhaseStepMs) {
    log.faults.silent = true;
    run(silence);
    log.faults.silent = false;
    const std::string value = std::to_string(silence);
    put("a", value);
    run(kInForceMs);
    BOOST_TEST(values["a"] == value, "not told in time after a silence of " << silence << " ms");
    run(5'000);
    BOOST_TEST(values["a"] == value);
  }
}

BOOST_AUTO_TEST_CASE(on_demand_it_reads_to_the_end_and_only_when_asked) {
  KeyedWatch on_demand{knobs, log, kPartition, 8, *this, WatchMode::kOnDemand};
  const auto run_on_demand = [&] {
    for (const std::int64_t end = now + 200; now < end; now += 10) {
      log.advance(at(now));
      on_demand.tick(at(now));
    }
  };
  put("a", "1");
  run_on_demand();
  BOOST_TEST(values.empty());
  on_demand.refresh();
  run_on_demand();
  BOOST_TEST(values.at("a") == "1");
  BOOST_TEST(on_demand.position() == 1);
  put("a", "2");
  run_on_demand();
  BOOST_TEST(values.at("a") == "1");
  on_demand.refresh();
  run_on_demand();
  BOOST_TEST(values.at("a") == "2");
  BOOST_TEST(on_demand.position() == 2);
}

BOOST_AUTO_TEST_CASE(a_refresh_that_fails_is_repeated) {
  KeyedWatch on_demand{knobs, log, kPartition, 8, *this, WatchMode::kOnDemand};
  put("a", "1");
  log.faults.down = true;
  on_demand.refresh();
  const auto run_on_demand = [&] {
    for (const std::int64_t end = now + 2'000; now < end; now += 10) {
      log.advance(at(now));
      on_demand.tick(at(now));
    }
  };
  run_on_demand();
  BOOST_TEST(values.empty());
  log.faults.down = false;
  run_on_demand();
  BOOST_TEST(values.at("a") == "1");
}

BOOST_AUTO_TEST_SUITE_END()
