#include "dockpoint/routing/cold_replica_limiter.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "dockpoint/routing/replica_selector.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

constexpr double kColdRate = 11;     // Requests a second.
constexpr ColdBound kBound{1.5, 5};  // 21.5 requests in any second.
constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kRunMs = 5'000;

std::string name_of(std::size_t node) {
  return "node-" + std::to_string(node);
}

/// Membership views of the nodes.
enum class View {
  kWhole,
  kIncomplete,   ///< Each node lacks a twentieth of the others.
  kPartitioned,  ///< Two halves that consider each other dead; all are members.
  kEmpty,        ///< All nodes have just started and know only themselves.
};

struct Fleet {
  Fleet(std::size_t nodes, View view, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    for (std::size_t node = 0; node < nodes; ++node) {
      ColdReplicaLimiter& limiter = limiters.emplace_back(knobs, kBound, name_of(node));
      limiter.set_rates({{"lm", kColdRate}});
      limiter.expect_others(nodes > 1);
      std::vector<std::string> members;
      for (std::size_t other = 0; other < nodes; ++other) {
        const bool missed =
            view == View::kEmpty || (view == View::kIncomplete && random() % 20 == 0);
        if (other == node || !missed) {
          members.push_back(name_of(other));
        }
      }
      limiter.set_members(std::move(members));
    }
  }

  /// All nodes send as many requests to one replica as admitted.
  /// @return the maximum of requests in any second.
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

const double kAllowed = kColdRate * kBound.overage + kBound.slack;

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_replica_limiter)

// Guards against a collapse of cold replicas: a zone comes back cold, and all nodes send requests
// to it at once.
BOOST_AUTO_TEST_CASE(the_fleet_stays_within_the_bound_at_any_size) {
  for (const std::size_t nodes : {1, 3, 60, 300, 1000}) {
    for (const View view : {View::kWhole, View::kIncomplete, View::kPartitioned, View::kEmpty}) {
      Fleet fleet(nodes, view, nodes);
      std::size_t worst = 0;
      for (std::uint32_t replica = 1; replica <= 10; ++replica) {
        worst = std::max(worst, fleet.worst_second(replica * 7919));
      }
      BOOST_TEST(static_cast<double>(worst) <= kAllowed,
                 nodes << " nodes, view " << static_cast<int>(view) << ": " << worst);
      if (view == View::kWhole) {
        BOOST_TEST(worst >= 4U, nodes << " nodes: " << worst);  // The replica is used.
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(one_request_from_each_node_would_exceed_the_bound) {
  Fleet fleet(60, View::kWhole, 1);
  fleet.knobs.cold_senders = 60;
  BOOST_TEST(static_cast<double>(fleet.worst_second(7919)) > kAllowed);
}

BOOST_AUTO_TEST_CASE(a_service_without_a_rate_is_not_limited) {
  Fleet fleet(3, View::kWhole, 1);
  for (int request = 0; request < 100; ++request) {
    BOOST_TEST(fleet.limiters.front().admits("api", 5, at(0)));
    fleet.limiters.front().sent("api", 5, at(0));
  }
}

BOOST_AUTO_TEST_CASE(a_started_node_sends_nothing_until_it_knows_other_members) {
  Fleet fleet(3, View::kEmpty, 1);
  BOOST_TEST(!fleet.limiters.front().admits("lm", 5, at(0)));
  ColdReplicaLimiter alone(fleet.knobs, kBound, "alone");
  alone.set_rates({{"lm", kColdRate}});
  alone.set_members({"alone"});
  BOOST_TEST(alone.admits("lm", 5, at(0)));
}

// The selector applies the limit to requests and items, even if no other replica is left.
BOOST_AUTO_TEST_CASE(selector_limits_a_cold_replica_and_sends_the_rest_to_a_warm_one) {
  Knobs knobs;
  ReplicaDirectory directory(knobs);
  directory.upsert({"warm", "lm", {"10.0.0.1", 80}, "zone-a", 8, false, {}}, at(0));
  directory.upsert({"cold", "lm", {"10.0.0.2", 80}, "zone-a", 8, false, std::chrono::seconds(3)},
                   at(0));
  ColdReplicaLimiter limiter(knobs, kBound, "node");
  limiter.set_rates({{"lm", kColdRate}});
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

BOOST_AUTO_TEST_CASE(a_running_replica_may_become_cold_again) {
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
