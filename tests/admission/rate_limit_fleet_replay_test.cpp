#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "dockpoint/admission/tenant_rate_limiter.hpp"
#include "support/fleet.hpp"

/// Replays traffic of tenants of very different sizes on 73 nodes, through the real limiter of each
/// node and in parallel through one central bucket per tenant. Traffic alternates between 0.38 and
/// 1.87 of its mean; limits are 1.6 times a tenant's usual peak rate; some tenants temporarily send
/// many times their usual traffic. Digests are delayed by 150 to 800 ms, as by congested relays.
///
/// Two values are measured. Requests refused within the limit: the number by which the nodes admit
/// fewer requests of a tenant in a second than its central bucket, attributed to the reasons that
/// the limiter gives for the refusals of that second. (Single requests are not compared: for a
/// tenant above its limit, the central bucket and the nodes admit equally many, but different
/// ones.) And the maximum number of requests in any window, relative to the number allowed.
///
/// DOCKPOINT_RATE_FLEET_SEEDS sets the number of seeds (default 3).
using namespace dockpoint;
using dockpoint::test::at;

namespace {

constexpr RateWindow kWindow{std::chrono::seconds(5), 0.1, 20};
constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kDigestMs = 200;
constexpr std::int64_t kTickMs = 50;
constexpr std::int64_t kTrafficFromMs = 6'000;
constexpr std::int64_t kEndMs = 32'000;
constexpr std::size_t kNodes = 73;
constexpr double kLargestRate = 354;
constexpr double kSmallestRate = 5;
constexpr double kSkew = 1.2;         ///< Zipf exponent of the limits by tenant rank.
constexpr double kLimitFactor = 1.6;  ///< Limit relative to the tenant's usual peak rate.
constexpr double kTop = 1.87;         ///< Peak rate relative to the mean.
constexpr double kBottom = 0.383;     ///< Rate between peaks relative to the mean.
/// Ranks simulated. A subset suffices, since the limiter treats tenants independently.
constexpr std::array<int, 7> kRanks{1, 2, 3, 6, 12, 30, 79};

/// Hot tenants and faults in a run.
struct FleetScenario {
  bool hot = false;    ///< Two tenants send many times their usual for some seconds.
  bool cut = false;    ///< 35% of the nodes hear no others for 12 s.
  bool kills = false;  ///< Single nodes are killed and restarted.
  bool restart_all = false;
  bool added = false;  ///< 18 nodes are added.
};

struct HotPeriod {
  std::int64_t from = 0;
  std::int64_t to = 0;
  double factor = 1;
};

struct Outcome {
  double wanted = 0;                ///< Requests admitted by the central buckets.
  double refused = 0;               ///< Requests refused by the nodes, within or above the limit.
  double refused_within_limit = 0;  ///< Refused within the limit.
  double admitted_above = 0;        ///< Excess over the central buckets, summed per second.
  double not_matched = 0;           ///< Refused, but admitted by the central bucket.
  double worst_window = 0;          ///< Relative to the requests allowed in a window.
  std::map<std::string, double> by_reason;  ///< Requests refused within the limit, by reason.

  void add(const Outcome& other) {
    wanted += other.wanted;
    refused += other.refused;
    refused_within_limit += other.refused_within_limit;
    admitted_above += other.admitted_above;
    not_matched += other.not_matched;
    worst_window = std::max(worst_window, other.worst_window);
    for (const auto& [reason, count] : other.by_reason) {
      by_reason[reason] += count;
    }
  }
  double refused_part() const { return wanted == 0 ? 0 : refused_within_limit / wanted; }
};

class FleetReplay {
 public:
  FleetReplay(const FleetScenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed) {
    std::vector<Tenant> tenants;
    for (const int rank : kRanks) {
      const double rate = std::max(kSmallestRate, std::round(kLargestRate / std::pow(rank, kSkew)));
      tenants.push_back(
          {"tenant-" + std::to_string(rank), 0, {rate, rate}, {std::to_string(rank)}});
    }
    directory_ = TenantDirectory::build(tenants).value();
    for (const Tenant& tenant : tenants) {
      accounts_.push_back({tenant, {}, 0, 0, {}, {}});
    }
    nodes_.resize(kNodes);
    for (Node& node : nodes_) {
      start(node);
    }
    draw_hot_periods();
  }

