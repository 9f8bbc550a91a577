#include "dockpoint/routing/replica_selector.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

struct Fixture {
  Knobs knobs;
  ReplicaDirectory directory{knobs};
  Fixture() {
    for (int number = 1; number <= 4; ++number) {
      directory.upsert(
          {"r" + std::to_string(number), "lm", {"10.0.0.1", 80}, "zone-a", 4, false, {}}, at(0));
    }
  }
  ReplicaQuery query(double shared_tokens, TrafficClass traffic = TrafficClass::kOnline) const {
    return {"lm", traffic, {{7, shared_tokens}, {8, 100}}, {}};
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(replica_selector, Fixture)

BOOST_AUTO_TEST_CASE(every_node_sends_a_long_shared_prefix_to_the_same_home) {
  ReplicaSelector one(knobs, directory, "zone-a", 1);
  ReplicaSelector other(knobs, directory, "zone-b", 2);
  const std::string home = one.choose(query(13'000), at(0)).replica->record.id;
  for (int request = 0; request < 20; ++request) {
    BOOST_TEST(one.choose(query(13'000), at(request)).replica->record.id == home);
    BOOST_TEST(other.choose(query(13'000), at(request)).replica->record.id == home);
  }
}

BOOST_AUTO_TEST_CASE(output_that_one_software_version_began_goes_on_only_there) {
  for (const char* id : {"r1", "r2"}) {
    ReplicaRecord record = directory.find(id)->record;
    record.software_version = "v2";
    directory.upsert(record, at(0));
  }
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  for (const double shared_tokens : {10.0, 13'000.0}) {
    ReplicaQuery resumed = query(shared_tokens);
    resumed.software_version = "v2";
    for (int request = 0; request < 40; ++request) {
      const ReplicaChoice choice = selector.choose(resumed, at(request));
      BOOST_REQUIRE(choice.replica != nullptr);
      BOOST_TEST(choice.replica->record.software_version == "v2");
      directory.started(choice.replica->record.id, TrafficClass::kOnline, 0);
    }
  }
  ReplicaQuery gone = query(10);
  gone.software_version = "v3";
  BOOST_TEST(selector.choose(gone, at(50)).replica == nullptr);
  BOOST_TEST(!selector.has_candidate(gone, at(50)));
}

BOOST_AUTO_TEST_CASE(a_home_with_a_long_queue_is_avoided) {
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  const std::string home = selector.choose(query(13'000), at(0)).replica->record.id;
  for (int request = 0; request < 12; ++request) {
    directory.started(home, TrafficClass::kOnline, 0);
  }
  BOOST_TEST(selector.choose(query(13'000), at(0)).replica->record.id != home);
}

BOOST_AUTO_TEST_CASE(short_prompts_spread_over_the_replicas) {
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  std::map<std::string, int> counts;
  for (int request = 0; request < 16; ++request) {
    const std::string id = selector.choose(query(10), at(0)).replica->record.id;
    ++counts[id];
    directory.started(id, TrafficClass::kOnline, 0);
  }
  for (const auto& [id, count] : counts) {
    BOOST_TEST(count <= 6, id);
  }
  BOOST_TEST(counts.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_replica_is_avoided_while_it_prefills_a_long_prompt_of_a_peer) {
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  const std::uint32_t reading = directory.find("r1")->key;
  const auto tokens = static_cast<std::uint32_t>(knobs.prefill_tokens_per_ms * 500);
  directory.set_peer_loads({{node_key("n2"), 0, 0, false, 0, {{reading, 1, tokens, 0, 0}}}}, at(0));
  std::set<std::string> early;
  std::set<std::string> late;
  for (int request = 0; request < 60; ++request) {
    early.insert(selector.choose(query(0), at(100)).replica->record.id);
    late.insert(selector.choose({"lm", TrafficClass::kOnline, {}, {"r2", "r3"}}, at(100))
                    .replica->record.id);
  }
  BOOST_TEST(!early.contains("r1"));
  BOOST_TEST(!late.contains("r1"));
  directory.set_peer_loads({{node_key("n2"), 0, 0, false, 0, {}}}, at(4'900));
  directory.started("r4", TrafficClass::kOnline, 0);
  directory.started("r4", TrafficClass::kOnline, 0);
  // Seconds later, when the requests above no longer count as unseen load.
  BOOST_TEST(selector.choose({"lm", TrafficClass::kOnline, {}, {"r2", "r3"}}, at(5'000))
                 .replica->record.id == "r1");
}

BOOST_AUTO_TEST_CASE(nodes_with_the_same_stale_view_do_not_overload_one_replica) {
  // 40 nodes know the same load, and each starts 4 requests before the next digest arrives.
  constexpr int kNodes = 40;
  constexpr int kRequests = 4;
  constexpr int kReplicas = 40;
  ReplicaDirectory wide(knobs);
  for (int number = 0; number < kReplicas; ++number) {
    wide.upsert({"w" + std::to_string(number), "lm", {"10.0.0.1", 80}, "zone-a", 8, false, {}},
                at(0));
  }
  std::vector<LoadDigestEntry> known;
  for (int number = 0; number < kReplicas; ++number) {
    const std::uint32_t load = number == 0 ? 0 : 2;
    known.push_back({wide.find("w" + std::to_string(number))->key, load, 0, 0, 0});
  }
  for (int node = 1; node < kNodes; ++node) {
    wide.set_peer_loads({{node_key("n" + std::to_string(node)), 0, 0, false, 0,
                          node == 1 ? known : std::vector<LoadDigestEntry>{}}},
                        at(0));
  }
  std::map<std::string, int> chosen;
  for (int node = 0; node < kNodes; ++node) {
    ReplicaSelector selector(knobs, wide, "zone-a", static_cast<std::uint64_t>(node));
    for (int request = 0; request < kRequests; ++request) {
      ++chosen[selector.choose(query(100), at(20 * request)).replica->record.id];
    }
  }
  const auto most = std::max_element(
      chosen.begin(), chosen.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  // 4 per replica on average; the one that looks idle may get a few more.
  BOOST_TEST(most->second <= 20, most->first << " was chosen " << most->second << " times");
}

BOOST_AUTO_TEST_CASE(batch_items_avoid_replicas_that_are_nearly_full) {
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    for (int request = 0; request < 4; ++request) {
      directory.started(id, TrafficClass::kOnline, 0);
    }
  }
  BOOST_TEST(selector.choose(query(10, TrafficClass::kBatch), at(0)).replica == nullptr);
  const ReplicaChoice online = selector.choose(query(10), at(0));
  BOOST_TEST(online.replica != nullptr);
  BOOST_TEST(online.expected_wait.count() > 0);
}

BOOST_AUTO_TEST_CASE(ejected_replicas_return_by_one_trial_and_are_used_if_all_are_ejected) {
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  directory.signal("r1", ReplicaSignal::kUnreachable, at(0));
  for (int request = 0; request < 20; ++request) {
    BOOST_TEST(selector.choose(query(10), at(1)).replica->record.id != "r1");
  }
  directory.started("r1", TrafficClass::kOnline, 0);
  for (int request = 0; request < 20; ++request) {
    BOOST_TEST(selector.choose(query(10), at(1'000)).replica->record.id != "r1");
  }
  for (const char* id : {"r1", "r2", "r3", "r4"}) {
    directory.signal(id, ReplicaSignal::kUnreachable, at(1'000));
  }
  BOOST_TEST(selector.choose(query(10), at(1'001)).replica != nullptr);
  BOOST_TEST(selector.choose({"lm", TrafficClass::kOnline, {}, {"r1", "r2", "r3", "r4"}}, at(1'001))
                 .replica == nullptr);
}

BOOST_AUTO_TEST_CASE(a_replica_that_fails_for_other_nodes_is_avoided) {
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  const std::uint32_t failing = directory.find("r3")->key;
  std::vector<LoadDigest> digests;
  for (int node = 2; node < 7; ++node) {
    digests.push_back(
        {node_key("n" + std::to_string(node)), 0, 0, false, 0, {{failing, 0, 0, 0, 1}}});
  }
  directory.set_peer_loads(digests, at(0));
  BOOST_TEST(directory.update_outliers(at(0)).size() == 1U);
  for (int request = 0; request < 40; ++request) {
    BOOST_TEST(selector.choose(query(100), at(request)).replica->record.id != "r3");
  }
  for (LoadDigest& digest : digests) {
    digest.entries.clear();
  }
  directory.set_peer_loads(digests, at(10'000));
  BOOST_TEST(directory.update_outliers(at(10'000)).size() == 1U);
  std::set<std::string> chosen;
  for (int request = 0; request < 40; ++request) {
    const ReplicaQuery any{"lm", TrafficClass::kOnline, {}, {}};
    chosen.insert(selector.choose(any, at(10'000 + request)).replica->record.id);
  }
  BOOST_TEST(chosen.contains("r3"));
}

BOOST_AUTO_TEST_CASE(preemptible_items_do_not_keep_online_requests_off_a_replica) {
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  const auto fill = [&](const std::string& id, TrafficClass traffic) {
    for (int request = 0; request < 4; ++request) {
      directory.started(id, traffic, 0);
    }
  };
  fill("r1", TrafficClass::kBatch);
  fill("r2", TrafficClass::kOnline);
  fill("r3", TrafficClass::kOnline);
  fill("r4", TrafficClass::kOnline);
  const ReplicaChoice choice = selector.choose(query(10), at(0));
  BOOST_TEST(choice.replica->record.id == "r1");
  BOOST_TEST(choice.expected_load >= 4.0);  // Includes items: the caller sends a slot request.
}

BOOST_AUTO_TEST_SUITE_END()
