#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "dockpoint/admission/tenant_rate_limiter.hpp"
#include "support/fleet.hpp"

/// Simulates fleets of rate limiters from seeds. Digests are delayed, lost or cut off; nodes are
/// killed, restarted, paused and added; requests are spread evenly or all reach one node; a tenant
/// sends many times its limit. Measured are the maximum number of requests in any window, relative
/// to the number allowed, and the refused requests that one central bucket would have admitted.
///
/// DOCKPOINT_RATE_SEEDS sets the number of seeds (default 20).
using namespace dockpoint;
using dockpoint::test::at;

namespace {

constexpr RateWindow kWindow{std::chrono::seconds(5), 0.1, 20};
constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kDigestMs = 200;

struct Scenario {
  std::size_t nodes = 60;
  RateLimit limit{20, 20};
  double demand = 0.6;      ///< Mean request rate, as a fraction of the limit's rate.
  double burst_factor = 1;  ///< Demand multiplier from `burst_from` on, for `burst_ms`.
  std::int64_t burst_from = 12'000;
  std::int64_t burst_ms = 6'500;
  bool skewed = false;       ///< One node receives all requests.
  double loss = 0.02;        ///< Fraction of digests lost.
  bool faults = false;       ///< Random kills, network cuts, pauses and joins.
  bool restart_all = false;  ///< At 14 s, in the middle of the burst.
  bool shared = true;        ///< See `Knobs::rate_shared`.
};

struct Outcome {
  double worst_window = 0;   ///< Most requests in a window, relative to the number allowed.
  double refused_below = 0;  ///< Fraction refused of the requests that a central bucket admits.
};

class Replay {
 public:
  Replay(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
    knobs_.rate_shared = scenario.shared ? 1 : 0;
    tenants_ = TenantDirectory::build({tenant()}).value();
    nodes_.resize(scenario.nodes);
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      start(index);
    }
  }

  Outcome run(std::int64_t milliseconds) {
    const std::int64_t traffic_from = 6'000;
    for (now_ = 0; now_ < milliseconds; now_ += kStepMs) {
      if (scenario_.restart_all && now_ == 14'000) {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
          stop(index, 1'200 + static_cast<std::int64_t>(random_() % 300));
        }
      }
      if (scenario_.faults && now_ > traffic_from && random_() % 25 == 0) {
        inject_fault();
      }
      deliver();
      for (std::size_t index = 0; index < nodes_.size(); ++index) {
        step(index);
      }
      if (now_ >= traffic_from) {
        arrive();
      }
    }
    return outcome();
  }

 private:
  struct Node {
    std::unique_ptr<TenantRateLimiter> limiter;  ///< Null while the node is down.
    std::int64_t up_at = 0;
    std::int64_t paused_until = 0;
    std::int64_t next_digest = 0;
    int group = 0;  ///< Nodes hear only nodes of the same group.
    std::int64_t cut_until = 0;
  };
  struct Digest {
    std::int64_t due = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::shared_ptr<const SpendReport> report;
    bool operator>(const Digest& other) const { return due > other.due; }
  };

  Tenant tenant() const { return {"clinic", 0, scenario_.limit, {"key"}}; }

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void start(std::size_t index) {
    nodes_[index].limiter = std::make_unique<TenantRateLimiter>(knobs_, kWindow, ++runs_);
    nodes_[index].limiter->set_limits(tenants_);
    nodes_[index].limiter->expect_others(true);
    nodes_[index].next_digest = now_ + static_cast<std::int64_t>(random_() % kDigestMs);
  }

  void stop(std::size_t index, std::int64_t for_ms) {
    nodes_[index].limiter.reset();
    nodes_[index].up_at = now_ + for_ms;
  }