  Outcome run() {
    const std::int64_t cut_from = 8'000;
    const std::int64_t added_at = 16'000;
    const std::int64_t restart_at = 17'000 + static_cast<std::int64_t>(random_() % 4'000);
    for (now_ = 0; now_ < kEndMs; now_ += kStepMs) {
      if (scenario_.cut && now_ == cut_from) {
        cut(kNodes * 35 / 100, 12'000);
      }
      if (scenario_.added && now_ >= added_at && now_ < added_at + 180) {
        nodes_.emplace_back();
        start(nodes_.back());
      }
      if (scenario_.restart_all && now_ == restart_at / kStepMs * kStepMs) {
        const auto down = static_cast<std::int64_t>(500 + random_() % 800);
        for (Node& node : nodes_) {
          stop(node, down + static_cast<std::int64_t>(random_() % 200));
        }
      }
      if (scenario_.kills && now_ > kTrafficFromMs && random_() % 100 == 0) {
        stop(nodes_[random_() % nodes_.size()],
             1'000 + static_cast<std::int64_t>(random_() % 1'500));
      }
      deliver();
      for (std::size_t index = 0; index < nodes_.size(); ++index) {
        step(index);
      }
      if (now_ >= kTrafficFromMs) {
        arrive();
      }
    }
    for (const Account& account : accounts_) {
      compare_seconds(account);
      outcome_.worst_window = std::max(outcome_.worst_window, worst_window(account));
    }
    return outcome_;
  }

 private:
  struct Node {
    std::unique_ptr<TenantRateLimiter> limiter;  ///< Null while the node is down.
    std::int64_t up_at = 0;
    std::int64_t next_digest = 0;
    std::int64_t cut_until = 0;
  };
  /// Requests of a tenant in one second.
  struct Second {
    double wanted = 0;
    double admitted = 0;
    std::map<std::string, double> refused;  ///< By reason.
  };
  struct Account {
    Tenant tenant;
    HotPeriod hot;
    double central = 0;  ///< Tokens in the central bucket.
    std::int64_t central_at = 0;
    std::vector<std::int64_t> admitted;
    std::map<std::int64_t, Second> seconds;
  };
  struct Digest {
    std::int64_t due = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::shared_ptr<const SpendReport> report;
    bool operator>(const Digest& other) const { return due > other.due; }
  };

  void start(Node& node) {
    node.limiter = std::make_unique<TenantRateLimiter>(knobs_, kWindow, ++runs_);
    node.limiter->set_limits(directory_);
    node.limiter->expect_others(true);
    node.next_digest = now_ + static_cast<std::int64_t>(random_() % kDigestMs);
  }

  static bool is_cut(const Node& node, std::int64_t now) { return now < node.cut_until; }

  void stop(Node& node, std::int64_t for_ms) {
    node.limiter.reset();
    node.up_at = now_ + for_ms;
  }

