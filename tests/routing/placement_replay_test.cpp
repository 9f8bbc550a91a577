#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dockpoint/routing/replica_selector.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

/// Replays a load pattern through the real replica selector, with a model of the replicas.
///
/// The pattern is that of the grown and large deployments: online requests that step from a third
/// to twice their mean within a tick, at nodes that each see a few of them a second and know the
/// load of the replicas as it was 150 to 250 ms ago. Batch items are not modelled.

namespace {

struct Pattern {
  int nodes = 295;
  int replicas = 204;
  int slots = 7;
  double mean_per_second = 522;
  double service_ms = 850;
  std::int64_t view_age_ms = 150;  ///< Age of the load in digests on arrival.
  std::int64_t low_ms = 3'300;     ///< Time at a third of the mean rate; then twice it.
  std::int64_t high_ms = 2'200;
};

/// Request counts of one replay.
struct Outcome {
  int requests = 0;
  int waited = 0;  ///< Requests that waited for a slot.
};

/// Model of replicas that serve in FIFO order, and nodes that choose among them on stale load.
class Replay {
 public:
  Replay(const Pattern& pattern, std::uint64_t seed)
      : pattern_(pattern), random_(seed), free_at_(pattern.replicas) {
    for (int number = 0; number < pattern.replicas; ++number) {
      const std::string id = "r" + std::to_string(number);
      directory_.upsert({id, "lm", {"10.0.0.1", 80}, "zone-a", pattern.slots, false, {}}, at(0));
      numbers_[id] = number;
      free_at_[number].assign(pattern.slots, 0);
    }
    for (int node = 0; node < pattern.nodes; ++node) {
      selectors_.push_back(
          std::make_unique<ReplicaSelector>(knobs_, directory_, "zone-a", seed * 1000 + node));
      selectors_.back()->note_service_time(
          "lm", std::chrono::milliseconds(static_cast<std::int64_t>(pattern.service_ms)));
    }
  }

  Outcome run() {
    for (std::int64_t now = 0; now < pattern_.low_ms + pattern_.high_ms; ++now) {
      constexpr std::int64_t kDigestInterval = 100;
      if (now % kDigestInterval == 0) {
        tell_loads(now);
      }
      const double share = now < pattern_.low_ms ? 0.33 : 2.0;
      std::poisson_distribution<int> arrivals(pattern_.mean_per_second * share / 1000);
      for (int left = arrivals(random_); left > 0; --left) {
        start_request(now);
      }
    }
    return outcome_;
  }

 private:
  void tell_loads(std::int64_t now) {
    const std::int64_t view_time = now - pattern_.view_age_ms;
    std::vector<LoadDigestEntry> entries;
    for (const auto& [id, number] : numbers_) {
      std::uint32_t in_flight = 0;
      for (const auto& [begin, end] : requests_[number]) {
        in_flight += begin <= view_time && view_time < end ? 1 : 0;
      }
      entries.push_back({directory_.find(id)->key, in_flight, 0, 0, 0});
    }
    std::vector<LoadDigest> digests;
    for (int node = 1; node < pattern_.nodes; ++node) {
      digests.push_back({static_cast<std::uint32_t>(node), 0, 0, true, 0, {}});
    }
    digests.front().entries = std::move(entries);
    directory_.set_peer_loads(digests, at(now));
  }

  void start_request(std::int64_t now) {
    std::uniform_int_distribution<std::size_t> any_node(0, selectors_.size() - 1);
    ReplicaSelector& selector = *selectors_[any_node(random_)];
    const ReplicaQuery query{"lm", TrafficClass::kOnline, {{7, 100}, {8, 500}}, {}};
    const int number = numbers_.at(selector.choose(query, at(now)).replica->record.id);
    std::exponential_distribution<double> service(1 / pattern_.service_ms);
    const auto slot = std::min_element(free_at_[number].begin(), free_at_[number].end());
    const double begin = std::max(*slot, static_cast<double>(now));
    *slot = begin + service(random_);
    requests_[number].emplace_back(now, static_cast<std::int64_t>(*slot));
    ++outcome_.requests;
    outcome_.waited += begin > static_cast<double>(now) ? 1 : 0;
  }

  const Pattern pattern_;
  const Knobs knobs_;
  std::mt19937_64 random_;
  ReplicaDirectory directory_{knobs_};
  std::map<std::string, int> numbers_;
  std::vector<std::unique_ptr<ReplicaSelector>> selectors_;
  std::vector<std::vector<double>> free_at_;  ///< By replica and slot.
  std::map<int, std::vector<std::pair<std::int64_t, std::int64_t>>> requests_;  ///< Begin and end.
  Outcome outcome_;
};

Outcome replay(const Pattern& pattern, std::uint64_t seeds) {
  Outcome all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Outcome one = Replay(pattern, seed).run();
    all.requests += one.requests;
    all.waited += one.waited;
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_replay)

BOOST_AUTO_TEST_CASE(few_requests_wait_after_a_load_step_in_a_large_fleet) {
  const Outcome outcome = replay({}, 3);
  // Measured: 1.8% wait.
  BOOST_TEST(outcome.waited < 0.03 * outcome.requests,
             outcome.waited << " of " << outcome.requests << " waited");
}

BOOST_AUTO_TEST_CASE(few_requests_wait_after_a_load_step_in_a_small_fleet) {
  Pattern small;
  small.nodes = 10;
  small.replicas = 18;
  small.slots = 12;
  small.mean_per_second = 80;
  const Outcome outcome = replay(small, 12);
  BOOST_TEST(outcome.waited < 0.03 * outcome.requests,
             outcome.waited << " of " << outcome.requests << " waited");
}

BOOST_AUTO_TEST_SUITE_END()
