#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dockpoint/config/tenant_directory.hpp"
#include "dockpoint/core/decaying_count.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

/// The rate limits of tenants, counted over all nodes without a central counter.
///
/// Load pattern: one tenant sends many times its usual from one moment to the next, to all nodes at
/// once or to a few. It must neither get through above its limit nor take the slots of others; a
/// tenant below its limit must not be refused, however its requests fall on the nodes.
///
/// Every node keeps a token bucket for each tenant in use, filled at the tenant's rate, and takes
/// out what it admits itself and what the other nodes say in their load digests that they have
/// admitted. So the buckets agree but for what was admitted since the last digests. That much a
/// node can overspend; two bounds keep it small:
///
/// - Until the others know, a node admits no more than its share of the tokens and of a part of the
///   window's tolerance, and about the square root of that beyond it. Its share is computed from
///   requests that the others know of, so that the shares of all nodes add up to one even while a
///   burst begins. Overspending becomes a debt; while it is small, the nodes together admit a
///   little less than the rate.
/// - A node that does not hear others has only its part of the limit: nodes that hear each other
///   share `heard / known` of it. Parts of a fleet that is cut apart add up to the limit, whatever
///   they admit. The number of known nodes only shrinks while most of them are heard.
///
/// A node that starts knows nothing of what was spent: its buckets begin with a part of the
/// tolerance in place of the burst, shared with the nodes that it hears, and until it knows how
/// many others there are it reckons with a large fleet. A restart of all nodes therefore grants no
/// second burst. A node that stood still begins with empty buckets.
namespace dockpoint {

/// How exactly the limits are to be kept.
struct RateWindow {
  Duration length = std::chrono::seconds(5);  ///< Over which requests are counted.
  double overage = 0;                         ///< Share of the limit that may be exceeded,
  double slack = 0;                           ///< and requests on top of it.
};

/// @return the number that stands for a tenant between nodes. Two of 11,000 tenants share one in
/// 1.4% of fleets; they then share the stricter account of both.
std::uint32_t tenant_key(std::string_view name);

/// What one node has admitted of a tenant.
struct TenantSpend {
  std::uint32_t tenant = 0;  ///< See `tenant_key`.
  std::uint32_t total = 0;   ///< Since the node's start; wraps around.
  std::uint32_t recent = 0;  ///< Of these, within `Knobs::rate_report_time`.
  friend bool operator==(const TenantSpend&, const TenantSpend&) = default;
};

/// What one node tells the others.
struct SpendReport {
  std::uint32_t run = 0;          ///< Tells the lives of the process apart.
  std::uint32_t number = 0;       ///< Counts the reports of a life, from 1 on; wraps around.
  std::uint32_t known_nodes = 0;  ///< Nodes that it reckons with, itself included.
  std::vector<TenantSpend> spends;
};

/// Why a request is refused.
enum class RateRefusal : std::uint8_t {
  kNone,
  kOverLimit,  ///< The bucket that all nodes share is empty.
  kNodeShare,  ///< This node has used its share of the tokens, and the others do not know yet.
  kCutOff,     ///< Too few nodes are heard, so that the node has only a part of the limit.
  kStarting,   ///< The node's buckets were empty or nearly so a moment ago, by its start.
};

/// @return the name of a reason in logs and metrics.
const char* to_string(RateRefusal refusal);

/// The decision on one request.
struct RateVerdict {
  bool admitted = true;
  Duration retry_after{};  ///< If it is refused: until a token is there.
  double tokens = 0;       ///< In the bucket, before the request; below 0 if nodes overspent.
  std::size_t heard = 1;   ///< Nodes that share the bucket,
  std::size_t known = 1;   ///< of so many.
  RateRefusal refusal = RateRefusal::kNone;
  double share = 0;  ///< Requests that the node may admit before the others know of them.
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class TenantRateLimiter {
 public:
  /// @param run tells the lives of this process apart.
  TenantRateLimiter(const Knobs& knobs, const RateWindow& window, std::uint32_t run);

  /// @param expected whether the settings name other nodes. Then a node that has heard none since
  /// its start takes itself for cut off from a large fleet, not for alone.
  void expect_others(bool expected) { others_expected_ = expected; }

  /// Takes the limits of a configuration. Tenants that have none cost nothing.
  void set_limits(const TenantDirectory& tenants);

  /// Decides on a request of a tenant, and counts it if it is admitted.
  RateVerdict admit(const Tenant& tenant, TimePoint now);
  /// A request that was admitted has certainly not run.
  void refund(const Tenant& tenant, TimePoint now);

  /// @return what the other nodes should know now.
  SpendReport report(TimePoint now);
  /// Takes what another node tells.
  void merge_report(std::uint32_t node, const SpendReport& report, TimePoint now);
  /// Another node gave a sign of life.
  void record_heartbeat(std::uint32_t node, TimePoint now);
  /// Forgets what no longer matters; call it several times a second.
  void tick(TimePoint now);

  /// @return whether any tenant has a limit, so that all nodes need to know what each admits.
  bool limits_any() const { return !limits_.empty(); }
  /// @return tenants with an account at this node.
  std::size_t accounts() const { return accounts_.size(); }

 private:
  /// One tenant's bucket as this node reckons it.
  struct Account {
    double tokens = 0;
    TimePoint filled_at{};
    DecayingCount own;  ///< Admitted here lately, as far as the others know: a sudden rise must not
                        ///< make each node take its own part for the largest.
    DecayingCount of_peers;  ///< Admitted by the others lately.
    std::uint32_t total = 0;
    std::deque<TimePoint> recent;  ///< When requests were admitted here.
    std::size_t unreported = 0;    ///< Of these, the newest, which the others do not know of yet.
    TimePoint changed_at{};        ///< Last change of `total`.
    double debt_credit = 0;        ///< Requests that it may admit while the bucket is in debt.
    double first_debt_credit = 0;  ///< Where `debt_credit` begins, below 1: differs by node, so
                                   ///< that they do not admit at once.
    double start_fraction_granted = 0;  ///< Of the tokens that all nodes together begin with.
  };
  /// What another node has told of a tenant before.
  struct ReportedSpend {
    std::uint32_t total = 0;
    TimePoint at{};
  };
  struct Peer {
    std::uint32_t run = 0;
    std::uint32_t number = 0;  ///< Of its newest report.
    TimePoint heard{};
    std::unordered_map<std::uint32_t, ReportedSpend> reported;  ///< By tenant.
  };

  Account& account_of(std::uint32_t tenant, const RateLimit& limit, TimePoint now);
  void fill(Account& account, const RateLimit& limit, TimePoint now) const;
  /// Lets the node admit a little less than its share of the rate while the bucket is in debt.
  void pace_debt(Account& account, const RateLimit& limit, double time, TimePoint now) const;
  /// Takes requests that another node has admitted out of a bucket; negative if it gave some back.
  void charge(Account& account, const RateLimit& limit, double requests, TimePoint now) const;
  /// @return most tokens in the bucket that this node shares with those it hears.
  double capacity(const RateLimit& limit) const;
  /// @return requests that this node may admit before the others know of them.
  double allowance(const Account& account, const RateLimit& limit, TimePoint now) const;
  /// @return this node's share of the tenant's requests lately; those of all nodes make one.
  double share_of(const Account& account, TimePoint now) const;
  /// Counts requests among `Account::own` that the others know of by now.
  void count_reported(Account& account, TimePoint now) const;
  /// @return whether the node has used its share.
  /// @param allowed as of `allowance`.
  bool exceeds_allowance(const Account& account, const RateLimit& limit, double allowed) const;
  /// @return requests in a window by which the limit may be exceeded.
  double tolerance(const RateLimit& limit) const;
  RateRefusal reason(const Account& account, TimePoint now) const;
  /// @return part of the limit that the nodes which hear each other share.
  double limit_fraction() const;
  void count_nodes(TimePoint now);
  /// Empties all buckets: while this process stood still, others have spent what it does not know
  /// of.
  void reset_after_pause(TimePoint now);
  void expire_recent(Account& account, TimePoint now) const;

  const Knobs& knobs_;
  const RateWindow window_;
  const std::uint32_t run_;
  TimePoint started_{};
  TimePoint buckets_empty_at_{};  ///< Buckets without an account were empty then.
  TimePoint last_tick_{};
  std::unordered_map<std::uint32_t, RateLimit> limits_;  ///< Of tenants that have one.
  std::unordered_map<std::uint32_t, Account> accounts_;
  std::unordered_map<std::uint32_t, Peer> peers_;
  bool others_expected_ = false;
  std::uint32_t reports_ = 0;
  std::size_t heard_ = 1;
  std::size_t known_ = 1;
  std::size_t reported_nodes_ = 0;  ///< By nodes that have run for longer, while this one starts.
};

}  // namespace dockpoint