  void cut(std::size_t count, std::int64_t for_ms) {
    std::vector<std::size_t> order(nodes_.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    for (std::size_t place = 0; place < count; ++place) {
      nodes_[order[place]].cut_until = now_ + for_ms;
    }
  }

  void draw_hot_periods() {
    for (int drawn = 0; scenario_.hot && drawn < 2; ++drawn) {
      const auto from = static_cast<std::int64_t>(8'000 + random_() % 12'000);
      const auto length = static_cast<std::int64_t>(5'000 + random_() % 3'000);
      const double factor = std::uniform_real_distribution<double>(4, 7.5)(random_);
      accounts_[random_() % accounts_.size()].hot = {from, from + length, factor};
    }
  }

  void step(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.limiter && now_ >= node.up_at) {
      start(node);
    }
    if (!node.limiter) {
      return;
    }
    if (now_ % kTickMs == 0) {
      node.limiter->tick(at(now_));
    }
    if (now_ < node.next_digest) {
      return;
    }
    node.next_digest = now_ + kDigestMs;
    const auto report = std::make_shared<const SpendReport>(node.limiter->report(at(now_)));
    // One relay forwards the digest to all nodes, delayed by its capacity; it may be overtaken by a
    // later digest.
    const auto relayed = now_ + 150 + static_cast<std::int64_t>(random_() % 550);
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != index && !is_cut(node, now_) && !is_cut(nodes_[other], now_)) {
        digests_.push({relayed + static_cast<std::int64_t>(random_() % 100), index, other, report});
        // Heartbeats are always relayed.
        if (nodes_[other].limiter) {
          nodes_[other].limiter->record_heartbeat(static_cast<std::uint32_t>(index), at(now_));
        }
      }
    }
  }

  void deliver() {
    while (!digests_.empty() && digests_.top().due <= now_) {
      const Digest digest = digests_.top();
      digests_.pop();
      Node& node = nodes_[digest.to];
      if (node.limiter && !is_cut(node, now_) && !is_cut(nodes_[digest.from], now_)) {
        node.limiter->merge_report(static_cast<std::uint32_t>(digest.from), *digest.report,
                                   at(now_));
      }
    }
  }

  double rate_now(const Account& account) const {
    constexpr std::int64_t kPeriodMs = 5'800;
    constexpr std::int64_t kBottomMs = 3'400;
    const double usual_at_top = account.tenant.rate.per_second / kLimitFactor;
    const double step = now_ % kPeriodMs < kBottomMs ? kBottom / kTop : 1;
    const bool hot = now_ >= account.hot.from && now_ < account.hot.to;
    return usual_at_top * step * (hot ? account.hot.factor : 1);
  }

  void arrive() {
    for (Account& account : accounts_) {
      const double mean = rate_now(account) * static_cast<double>(kStepMs) / 1000;
      const int requests = std::poisson_distribution<int>(mean)(random_);
      for (int request = 0; request < requests; ++request) {
        arrive(account, nodes_[random_() % nodes_.size()]);
      }
    }
  }

  void arrive(Account& account, Node& node) {
    if (!node.limiter) {
      return;  // Node down: not counted, since the caller would retry elsewhere.
    }
    const bool wanted = central_admits(account);
    const RateVerdict verdict = node.limiter->admit(account.tenant, at(now_));
    if (verdict.admitted) {
      account.admitted.push_back(now_);
    }
    Second& second = account.seconds[now_ / 1'000];
    second.wanted += wanted ? 1 : 0;
    second.admitted += verdict.admitted ? 1 : 0;
    outcome_.wanted += wanted ? 1 : 0;
    if (!verdict.admitted) {
      ++second.refused[to_string(verdict.refusal)];
      ++outcome_.refused;
      outcome_.not_matched += wanted ? 1 : 0;
    }
  }

  void compare_seconds(const Account& account) {
    for (const auto& [number, second] : account.seconds) {
      const double missing = second.wanted - second.admitted;
      outcome_.refused_within_limit += std::max(0.0, missing);
      outcome_.admitted_above += std::max(0.0, -missing);
      double refused = 0;
      for (const auto& [reason, count] : second.refused) {
        refused += count;
      }
      for (const auto& [reason, count] : second.refused) {
        outcome_.by_reason[reason] += std::max(0.0, missing) * count / refused;
      }
    }
  }

  bool central_admits(Account& account) const {
    const RateLimit& limit = account.tenant.rate;
    const double gained = limit.per_second * static_cast<double>(now_ - account.central_at) / 1000;
    account.central = std::min(limit.burst, account.central + gained);
    account.central_at = now_;
    const bool admits = account.central >= 1;
    account.central -= admits ? 1 : 0;
    return admits;
  }

  static double worst_window(const Account& account) {
    const RateLimit& limit = account.tenant.rate;
    const double allowed =
        (limit.per_second * 5 + limit.burst) * (1 + kWindow.overage) + kWindow.slack;
    const std::vector<std::int64_t>& admitted = account.admitted;
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
      while (admitted[last] - admitted[first] > 5'000) {
        ++first;
      }
      worst = std::max(worst, last - first + 1);
    }
    return static_cast<double>(worst) / allowed;
  }

  const FleetScenario scenario_;
  std::mt19937_64 random_;
  Knobs knobs_;
  TenantDirectory directory_;
  std::vector<Account> accounts_;
  std::vector<Node> nodes_;
  std::priority_queue<Digest, std::vector<Digest>, std::greater<>> digests_;
  std::int64_t now_ = 0;
  std::uint32_t runs_ = 0;
  Outcome outcome_;
};

