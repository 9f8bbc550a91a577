#include "dockpoint/routing/replica_pace.hpp"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <vector>

#include "dockpoint/routing/load_digest.hpp"
#include "support/fleet.hpp"
#include "support/fleet_replay.hpp"

using namespace dockpoint;
using dockpoint::test::at;
using dockpoint::test::FleetOutcome;
using dockpoint::test::FleetPattern;
using dockpoint::test::FleetReplay;

namespace {

constexpr const char* kService = "lm";
constexpr Duration kStep = std::chrono::milliseconds(30);

/// Pace data of one node about nine replicas, 1 to 9.
struct View {
  Knobs knobs;
  ReplicaPaces paces{knobs};

  View() {
    for (std::uint32_t replica = 1; replica <= 9; ++replica) {
      paces.add(replica, kService);
    }
  }
  void run(std::uint32_t replica, double factor, int runs = 30) {
    for (int number = 0; number < runs; ++number) {
      paces.observed(replica, PaceSample::kEvent,
                     std::chrono::duration_cast<Duration>(kStep * factor), at(0));
    }
  }
  /// Adds runs: replicas 1 to 3 are fast, 4 to 6 usual, 7 to 9 slow.
  void run_all() {
    for (std::uint32_t replica = 1; replica <= 9; ++replica) {
      run(replica, replica <= 3 ? 0.6 : replica <= 6 ? 1.0 : 1.6);
    }
    paces.update(at(0));
  }
};

PaceEntry peer_entry(std::uint32_t replica, double factor) {
  return {replica, static_cast<std::uint32_t>(
                       std::chrono::duration<double, std::micro>(kStep).count() * factor)};
}

/// Replicas of three speeds, each temporarily slowed further.
FleetPattern heterogeneous_replicas() {
  FleetPattern pattern;
  pattern.nodes = 75;
  pattern.replicas = 60;
  pattern.zones = 4;
  pattern.service_ms = 700;
  pattern.paces = {0.6, 1.0, 1.6};
  pattern.slowed_share = 0.15;
  pattern.mean_per_second = 215;
  return pattern;
}

FleetOutcome play(const FleetPattern& pattern, std::uint64_t seeds) {
  FleetOutcome all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FleetReplay replay(pattern, seed);
    const FleetOutcome one = replay.run(17'400, 5'800);
    all.requests += one.requests;
    all.late += one.late;
    all.turned_away += one.turned_away;
    all.refused += one.refused;
    all.refused_with_free_slots += one.refused_with_free_slots;
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_pace)

BOOST_FIXTURE_TEST_CASE(replicas_of_different_speed_are_classified, View) {
  run_all();
  BOOST_TEST(paces.usual(1) == 0.6, boost::test_tools::tolerance(0.02));
  BOOST_TEST(paces.usual(5) == 1.0);
  BOOST_TEST(paces.usual(9) == 1.6, boost::test_tools::tolerance(0.02));
  BOOST_TEST(paces.classes().at(PaceClass::kSlow) == 3);
}

BOOST_FIXTURE_TEST_CASE(replicas_of_equal_speed_are_usual_and_not_reported, View) {
  std::mt19937_64 random(1);
  std::normal_distribution<double> length(1, 0.15);
  for (int round = 0; round < 200; ++round) {
    for (std::uint32_t replica = 1; replica <= 9; ++replica) {
      run(replica, std::max(0.3, length(random)), 1);
    }
    BOOST_TEST(paces.update(at(round)).empty());
    BOOST_TEST(paces.report(at(2'000 * round)).empty());
  }
  for (std::uint32_t replica = 1; replica <= 9; ++replica) {
    BOOST_TEST(paces.usual(replica) == 1.0);
    BOOST_TEST(paces.expected(replica, at(0)) == 1.0);
  }
}

BOOST_FIXTURE_TEST_CASE(paces_add_no_bytes_to_a_digest_while_replicas_are_alike, View) {
  run(1, 1.0);
  run(2, 1.0);
  paces.update(at(0));
  LoadDigest digest{node_key("n1"), 7, 99, true, 12, {{1, 2, 3, 1, 7}}};
  const std::size_t bytes = encode(digest).size();
  digest.paces = paces.report(at(0));
  BOOST_TEST(encode(digest).size() == bytes);
}

BOOST_FIXTURE_TEST_CASE(temporarily_slow_runs_do_not_change_the_usual_pace, View) {
  std::mt19937_64 random(2);
  std::bernoulli_distribution slowed(0.15);
  for (int round = 0; round < 200; ++round) {
    for (std::uint32_t replica = 1; replica <= 9; ++replica) {
      run(replica, slowed(random) ? 2.5 : 1.0, 1);
    }
  }
  paces.update(at(0));
  for (std::uint32_t replica = 1; replica <= 9; ++replica) {
    BOOST_TEST(paces.usual(replica) == 1.0, boost::test_tools::tolerance(0.25));
  }
}

BOOST_FIXTURE_TEST_CASE(a_few_runs_do_not_change_the_usual_pace, View) {
  run_all();
  paces.forget(9);
  paces.add(9, kService);
  run(9, 1.6, knobs.pace_least_runs - 1);
  paces.update(at(0));
  BOOST_TEST(paces.usual(9) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(a_restarted_replica_starts_at_factor_one, View) {
  run_all();
  paces.stated(9, 2.5, at(0));
  paces.forget(9);
  paces.add(9, kService);
  paces.update(at(0));
  BOOST_TEST(paces.expected(9, at(0)) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(a_reported_factor_holds_briefly_and_fades, View) {
  run_all();
  paces.stated(9, 2.5, at(1'000));
  const double fresh = paces.expected(9, at(1'000) + knobs.pace_stated_fresh);
  const double later =
      paces.expected(9, at(1'000) + knobs.pace_stated_fresh + knobs.pace_stated_fade / 2);
  BOOST_TEST(fresh > 3.5);
  BOOST_TEST(later < fresh);
  BOOST_TEST(later > paces.usual(9));
  BOOST_TEST(paces.expected(9, at(1'000) + knobs.pace_stated_fresh + knobs.pace_stated_fade) ==
             paces.usual(9));
}

BOOST_FIXTURE_TEST_CASE(a_constant_reported_factor_loses_its_effect, View) {
  for (int answer = 0; answer < 40; ++answer) {
    paces.stated(4, 2.5, at(answer * 100));
  }
  BOOST_TEST(paces.expected(4, at(3'900)) == 1.0, boost::test_tools::tolerance(0.05));
}

BOOST_FIXTURE_TEST_CASE(reported_factors_are_clamped_to_the_limit, View) {
  run_all();
  paces.stated(1, 0.01, at(0));
  paces.stated(9, 100, at(0));
  BOOST_TEST(paces.expected(1, at(0)) >= 1 / knobs.pace_limit);
  BOOST_TEST(paces.expected(9, at(0)) <= knobs.pace_limit);
  paces.stated(2, 0, at(0));
  BOOST_TEST(paces.expected(2, at(0)) == paces.usual(2));
}

BOOST_FIXTURE_TEST_CASE(a_report_of_a_single_node_is_ignored_without_own_samples, View) {
  run(1, 1.0);
  run(2, 1.0);
  run(3, 1.0);
  paces.add_peer_paces(77, {peer_entry(9, 4.0)}, at(0));
  paces.update(at(0));
  BOOST_TEST(paces.usual(9) == 1.0);
  paces.add_peer_paces(78, {peer_entry(9, 1.6)}, at(0));
  paces.update(at(0));
  BOOST_TEST(paces.usual(9) == 1.6, boost::test_tools::tolerance(0.02));
}

BOOST_FIXTURE_TEST_CASE(own_samples_take_precedence_over_peer_reports, View) {
  run_all();
  paces.add_peer_paces(77, {peer_entry(5, 4.0)}, at(0));
  paces.add_peer_paces(78, {peer_entry(5, 4.0)}, at(0));
  paces.update(at(0));
  BOOST_TEST(paces.usual(5) == 1.0);
}

// In a large fleet, a node sends nearly all its requests to a few replicas.
BOOST_FIXTURE_TEST_CASE(a_node_that_uses_only_slow_replicas_learns_it_from_peer_reports, View) {
  run(7, 1.6);
  run(8, 1.6);
  run(9, 1.6);
  paces.update(at(0));
  BOOST_TEST(paces.usual(9) == 1.0);
  for (const std::uint32_t node : {77U, 78U}) {
    paces.add_peer_paces(node,
                         {peer_entry(1, 0.6), peer_entry(2, 0.6), peer_entry(3, 1.0),
                          peer_entry(4, 1.0), peer_entry(5, 1.0)},
                         at(0));
  }
  paces.update(at(0));
  BOOST_TEST(paces.usual(9) == 1.6, boost::test_tools::tolerance(0.02));
  BOOST_TEST(paces.usual(5) == 1.0);
  BOOST_TEST(!paces.report(at(0)).empty());
}

BOOST_FIXTURE_TEST_CASE(peer_reports_expire_and_their_number_is_bounded, View) {
  run_all();
  BOOST_TEST(paces.report(at(0)).size() == knobs.pace_entries);
  BOOST_TEST(paces.report(at(0) + knobs.pace_report_interval / 2).empty());
  View other;
  other.paces.add_peer_paces(77,
                             {peer_entry(9, 1.6), peer_entry(12, 1.6), peer_entry(8, 0),
                              peer_entry(5, 1), peer_entry(4, 1)},
                             at(0));
  other.paces.add_peer_paces(78, {peer_entry(9, 1.6), peer_entry(5, 1), peer_entry(4, 1)}, at(0));
  other.paces.update(at(0));
  BOOST_TEST(other.paces.usual(9) > 1.5);
  other.paces.update(at(0) + other.knobs.pace_report_lifetime * 2);
  BOOST_TEST(other.paces.usual(9) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(a_pace_near_the_threshold_does_not_oscillate, View) {
  for (std::uint32_t replica = 1; replica <= 9; ++replica) {
    run(replica, 1.0);
  }
  int changes = 0;
  for (int round = 0; round < 100; ++round) {
    run(9, round % 2 == 0 ? 1.16 : 1.24, 3);
    changes += static_cast<int>(paces.update(at(round)).size());
  }
  BOOST_TEST(changes <= 1);
}

BOOST_FIXTURE_TEST_CASE(whole_runs_count_only_for_services_without_streams, View) {
  for (std::uint32_t replica = 1; replica <= 9; ++replica) {
    for (int number = 0; number < 30; ++number) {
      paces.observed(replica, PaceSample::kRun, kStep * (replica == 9 ? 2 : 1), at(0));
    }
  }
  paces.update(at(0));
  BOOST_TEST(paces.usual(9) == 2.0, boost::test_tools::tolerance(0.02));
  run_all();
  paces.observed(9, PaceSample::kRun, kStep * 100, at(0));
  paces.update(at(0));
  BOOST_TEST(paces.usual(9) == 1.6, boost::test_tools::tolerance(0.02));
}

BOOST_FIXTURE_TEST_CASE(reports_of_a_single_node_do_not_move_the_service_median, View) {
  run(1, 1.0);
  run(2, 1.0);
  std::vector<PaceEntry> wrong;
  for (std::uint32_t replica = 3; replica <= 9; ++replica) {
    wrong.push_back(peer_entry(replica, 4));
  }
  paces.add_peer_paces(1, wrong, at(0));
  paces.update(at(0));
  BOOST_TEST(paces.usual(1) == 1);
  BOOST_TEST(paces.usual(2) == 1);
}

BOOST_AUTO_TEST_CASE(requests_wait_less_where_paces_are_known) {
  FleetPattern pattern = heterogeneous_replicas();
  pattern.learn_paces = false;
  const FleetOutcome without = play(pattern, 3);
  pattern.learn_paces = true;
  pattern.replicas_report_load = true;
  const FleetOutcome with = play(pattern, 3);
  BOOST_TEST(2 * with.late < without.late, with.late << " late, without " << without.late);
}

BOOST_AUTO_TEST_CASE(no_request_is_refused_while_another_replica_has_a_free_slot) {
  FleetPattern pattern;
  pattern.replicas = 4;
  pattern.slots = 6;
  pattern.zones = 4;
  pattern.service_ms = 60;
  pattern.service_spread = 0.5;
  pattern.mean_per_second = 73;
  pattern.slowed_share = 0.15;
  pattern.reject_when_full = true;
  for (const bool stated : {false, true}) {
    pattern.replicas_report_load = stated;
    const FleetOutcome outcome = play(pattern, 5);
    BOOST_TEST_MESSAGE("turned away " << outcome.turned_away << ", refused " << outcome.refused
                                      << " of " << outcome.requests);
    BOOST_TEST(outcome.refused_with_free_slots == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
