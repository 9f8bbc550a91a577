#include "dockpoint/routing/replica_subset.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "dockpoint/core/hash.hpp"

using namespace dockpoint;

namespace {

const std::vector<std::string> kZones{"a", "b", "c", "d", "e"};

struct Fleet {
  explicit Fleet(std::size_t replicas) {
    for (std::size_t index = 0; index < replicas; ++index) {
      names.push_back("replica-" + std::to_string(index));
    }
  }
  const std::string& zone_of(std::size_t replica) const { return kZones[replica % kZones.size()]; }
  void add_to(ReplicaSubset& subset) const {
    for (std::size_t index = 0; index < names.size(); ++index) {
      subset.add("lm", zone_of(index));
    }
  }
  /// @return numbers of replicas that a node uses, in its zone and in other zones.
  std::pair<std::size_t, std::size_t> used_by(const ReplicaSubset& subset,
                                              const std::string& zone) const {
    std::pair<std::size_t, std::size_t> used{0, 0};
    for (std::size_t index = 0; index < names.size(); ++index) {
      if (subset.contains("lm", zone_of(index), names[index])) {
        ++(zone_of(index) == zone ? used.first : used.second);
      }
    }
    return used;
  }

  std::vector<std::string> names;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(replica_subset)

BOOST_AUTO_TEST_CASE(all_replicas_of_a_small_service_are_used) {
  const Fleet fleet(ReplicaSubset::kUndivided);
  ReplicaSubset subset("a", "node-1");
  fleet.add_to(subset);
  BOOST_TEST(subset.slices() == 1U);
  const auto [own, others] = fleet.used_by(subset, "a");
  BOOST_TEST(own + others == fleet.names.size());
}

// The state of a node does not grow with the fleet.
BOOST_AUTO_TEST_CASE(the_subset_of_a_node_is_bounded_at_any_fleet_size) {
  for (const std::size_t replicas : {1'000, 3'000, 10'000, 20'000, 100'000}) {
    const Fleet fleet(replicas);
    ReplicaSubset subset("b", "node-7");
    fleet.add_to(subset);
    const auto [own, others] = fleet.used_by(subset, "b");
    BOOST_TEST(own >= 70U, replicas << " replicas: " << own);
    BOOST_TEST(own <= 380U, replicas << " replicas: " << own);
    BOOST_TEST(others >= 8U, replicas << " replicas: " << others);
    BOOST_TEST(others <= 160U, replicas << " replicas: " << others);
  }
}

BOOST_AUTO_TEST_CASE(replicas_are_used_by_similar_numbers_of_nodes_of_their_zone) {
  const Fleet fleet(10'000);
  constexpr std::size_t kNodes = 200;
  std::map<std::string, int> users;
  for (std::size_t node = 0; node < kNodes; ++node) {
    ReplicaSubset subset("a", "node-" + std::to_string(node));
    fleet.add_to(subset);
    for (std::size_t index = 0; index < fleet.names.size(); index += kZones.size()) {
      users[fleet.names[index]] += subset.contains("lm", "a", fleet.names[index]) ? 1 : 0;
    }
  }
  for (const auto& [name, count] : users) {
    BOOST_TEST(count >= 10, name << " is used by " << count);
    BOOST_TEST(count <= 45, name << " is used by " << count);
  }
}

// A release or a scale-in removes replicas and adds others: a node whose subset changed with each
// of them would constantly reopen its connections.
BOOST_AUTO_TEST_CASE(slices_are_stable_while_few_replicas_are_added_or_removed) {
  for (const std::size_t replicas : {1'600, 3'200, 6'400, 10'000}) {
    const Fleet fleet(replicas);
    ReplicaSubset subset("a", "node-1");
    fleet.add_to(subset);
    const std::size_t slices = subset.slices();
    const std::uint64_t revision = subset.revision();
    for (std::size_t index = 0; index < replicas / 10; ++index) {
      subset.remove("lm", fleet.zone_of(index));
    }
    for (std::size_t index = 0; index < replicas / 20; ++index) {
      subset.add("lm", fleet.zone_of(index));
    }
    BOOST_TEST(subset.slices() == slices);
    BOOST_TEST(subset.revision() == revision);
  }
}

// Doubling the slices splits each in two, so no replica is used that was not used before.
BOOST_AUTO_TEST_CASE(a_finer_division_yields_a_subset_of_the_coarser_one) {
  const Fleet small(6'000);
  const Fleet large(12'000);
  ReplicaSubset before("a", "node-3");
  ReplicaSubset after("a", "node-3");
  small.add_to(before);
  large.add_to(after);
  BOOST_TEST_REQUIRE(after.slices() == 2 * before.slices());
  for (std::size_t index = 0; index < small.names.size(); ++index) {
    if (after.contains("lm", small.zone_of(index), small.names[index])) {
      BOOST_TEST(before.contains("lm", small.zone_of(index), small.names[index]));
    }
  }
}

// A node that divided more coarsely than its source would use replicas whose drains are never
// announced to it.
BOOST_AUTO_TEST_CASE(adopted_counts_divide_like_their_source_after_growth_and_shrinking) {
  const Fleet fleet(6'400);
  ReplicaSubset source("a", "source");
  fleet.add_to(source);
  const std::size_t slices = source.slices();
  for (std::size_t index = 0; index < 1'200; ++index) {
    source.remove("lm", fleet.zone_of(index));
  }
  BOOST_TEST(source.slices() == slices);  // Counting 5,200 from zero gives half as many.
  ReplicaSubset follower("a", "node-3");
  follower.adopt_counts(source.counts());
  BOOST_TEST(follower.slices() == slices);
  BOOST_TEST(follower.replicas() == source.replicas());
  const std::uint64_t node = hash64("node-3");
  for (std::size_t index = 0; index < fleet.names.size(); ++index) {
    const std::string& zone = fleet.zone_of(index);
    BOOST_TEST(follower.contains("lm", zone, fleet.names[index]) ==
               source.contains_for(node, "lm", zone, fleet.names[index]));
  }
  const std::uint64_t widened = follower.widened();
  ReplicaSubset recounted("a", "other source");
  Fleet(5'200).add_to(recounted);
  BOOST_TEST(recounted.slices() < slices);
  follower.adopt_counts(recounted.counts());
  BOOST_TEST(follower.widened() > widened);
}

BOOST_AUTO_TEST_CASE(removing_an_unknown_replica_changes_nothing) {
  ReplicaSubset subset("a", "node-1");
  subset.remove("lm", "a");
  BOOST_TEST(subset.slices() == 1U);
  BOOST_TEST(subset.contains("lm", "a", "r1"));
}

BOOST_AUTO_TEST_SUITE_END()
