#include "dockpoint/routing/cold_replica_limiter.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "dockpoint/routing/replica_selector.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

constexpr double kCarried = 11;      // Requests a second.
constexpr ColdBound kBound{1.5, 5};  // So 21.5 in any second.
constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kRunMs = 5'000;

std::string name_of(std::size_t node) {
  return "node-" + std::to_string(node);
}

/// What nodes believe of each other.
enum class View {
  kWhole,
  kPartly,  ///< Each node misses a twentieth of the others.
  kHalves,  ///< Two halves that were cut off and count each other for dead.
  kNobody,  ///< All have just started.
};

struct Fleet {
  Fleet(std::size_t nodes, View view, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    for (std::size_t node = 0; node < nodes; ++node) {
      ColdReplicaLimiter& limiter = limiters.emplace_back(knobs, kBound, name_of(node));
      limiter.set_rates({{"lm", kCarried}});
      limiter.expect_others(nodes > 1);
      std::vector<std::string> members;
      for (std::size_t other = 0; other < nodes; ++other) {
        const bool missed = view == View::kNobody || (view == View::kPartly && random() % 20 == 0);
        if (other == node || !missed) {
          members.push_back(name_of(other));
        }
      }
      limiter.set_members(std::move(members));
    }
  }

  /// All nodes send as much to one replica as they may. @return the most in any second.
  std::size_t worst_second(std::uint32_t replica) {
    std::vector<std::int64_t> sends;
    for (std::int64_t now = 0; now < kRunMs; now += kStepMs) {
      for (ColdReplicaLimiter& limiter : limiters) {
        while (limiter.admits("lm", replica, at(now))) {
          limiter.sent("lm", replica, at(now));
          sends.push_back(now);
        }
      }
    }
    std::size_t worst = 0;
    for (auto first = sends.begin(); first != sends.end(); ++first) {
      const auto end = std::lower_bound(first, sends.end(), *first + 1'000);
      worst = std::max(worst, static_cast<std::size_t>(end - first));
    }
    return worst;
  }

  Knobs knobs;
  std::deque<ColdReplicaLimiter> limiters;
};

const double kAllowed = kCarried * kBound.overage + kBound.slack;

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_replica_limiter)

// A zone comes back cold while all nodes look for room at once.
BOOST_AUTO_TEST_CASE(all_nodes_together_stay_within_the_bound_at_any_size) {
  for (const std::size_t nodes : {1, 3, 60, 300, 1000}) {
    for (const View view : {View::kWhole, View::kPartly, View::kHalves, View::kNobody}) {
      Fleet fleet(nodes, view, nodes);
      std::size_t worst = 0;
      for (std::uint32_t replica = 1; replica <= 10; ++replica) {
        worst = std::max(worst, fleet.worst_second(replica * 7919));
      }
      BOOST_TEST(static_cast<double>(worst) <= kAllowed,
                 nodes << " nodes, view " << static_cast<int>(view) << ": " << worst);
      if (view == View::kWhole) {
        BOOST_TEST(worst >= 4U, nodes << " nodes: " << worst);  // It is used, too.
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(without_senders_a_request_from_each_node_breaks_the_bound) {
  Fleet fleet(60, View::kWhole, 1);
  fleet.knobs.cold_senders = 60;
  BOOST_TEST(static_cast<double>(fleet.worst_second(7919)) > kAllowed);
}

BOOST_AUTO_TEST_CASE(a_service_that_states_no_rate_is_not_limited) {
  Fleet fleet(3, View::kWhole, 1);
  for (int request = 0; request < 100; ++request) {
    BOOST_TEST(fleet.limiters.front().admits("api", 5, at(0)));
    fleet.limiters.front().sent("api", 5, at(0));
  }
}

BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_sends_nothing_until_it_knows_others) {
  Fleet fleet(3, View::kNobody, 1);
  BOOST_TEST(!fleet.limiters.front().admits("lm", 5, at(0)));
  ColdReplicaLimiter alone(fleet.knobs, kBound, "alone");
  alone.set_rates({{"lm", kCarried}});
  alone.set_members({"alone"});
  BOOST_TEST(alone.admits("lm", 5, at(0)));
}

// The selector goes by it, for requests and items, also where no other replica is left.
BOOST_AUTO_TEST_CASE(a_cold_replica_gets_its_rate_and_a_warm_one_the_rest) {
  Knobs knobs;
  ReplicaDirectory directory(knobs);
  directory.upsert({"warm", "lm", {"10.0.0.1", 80}, "zone-a", 8, false, {}}, at(0));
  directory.upsert({"cold", "lm", {"10.0.0.2", 80}, "zone-a", 8, false, std::chrono::seconds(3)},
                   at(0));
  ColdReplicaLimiter limiter(knobs, kBound, "node");
  limiter.set_rates({{"lm", kCarried}});
  limiter.set_members({"node"});
  ReplicaSelector selector(knobs, directory, "zone-a", 1);
  selector.limit_cold_replicas(limiter);
  int cold = 0;
  for (int request = 0; request < 200; ++request) {
    const ReplicaChoice choice =
        selector.choose({"lm", TrafficClass::kOnline, {}, {}}, at(request * 5));
    cold += choice.replica->record.id == "cold" ? 1 : 0;
    directory.started(choice.replica->record.id, TrafficClass::kOnline, 0);
  }
  BOOST_TEST(cold >= 3);
  BOOST_TEST(cold <= 7);
  directory.remove("warm");
  int sent = 0;
  for (int request = 0; request < 100; ++request) {
    sent += selector.choose({"lm", TrafficClass::kBatch, {}, {}}, at(1'000)).replica != nullptr;
  }
  BOOST_TEST(sent <= 1);
  BOOST_TEST(selector.choose({"lm", TrafficClass::kOnline, {}, {}}, at(4'000)).replica != nullptr);
}

BOOST_AUTO_TEST_CASE(a_replica_may_turn_cold_in_the_middle_of_its_life) {
  Knobs knobs;
  ReplicaDirectory directory(knobs);
  ReplicaRecord record{"r1", "lm", {"10.0.0.1", 80}, "zone-a", 8, false, {}};
  directory.upsert(record, at(0));
  BOOST_TEST((directory.find("r1")->cold_until <= at(0)));
  record.cold_remaining = std::chrono::seconds(3);
  directory.upsert(record, at(60'000));
  BOOST_TEST((directory.find("r1")->cold_until == at(63'000)));
}

BOOST_AUTO_TEST_SUITE_END()