std::uint64_t seeds() {
  constexpr std::uint64_t kDefaultSeeds = 3;
  const char* text = std::getenv("DOCKPOINT_RATE_FLEET_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::strtoull(text, nullptr, 10);
}

Outcome run_seeds(const char* name, const FleetScenario& scenario) {
  Outcome all;
  for (std::uint64_t seed = 1; seed <= seeds(); ++seed) {
    const Outcome one = FleetReplay(scenario, seed).run();
    if (one.worst_window > 1) {
      BOOST_TEST_MESSAGE(name << ": seed " << seed << " window " << one.worst_window);
    }
    all.add(one);
  }
  std::string reasons;
  for (const auto& [reason, count] : all.by_reason) {
    reasons += " " + reason + "=" + std::to_string(count / all.wanted * 100) + "%";
  }
  const auto percent = [&](double count) { return std::to_string(count / all.wanted * 100) + "%"; };
  BOOST_TEST_MESSAGE(name << ": within the limit " << all.wanted << ", of these refused "
                          << percent(all.refused_within_limit) << " (" << reasons
                          << " ); admitted above it " << percent(all.admitted_above)
                          << ", refused in total " << percent(all.refused)
                          << ", refused but admitted by the central bucket "
                          << percent(all.not_matched) << ", worst window " << all.worst_window);
  return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limit_fleet_replay)

BOOST_AUTO_TEST_CASE(under_normal_load_almost_no_request_within_the_limit_is_refused) {
  const Outcome outcome = run_seeds("calm", {});
  BOOST_TEST(outcome.refused_part() < 0.005);
  BOOST_TEST(outcome.worst_window <= 1);
}

BOOST_AUTO_TEST_CASE(a_hot_tenant_gets_what_its_limit_allows) {
  const Outcome outcome = run_seeds("hot tenants", {.hot = true});
  BOOST_TEST(outcome.refused_part() < 0.005);
  BOOST_TEST(outcome.worst_window <= 1);
}

BOOST_AUTO_TEST_CASE(nodes_that_are_cut_off_refuse_few_within_the_limit) {
  const Outcome outcome = run_seeds("35% cut off, hot tenants", {.hot = true, .cut = true});
  BOOST_TEST(outcome.refused_part() < 0.02);
  BOOST_TEST(outcome.worst_window <= 1);
}

BOOST_AUTO_TEST_CASE(after_a_restart_of_all_nodes_few_within_the_limit_are_refused) {
  const Outcome outcome =
      run_seeds("all nodes restart, hot tenants", {.hot = true, .restart_all = true});
  BOOST_TEST(outcome.refused_part() < 0.02);
  BOOST_TEST(outcome.worst_window <= 1);
}

BOOST_AUTO_TEST_CASE(kills_and_added_nodes_refuse_few_within_the_limit) {
  const Outcome outcome =
      run_seeds("kills, 18 nodes added, hot tenants", {.hot = true, .kills = true, .added = true});
  BOOST_TEST(outcome.refused_part() < 0.02);
  BOOST_TEST(outcome.worst_window <= 1);
}

BOOST_AUTO_TEST_CASE(all_faults_combined_keep_the_limit) {
  const Outcome outcome = run_seeds("all faults combined", {true, true, true, true, true});
  BOOST_TEST(outcome.worst_window <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
