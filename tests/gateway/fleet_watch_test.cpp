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

/// A FleetWatch on an in-memory log, in simulated time.
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
  /// @return a replica's record, with the start time of its incarnation if one is given.
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

BOOST_AUTO_TEST_CASE(removal_takes_effect_at_once) {
  write("r1", true);
  write("r2", true);
  run(200);
  BOOST_TEST(ready() == 2U);
  write("r1", false);
  run(100);
  BOOST_TEST(ready() == 1U);
}

BOOST_AUTO_TEST_CASE(replicas_lapsed_during_a_log_outage_are_used_for_the_grace_period) {
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
  BOOST_TEST(watch.state().replicas.empty());  // Peers get the state that the log holds.
  write("r1", true);
  run(500);
  BOOST_TEST(ready() == 2U);
  run(2'000);
  BOOST_TEST(ready() == 1U);
  BOOST_TEST(directory.find("r1") != nullptr);
}

BOOST_AUTO_TEST_CASE(replicas_missing_from_a_peer_state_during_an_outage_are_deferred_too) {
  write("r1", true);
  run(200);
  log.faults.down = true;
  run(4'000);  // Until the waiting read has ended.
  FleetState state;
  state.replicas_known = true;
  state.replicas_position = 9;
  watch.take(state, "peer");
  run(1'000);
  BOOST_TEST(ready() == 1U);
  run(1'500);
  BOOST_TEST(ready() == 0U);
}

BOOST_AUTO_TEST_CASE(views_that_skip_records_are_counted) {
  write("r1", true);
  run(200);
  BOOST_TEST(watch.replacements() == 0U);
  BOOST_TEST(!watch.view_partial());
  FleetState state;
  state.replicas_known = true;
  state.replicas_position = 9;
  watch.take(state, "peer");
  BOOST_TEST(watch.replacements() == 1U);
  watch.take(state, "a peer that has read no further");
  BOOST_TEST(watch.replacements() == 1U);
}

// One of four replicas drained and left while the node was cut off, and its record was compacted
// away. The grace period for lapsed records kept it in use for 2 s more, beyond the bound on sends
// to a draining replica (seed 207 of the freshness exploration).
BOOST_AUTO_TEST_CASE(single_replica_that_left_during_a_log_outage_gets_no_work) {
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
  BOOST_TEST(directory.find("r1") != nullptr);  // Requests in flight may still complete.
  write("r1", true);                            // Its record had only lapsed.
  run(500);
  BOOST_TEST(ready() == 4U);
}

// Replicas of a zone that the operator has evacuated get no new work until the evacuation ends,
// whether the node learns of it from the log or from a peer.
BOOST_AUTO_TEST_CASE(replicas_of_an_evacuated_zone_get_no_work_until_the_evacuation_ends) {
  write("r1", true);
  run(200);
  const std::string zone = directory.find("r1")->record.zone;
  write_operator(topics.evacuation_prefix + zone, "{}");
  run(100);
  BOOST_TEST(ready() == 0U);
  BOOST_TEST(directory.find("r1") != nullptr);  // Requests in flight there may complete.
  write_operator(topics.evacuation_prefix + zone, "");
  run(300);
  BOOST_TEST(ready() == 1U);
}

BOOST_AUTO_TEST_CASE(evacuation_from_before_the_start_is_applied) {
  write("r1", true);
  write_operator(topics.evacuation_prefix + "zone-a", "{}");
  log.forget_history();
  run(300);
  BOOST_TEST_REQUIRE(directory.find("r1") != nullptr);
  BOOST_TEST(ready() == 0U);
}

BOOST_AUTO_TEST_CASE(evacuations_are_taken_only_from_a_peer_that_has_read_further) {
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

// Out of thousands of replicas a node uses a subset, and sends the records of all to its peers.
BOOST_AUTO_TEST_CASE(large_fleet_uses_a_subset_and_keeps_all_records) {
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
  BOOST_TEST(watch.view_partial());
  // The replicas are in another zone than the node, so only spares are used.
  BOOST_TEST(ready() > 0U);
  BOOST_TEST(ready() < 400U);
  const std::size_t before = ready();
  const std::string used = directory.ready("lm").front()->record.id;
  write(used, false);
  run(500);
  BOOST_TEST(ready() == before - 1);
  // The service shrinks to a size at which all of its replicas are used.
  for (std::size_t index = 0; index < kReplicas - 100; ++index) {
    write("r" + std::to_string(index), false);
  }
  run(2'000);
  BOOST_TEST(ready() == 100U);
}

BOOST_AUTO_TEST_CASE(restarted_replica_inherits_no_state_of_its_previous_incarnation) {
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
  // A request in flight ends; the new incarnation's count is unaffected.
  directory.ended(before, TrafficClass::kOnline);
  BOOST_TEST(directory.ready("lm").front()->online == 0);
}

BOOST_AUTO_TEST_CASE(peer_load_of_the_previous_incarnation_is_not_counted_for_the_new_one) {
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

BOOST_AUTO_TEST_CASE(record_of_an_earlier_incarnation_is_ignored) {
  write_value("r1", record(2'000));
  run(200);
  const std::string id = directory.ready("lm").front()->record.id;
  write_value("r1", record(1'000));
  run(500);
  BOOST_TEST_REQUIRE(ready() == 1U);
  BOOST_TEST(directory.ready("lm").front()->record.id == id);
}

BOOST_AUTO_TEST_CASE(unreadable_record_removes_only_its_own_replica) {
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