  void inject_fault() {
    const std::size_t index = random_() % nodes_.size();
    switch (random_() % 4) {
      case 0:
        stop(index, 500 + static_cast<std::int64_t>(random_() % 3'000));
        break;
      case 1:
        nodes_[index].paused_until = now_ + static_cast<std::int64_t>(random_() % 4'000);
        break;
      case 2: {
        // Up to a sixth of the nodes hear no others for 1 to 6 s.
        const std::int64_t until = now_ + 1'000 + static_cast<std::int64_t>(random_() % 5'000);
        for (std::size_t count = 0; count < nodes_.size() / 6; ++count) {
          Node& node = nodes_[random_() % nodes_.size()];
          node.group = ++groups_;
          node.cut_until = until;
        }
        break;
      }
      default:
        nodes_.push_back({});
        start(nodes_.size() - 1);
    }
  }

  void step(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.limiter && now_ >= node.up_at) {
      start(index);
    }
    if (node.group != 0 && now_ >= node.cut_until) {
      node.group = 0;
    }
    if (!node.limiter || now_ < node.paused_until) {
      return;
    }
    if (now_ % 50 == 0) {
      node.limiter->tick(at(now_));
    }
    if (now_ < node.next_digest) {
      return;
    }
    node.next_digest = now_ + kDigestMs;
    const auto report = std::make_shared<const SpendReport>(node.limiter->report(at(now_)));
    // Digests are relayed, so a loss affects all receivers together.
    const bool lost = uniform() < scenario_.loss;
    for (std::size_t other = 0; other < nodes_.size() && !lost; ++other) {
      if (other != index && nodes_[other].group == node.group) {
        const auto delay = 20 + static_cast<std::int64_t>(random_() % 230);
        digests_.push({now_ + delay, index, other, report});
      }
    }
  }

  void deliver() {
    while (!digests_.empty() && digests_.top().due <= now_) {
      const Digest digest = digests_.top();
      digests_.pop();
      Node& node = nodes_[digest.to];
      if (node.limiter && now_ >= node.paused_until && node.group == nodes_[digest.from].group) {
        node.limiter->merge_report(static_cast<std::uint32_t>(digest.from), *digest.report,
                                   at(now_));
      }
    }
  }

  double rate_now() const {
    const bool burst =
        now_ >= scenario_.burst_from && now_ < scenario_.burst_from + scenario_.burst_ms;
    constexpr std::int64_t kPeriodMs = 6'000;
    constexpr std::int64_t kLowMs = 3'600;
    const double swing = now_ % kPeriodMs < kLowMs ? 0.391 : 1.91;
    return scenario_.limit.per_second * scenario_.demand * swing *
           (burst ? scenario_.burst_factor : 1);
  }

  void arrive() {
    const double mean = rate_now() * static_cast<double>(kStepMs) / 1000;
    const int requests = std::poisson_distribution<int>(mean)(random_);
    for (int request = 0; request < requests; ++request) {
      const bool wanted = central_admits();
      const std::size_t index = scenario_.skewed ? 0 : random_() % nodes_.size();
      Node& node = nodes_[index];
      if (!node.limiter || now_ < node.paused_until) {
        continue;  // Node down or paused: not counted, since the caller would retry elsewhere.
      }
      const bool admitted = node.limiter->admit(tenant(), at(now_)).admitted;
      if (admitted) {
        admitted_.push_back(now_);
      }
      wanted_ += wanted ? 1 : 0;
      refused_ += wanted && !admitted ? 1 : 0;
    }
  }

  /// @return whether one bucket for the whole fleet would admit the request.
  bool central_admits() {
    const double gained =
        scenario_.limit.per_second * static_cast<double>(now_ - central_at_) / 1000;
    central_ = std::min(scenario_.limit.burst, central_ + gained);
    central_at_ = now_;
    const bool admits = central_ >= 1;
    central_ -= admits ? 1 : 0;
    return admits;
  }

  Outcome outcome() const {
    const double allowed =
        (scenario_.limit.per_second * 5 + scenario_.limit.burst) * (1 + kWindow.overage) +
        kWindow.slack;
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted_.size(); ++last) {
      while (admitted_[last] - admitted_[first] > 5'000) {
        ++first;
      }
      worst = std::max(worst, last - first + 1);
    }
    return {static_cast<double>(worst) / allowed,
            wanted_ == 0 ? 0 : static_cast<double>(refused_) / wanted_};
  }

  const Scenario scenario_;
  std::mt19937_64 random_;
  Knobs knobs_;
  TenantDirectory tenants_;
  std::vector<Node> nodes_;
  std::priority_queue<Digest, std::vector<Digest>, std::greater<>> digests_;
  std::int64_t now_ = 0;
  std::uint32_t runs_ = 0;
  int groups_ = 0;
  std::vector<std::int64_t> admitted_;
  double central_ = 0;
  std::int64_t central_at_ = 0;
  int wanted_ = 0;
  int refused_ = 0;
};

