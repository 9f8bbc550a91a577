#include "gateway/fleet_watch.hpp"

#include <boost/test/unit_test.hpp>

#include "emulator/memory_log.hpp"
#include "gateway/gateway_surroundings.hpp"
#include "platform/fleet.hpp"
#include "platform/replica_records.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

/// A node's view of the fleet on a log in memory, in simulated time.
struct Fixture : test::GatewaySurroundings {
  platform::PlatformFleet reader;
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  const FleetTopics topics = platform::PlatformFleet::fleet_topics();
  FleetWatch watch{context, log, reader, topics, 7, [] {}};
  std::int64_t now = 0;

  void write_value(const std::string& id, const std::string& value) {
    log.append(topics.replicas, {{id, value, 0}}, std::nullopt, [](const AppendOutcome&) {});
  }
  void write_operator(const std::string& key, const std::string& value) {
    log.append(topics.configuration, {{key, value, 0}}, std::nullopt, [](const AppendOutcome&) {});
  }
  void write(const std::string& id, bool present) { write_value(id, present ? record() : ""); }
  /// @return a replica's record; of the life that began at a time, if one is given.
  static std::string record(std::optional<std::int64_t> started_ms = std::nullopt) {
    return test::replica_record("10.0.0.1:80", 4, "ready", started_ms).dump();
  }
  void run(std::int64_t milliseconds) {
    const std::int64_t end = now + milliseconds;
    for (; now < end; now += 10) {
      log.advance(at(now));
      watch.tick(at(now), 0);
    }
  }
  std::size_t ready() const { return directory.ready("lm").size(); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_watch, Fixture)

BOOST_AUTO_TEST_CASE(a_removal_counts_at_once) {
  write("r1", true);
  write("r2", true);
  run(200);
  BOOST_TEST(ready() == 2U);
  write("r1", false);
  run(100);
  BOOST_TEST(ready() == 1U);
}

BOOST_AUTO_TEST_CASE(
    replicas_whose_records_lapsed_while_the_log_was_away_are_used_until_they_are_back) {
  write("r1", true);
  write("r2", true);
  run(200);
  log.faults.down = true;
  run(4'000);
  log.faults.down = false;
  write("r1", false);
  write("r2", false);
  run(1'500);
  BOOST_TEST(ready() == 2U);
  BOOST_TEST(watch.state().replicas.empty());  // Peers are told what the log holds.
  write("r1", true);
  run(500);
  BOOST_TEST(ready() == 2U);
  run(2'000);
  BOOST_TEST(ready() == 1U);
  BOOST_TEST(directory.find("r1") != nullptr);
}

BOOST_AUTO_TEST_CASE(what_a_peer_misses_while_the_log_is_away_is_held_too) {
  write("r1", true);
  run(200);
  log.faults.down = true;
  run(4'000);  // Until the read that waits has ended.
  FleetState state;
  state.replicas_known = true;
  state.replicas_position = 9;
  watch.take(state, "peer");
  run(1'000);
  BOOST_TEST(ready() == 1U);
  run(1'500);
  BOOST_TEST(ready() == 0U);
}

// One of four replicas drained and left while the node was cut off; its record was compacted away.
// The grace time for lapsed records kept it in use for 2 s more, beyond the bound on sends to a
// replica that drains: seed 207 of the freshness exploration.
BOOST_AUTO_TEST_CASE(a_single_replica_that_left_while_the_log_was_away_gets_no_work) {
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    write(id, true);
  }
  run(200);
  log.faults.down = true;
  run(4'000);
  log.faults.down = false;
  write("r1", false);
  log.forget_history();
  run(800);
  BOOST_TEST(ready() == 3U);
  BOOST_TEST(directory.find("r1") != nullptr);  // Its requests may still end.
  write("r1", true);                            // It had lapsed after all.
  run(500);
  BOOST_TEST(ready() == 4U);
}

// Nothing new goes to the replicas of a zone that the operator has evacuated, from the log's word
// or a peer's, until it is taken back.
BOOST_AUTO_TEST_CASE(replicas_of_an_evacuated_zone_get_no_work_until_it_is_taken_back) {
  write("r1", true);
  run(200);
  const std::string zone = directory.find("r1")->record.zone;
  write_operator(topics.evacuation_prefix + zone, "{}");
  run(100);
  BOOST_TEST(ready() == 0U);
  BOOST_TEST(directory.find("r1") != nullptr);  // What runs there ends.
  write_operator(topics.evacuation_prefix + zone, "");
  run(300);
  BOOST_TEST(ready() == 1U);
}

BOOST_AUTO_TEST_CASE(an_evacuation_from_before_the_start_counts) {
  write("r1", true);
  write_operator(topics.evacuation_prefix + "zone-a", "{}");
  log.forget_history();
  run(300);
  BOOST_TEST_REQUIRE(directory.find("r1") != nullptr);
  BOOST_TEST(ready() == 0U);
}

BOOST_AUTO_TEST_CASE(evacuations_come_from_a_peer_that_has_read_further_and_from_no_other) {
  write("r1", true);
  run(200);
  log.faults.down = true;
  FleetState state;
  state.operator_position = 5;
  state.evacuated_zones = {"zone-a"};
  watch.take(state, "peer");
  BOOST_TEST(ready() == 0U);
  BOOST_TEST(watch.knowledge().operator_position == 5U);
  watch.take(FleetState{}, "a peer that knows nothing, or an older build");
  BOOST_TEST(ready() == 0U);
  state.operator_position = 6;
  state.evacuated_zones.clear();
  watch.take(state, "peer");
  BOOST_TEST(ready() == 1U);
}

// Of thousands of replicas a node uses a part, and tells peers of all.
BOOST_AUTO_TEST_CASE(of_a_large_fleet_a_part_is_used_and_all_records_are_kept) {
  constexpr std::size_t kReplicas = 2'000;
  std::vector<KeyedRecord> records;
  for (std::size_t index = 0; index < kReplicas; ++index) {
    records.push_back({"r" + std::to_string(index), record(), 0});
  }
  for (std::size_t begin = 0; begin < kReplicas; begin += 100) {
    log.append(topics.replicas, {records.begin() + begin, records.begin() + begin + 100},
               std::nullopt, [](const AppendOutcome&) {});
  }
  run(3'000);
  BOOST_TEST(watch.state().replicas.size() == kReplicas);
  // The replicas stand in another zone than the node: only spares are used.
  BOOST_TEST(ready() > 0U);
  BOOST_TEST(ready() < 400U);
  const std::size_t before = ready();
  const std::string used = directory.ready("lm").front()->record.id;
  write(used, false);
  run(500);
  BOOST_TEST(ready() == before - 1);
  // The service shrinks to a size at which it is used whole.
  for (std::size_t index = 0; index < kReplicas - 100; ++index) {
    write("r" + std::to_string(index), false);
  }
  run(2'000);
  BOOST_TEST(ready() == 100U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_starts_again_under_its_name_has_nothing_of_its_former_life) {
  write_value("r1", record(1'000));
  run(200);
  BOOST_TEST_REQUIRE(ready() == 1U);
  const std::string before = directory.ready("lm").front()->record.id;
  directory.started(before, TrafficClass::kOnline, 500);
  directory.signal(before, ReplicaSignal::kUnreachable, at(now));
  write_value("r1", record(2'000));
  run(500);
  BOOST_TEST_REQUIRE(ready() == 1U);
  const Replica& after = *directory.ready("lm").front();
  BOOST_TEST(after.record.id != before);
  BOOST_TEST(after.record.registered_name() == "r1");
  BOOST_TEST(after.online == 0);
  BOOST_TEST(!after.on_trial());
  BOOST_TEST(after.key != 0U);
  BOOST_TEST(directory.incarnation_ended(before));
  directory.ended(before,
                  TrafficClass::kOnline);  // What was in flight ends: the new life is not told.
  BOOST_TEST(directory.ready("lm").front()->online == 0);
}

BOOST_AUTO_TEST_CASE(load_that_other_nodes_had_at_the_former_life_is_not_added_to_the_new_one) {
  write_value("r1", record(1'000));
  run(200);
  const std::uint32_t key = directory.ready("lm").front()->key;
  directory.set_peer_loads({LoadDigest{node_key("n2"), 0, 0, false, 0, {{key, 4, 0, 0, 3}}}},
                           at(now));
  BOOST_TEST(directory.ready("lm").front()->load(at(now)) == 4);
  write_value("r1", record(2'000));
  run(500);
  BOOST_TEST(directory.ready("lm").front()->load(at(now)) == 0);
  BOOST_TEST(directory.ready("lm").front()->failures(at(now)) == 0);
}

BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_life_changes_nothing) {
  write_value("r1", record(2'000));
  run(200);
  const std::string id = directory.ready("lm").front()->record.id;
  write_value("r1", record(1'000));
  run(500);
  BOOST_TEST_REQUIRE(ready() == 1U);
  BOOST_TEST(directory.ready("lm").front()->record.id == id);
}

BOOST_AUTO_TEST_CASE(a_record_of_another_writer_takes_the_replica_out_and_leaves_the_others) {
  write("r1", true);
  write("r2", true);
  run(200);
  for (const char* foreign : {"\xff\x01", "{}", R"({"service":"lm","state":"warm"})"}) {
    write_value("r1", foreign);
    run(500);
    BOOST_TEST_REQUIRE(ready() == 1U);
    BOOST_TEST(directory.ready("lm").front()->record.id == "r2");
  }
  write_value("r3", "garbage");
  run(500);
  BOOST_TEST(ready() == 1U);
  write("r1", true);
  run(500);
  BOOST_TEST(ready() == 2U);
  write_value("r3", "");
  write("r2", false);
  run(500);
  BOOST_TEST(ready() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
