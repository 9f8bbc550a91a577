#include "dockpoint/routing/replica_directory.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "dockpoint/core/hash.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

ReplicaRecord record(const std::string& id, bool draining = false) {
  return {id, "lm", {"10.0.0.1", 80}, "zone-a", 4, draining, {}};
}

struct Fixture {
  Knobs knobs;
  ReplicaDirectory directory{knobs};
  Fixture() {
    directory.upsert(record("r1"), at(0));
    directory.upsert(record("r2"), at(0));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(replica_directory, Fixture)

BOOST_AUTO_TEST_CASE(a_draining_or_removed_replica_gets_no_new_work) {
  BOOST_TEST(directory.ready("lm").size() == 2U);
  directory.upsert(record("r1", true), at(1));
  BOOST_TEST(directory.ready("lm").size() == 1U);
  directory.remove("r2");
  BOOST_TEST(directory.ready("lm").empty());
  directory.ended("r2", TrafficClass::kOnline);  // Its last request ends after the removal.
}

BOOST_AUTO_TEST_CASE(load_is_the_sum_of_own_and_peer_requests) {
  const std::uint32_t key = directory.find("r1")->key;
  directory.started("r1", TrafficClass::kOnline, 100);
  directory.set_peer_loads({{node_key("n2"), 0, 0, false, 0, {{key, 3, 0, 2, 0}}}}, at(10));
  directory.set_peer_loads({{node_key("n3"), 0, 0, false, 0, {{key, 1, 0, 0, 0}}}}, at(10));
  BOOST_TEST(directory.find("r1")->load(at(10)) == 5);
  directory.set_peer_loads({{node_key("n2"), 0, 0, false, 0, {}}}, at(20));
  BOOST_TEST(directory.find("r1")->load(at(20)) == 2);
  directory.expire_peer_loads(at(10) + knobs.load_digest_lifetime + Duration(1));
  BOOST_TEST(directory.find("r1")->load(at(20)) == 1);
  directory.ended("r1", TrafficClass::kOnline);
  BOOST_TEST(directory.find("r1")->load(at(20)) == 0);
}

BOOST_AUTO_TEST_CASE(incremental_peer_sums_equal_the_sum_over_current_digests) {
  // Peers send digests, expire and return, replicas are added and removed: the sums stay equal to
  // sums computed from scratch.
  constexpr int kPeers = 12;
  constexpr int kReplicas = 6;
  std::mt19937_64 random(5);
  std::map<std::uint32_t, std::vector<LoadDigestEntry>> last;
  std::map<std::uint32_t, std::int64_t> items;
  const auto name = [](std::uint64_t number) { return "s" + std::to_string(number); };
  for (int step = 0; step < 2'000; ++step) {
    const std::uint64_t number = random() % kReplicas;
    if (step % 7 == 0) {
      directory.upsert(record(name(number)), at(step));
    } else if (step % 50 == 1) {
      directory.remove(name(number));
    }
    LoadDigest digest{static_cast<std::uint32_t>(random() % kPeers), 0, 0, true,
                      static_cast<std::uint32_t>(random() % 9),      {}};
    for (std::uint64_t entry = 0; entry < random() % kReplicas; ++entry) {
      const auto key = static_cast<std::uint32_t>(hash64(name(entry)));
      const auto load = static_cast<std::uint32_t>(random() % 5);
      digest.entries.push_back({key, load, 0, load / 2, load / 3});
    }
    directory.set_peer_loads({digest}, at(step));
    last[digest.node] = digest.entries;
    items[digest.node] = digest.pending_items;
    std::int64_t expected_items = 0;
    for (const auto& [node, pending] : items) {
      expected_items += pending;
    }
    if (directory.peer_pending_items() != expected_items) {
      BOOST_FAIL("step " << step << ": " << directory.peer_pending_items() << " items");
    }
    for (int replica = 0; replica < kReplicas; ++replica) {
      const Replica* known = directory.find(name(static_cast<std::uint64_t>(replica)));
      int expected = 0;
      double failures = 0;
      for (const auto& [node, entries] : last) {
        for (const LoadDigestEntry& entry : entries) {
          expected += known != nullptr && entry.replica_key == known->key ? entry.in_flight : 0;
          failures += known != nullptr && entry.replica_key == known->key ? entry.failures : 0;
        }
      }
      if (known != nullptr &&
          (known->peer_in_flight != expected || known->peer_failures != failures)) {
        BOOST_FAIL("step " << step << ": " << known->peer_in_flight << " in place of " << expected);
      }
    }
  }
  directory.expire_peer_loads(at(10'000));
  BOOST_TEST(directory.peers() == 0U);
  BOOST_TEST(directory.peer_pending_items() == 0);
  for (const auto& [id, replica] : directory.all()) {
    BOOST_TEST(replica.peer_in_flight == 0);
    BOOST_TEST(replica.peer_failures == 0);
  }
}

BOOST_AUTO_TEST_CASE(a_reported_queue_counts_as_load_for_a_while) {
  directory.report("r1", {4, 3, 4}, at(0));
  BOOST_TEST(directory.find("r1")->load(at(100)) == 7);
  BOOST_TEST(directory.find("r1")->load(at(5'000)) == 0);
}

BOOST_AUTO_TEST_CASE(an_unreachable_replica_is_ejected_for_longer_each_time_until_it_answers) {
  directory.signal("r1", ReplicaSignal::kUnreachable, at(0));
  const Duration first = directory.find("r1")->ejected_until - at(0);
  BOOST_TEST((first == knobs.replica_ejection_time));
  // Requests that were in flight fail for the same reason.
  directory.signal("r1", ReplicaSignal::kUnreachable, at(100));
  BOOST_TEST((directory.find("r1")->ejected_until == at(0) + first));
  directory.signal("r1", ReplicaSignal::kUnreachable, at(1'000));
  BOOST_TEST((directory.find("r1")->ejected_until - at(1'000) == 2 * first));
  directory.signal("r1", ReplicaSignal::kAnswered, at(2'000));
  BOOST_TEST(!directory.ejected(*directory.find("r1"), at(2'000)));
  BOOST_TEST(!directory.find("r1")->on_trial());
}

BOOST_AUTO_TEST_CASE(a_replica_that_rejected_a_request_is_briefly_full) {
  BOOST_TEST(directory.turned_away("r1", at(1'000)));
  BOOST_TEST(directory.find("r1")->load(at(1'000)) == 4);
  BOOST_TEST(directory.find("r2")->load(at(1'000)) == 0);
  const TimePoint later = at(1'000) + knobs.replica_full_time;
  BOOST_TEST(directory.find("r1")->load(later) == 0);
  BOOST_TEST(!directory.find("r1")->full(later));
  BOOST_TEST(!directory.turned_away("gone", at(1'000)));
}

BOOST_AUTO_TEST_CASE(a_rejection_that_reports_a_free_slot_does_not_mark_the_replica_full) {
  directory.report("r1", {3, 0, 4}, at(1'000));
  BOOST_TEST(!directory.turned_away("r1", at(1'000)));
  BOOST_TEST(directory.find("r1")->load(at(1'000)) == 0);
  directory.report("r1", {4, 0, 4}, at(1'000));
  BOOST_TEST(directory.turned_away("r1", at(1'000)));
  BOOST_TEST(directory.find("r1")->load(at(1'000)) == 4);
  directory.report("r2", {3, 0, 4}, at(400));  // The earlier report is outdated.
  BOOST_TEST(directory.turned_away("r2", at(1'000)));
}

BOOST_AUTO_TEST_CASE(an_invalid_pace_is_recorded_once_per_replica) {
  BOOST_TEST(directory.first_unreadable_pace("r1"));
  BOOST_TEST(!directory.first_unreadable_pace("r1"));
  BOOST_TEST(directory.first_unreadable_pace("r2"));
}

BOOST_AUTO_TEST_CASE(single_broken_answers_do_not_eject) {
  for (int failure = 1; failure < knobs.replica_ejection_failures; ++failure) {
    directory.signal("r1", ReplicaSignal::kBroken, at(failure));
    BOOST_TEST(!directory.ejected(*directory.find("r1"), at(failure)));
  }
  directory.signal("r1", ReplicaSignal::kBroken, at(100));
  BOOST_TEST(directory.ejected(*directory.find("r1"), at(100)));
}

BOOST_AUTO_TEST_SUITE_END()