std::uint64_t seeds() {
  constexpr std::uint64_t kDefaultSeeds = 20;
  const char* text = std::getenv("DOCKPOINT_RATE_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::strtoull(text, nullptr, 10);
}

/// Runs one random scenario for each seed.
/// @return the worst window and the mean fraction refused.
Outcome run_seeds(const std::function<Scenario(std::mt19937_64&)>& draw) {
  Outcome all;
  const std::uint64_t count = seeds();
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    std::mt19937_64 random(seed);
    const Scenario scenario = draw(random);
    const Outcome one = Replay(scenario, seed).run(26'000);
    if (one.worst_window > 1) {
      BOOST_TEST_MESSAGE("seed " << seed << " nodes " << scenario.nodes << " rate "
                                 << scenario.limit.per_second << " window " << one.worst_window);
    }
    all.worst_window = std::max(all.worst_window, one.worst_window);
    all.refused_below += one.refused_below / static_cast<double>(count);
  }
  BOOST_TEST_MESSAGE("worst window " << all.worst_window << ", refused below the limit "
                                     << all.refused_below);
  return all;
}

Scenario random_scenario(std::mt19937_64& random) {
  constexpr std::array<std::size_t, 3> kNodes{3, 12, 60};
  constexpr std::array<double, 4> kRates{2, 10, 60, 200};
  Scenario scenario;
  scenario.nodes = kNodes[random() % kNodes.size()];
  const double rate = kRates[random() % kRates.size()];
  scenario.limit = {rate, rate};
  return scenario;
}

/// The tenant sends many times its limit for some seconds.
Scenario random_scenario_with_burst(std::mt19937_64& random) {
  Scenario scenario = random_scenario(random);
  scenario.burst_factor = 7.5;
  return scenario;
}

Scenario random_scenario_with_faults(std::mt19937_64& random) {
  Scenario scenario = random_scenario_with_burst(random);
  scenario.faults = true;
  return scenario;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limit_exploration)

BOOST_AUTO_TEST_CASE(below_the_limit_almost_no_request_is_refused) {
  BOOST_TEST(run_seeds(random_scenario).refused_below < 0.01);
}

BOOST_AUTO_TEST_CASE(below_the_limit_few_are_refused_if_one_node_receives_all_requests) {
  const Outcome outcome = run_seeds([](std::mt19937_64& random) {
    Scenario scenario = random_scenario(random);
    scenario.skewed = true;
    return scenario;
  });
  BOOST_TEST(outcome.refused_below < 0.03);
}

BOOST_AUTO_TEST_CASE(a_burst_above_the_limit_stays_within_every_window) {
  BOOST_TEST(run_seeds(random_scenario_with_burst).worst_window <= 1);
}

BOOST_AUTO_TEST_CASE(the_limit_is_kept_while_nodes_are_cut_off_killed_paused_and_added) {
  BOOST_TEST(run_seeds(random_scenario_with_faults).worst_window <= 1);
}

// Regression test: on these seeds windows reached up to 1.17 of the allowed requests. A node that
// was killed while cut off restarted, heard no other node and assumed that it was the only one.
BOOST_AUTO_TEST_CASE(a_node_that_starts_while_cut_off_does_not_grant_the_whole_limit) {
  for (const std::uint64_t seed : {238, 424, 491, 614, 638, 735, 764, 905, 974}) {
    std::mt19937_64 random(seed);
    const Scenario scenario = random_scenario_with_faults(random);
    const double worst = Replay(scenario, seed).run(26'000).worst_window;
    BOOST_TEST(worst <= 1, "seed " << seed << ": " << worst);
  }
}

BOOST_AUTO_TEST_CASE(a_restart_of_all_nodes_during_a_burst_grants_no_second_burst) {
  const Outcome outcome = run_seeds([](std::mt19937_64& random) {
    Scenario scenario = random_scenario_with_burst(random);
    scenario.restart_all = true;
    return scenario;
  });
  BOOST_TEST(outcome.worst_window <= 1);
}

// Alternative design for comparison: every node enforces an even fraction of the limit without
// reports. This keeps the limit, but requests reach nodes at random, one or two at a time, so that
// some nodes run out of tokens while others have some left.
BOOST_AUTO_TEST_CASE(a_static_even_split_refuses_far_more_below_the_limit) {
  const auto evenly = [](std::mt19937_64& random) {
    Scenario scenario = random_scenario(random);
    scenario.shared = false;
    return scenario;
  };
  BOOST_TEST(run_seeds(evenly).refused_below > 5 * run_seeds(random_scenario).refused_below);
}

BOOST_AUTO_TEST_SUITE_END()
