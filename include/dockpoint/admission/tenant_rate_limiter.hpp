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
#include "dockpoint/core/sliding_window_count.hpp"
#include "dockpoint/core/time.hpp"

/// Distributed rate limiting of tenants, without a central counter.
///
/// Load pattern: a tenant suddenly sends many times its usual traffic, to all nodes or to a few. It
/// must neither exceed its limit nor take the slots of other tenants. A tenant below its limit must
/// not be refused, however its requests are distributed over the nodes.
///
/// Every node keeps a token bucket for each active tenant, refilled at the tenant's rate. It
/// deducts the requests that it admits itself and those that the other nodes report in their load
/// digests. The buckets of all nodes therefore differ only by the requests admitted since the last
/// digests. Nodes can overspend by that amount; two bounds keep it small:
///
/// - Until its spending has been reported, a node admits at most its share of the tokens and of a
///   fraction of the window's tolerance, plus about the square root of that. The share is computed
///   from requests that have been reported already, so that the shares of all nodes add up to one
///   even while a burst begins.
/// - Once the bucket is empty, a node admits requests at its share of the rate, plus its share of
///   the tokens that the others leave unused. If the nodes have overspent before they noticed, they
///   pay off only what the window could not hold: the limit is enforced over windows, and a window
///   with room left needs no refusals. A node that cannot know the whole window, because it or part
///   of the fleet was out of touch within it, pays off every debt; while the debt is small, such
///   nodes together admit slightly less than the rate.
/// - A node that does not hear all others has only a fraction of the limit: nodes that hear each
///   other share `heard / known` of it. The partitions of a split fleet add up to the limit,
///   whatever each of them admits. The number of known nodes shrinks only while a majority is
///   heard.
///
/// A node that starts does not know what was spent before. Its buckets start with a fraction of the
/// tolerance instead of the burst, shared with the nodes that it hears, and it assumes a large
/// fleet until it knows how many other nodes there are. A restart of all nodes therefore grants no
/// second burst. A process that was suspended resumes with empty buckets.
namespace dockpoint {

/// Window over which the limits are enforced, and the tolerance within it.
struct RateWindow {
  Duration length = std::chrono::seconds(5);  ///< Length of the sliding window.
  double overage = 0;                         ///< Fraction by which the limit may be exceeded.
  double slack = 0;                           ///< Requests allowed in addition to `overage`.
};

/// @return the key that identifies a tenant in messages between nodes. With 11,000 tenants, two
/// collide in 1.4% of fleets; they then share one account and are limited more strictly.
std::uint32_t tenant_key(std::string_view name);

/// Requests of a tenant that one node has admitted.
struct TenantSpend {
  std::uint32_t tenant = 0;  ///< See `tenant_key`.
  std::uint32_t total = 0;   ///< Since the start of the process; wraps around.
  std::uint32_t recent = 0;  ///< Admitted within `Knobs::rate_report_time`.
  friend bool operator==(const TenantSpend&, const TenantSpend&) = default;
};

/// Report of one node's spending to the other nodes, sent in its load digest.
struct SpendReport {
  std::uint32_t run = 0;          ///< Identifies the run of the process.
  std::uint32_t number = 0;       ///< Sequence number within the run, from 1; wraps around.
  std::uint32_t known_nodes = 0;  ///< Assumed fleet size, including the sender.
  std::vector<TenantSpend> spends;
};

/// Why a request is refused.
enum class RateRefusal : std::uint8_t {
  kNone,
  kOverLimit,  ///< The shared bucket is empty.
  kNodeShare,  ///< This node has used its share, and its spending is not yet reported.
  kCutOff,     ///< Too few nodes are heard, so the node has only a fraction of the limit.
  kStarting,   ///< The node started or resumed recently, with (nearly) empty buckets.
};

/// @return the name of the reason in logs and metrics.
const char* to_string(RateRefusal refusal);

/// The decision on one request.
struct RateVerdict {
  bool admitted = true;
  Duration retry_after{};  ///< If refused: time until a token is available.
  double tokens = 0;       ///< In the bucket before the request; negative if nodes overspent.
  std::size_t heard = 1;   ///< Nodes that share the bucket, including this one.
  std::size_t known = 1;   ///< Nodes in the fleet, as assumed by this node.
  RateRefusal refusal = RateRefusal::kNone;
  double share = 0;  ///< Requests that the node may admit before they are reported.
};

/// See the file comment. Performs no I/O and reads no clock; not thread-safe.
class TenantRateLimiter {
 public:
  /// @param run identifies this run of the process.
  TenantRateLimiter(const Knobs& knobs, const RateWindow& window, std::uint32_t run);

  /// @param expected whether the settings name other nodes. If so, a node that has heard none since
  /// its start assumes that it is cut off from a large fleet, rather than alone.
  void expect_others(bool expected) { others_expected_ = expected; }

  /// Applies the limits of a configuration. Tenants without a limit are not tracked.
  void set_limits(const TenantDirectory& tenants);

  /// Decides on a request of a tenant and deducts a token if it is admitted.
  RateVerdict admit(const Tenant& tenant, TimePoint now);
  /// Returns the token of an admitted request that certainly has not run.
  void refund(const Tenant& tenant, TimePoint now);

  /// @return the next spend report to the other nodes.
  SpendReport report(TimePoint now);
  /// Deducts the requests that another node has admitted since its previous report. Duplicates and
  /// reordered reports are ignored.
  void merge_report(std::uint32_t node, const SpendReport& report, TimePoint now);
  /// Records that another node was heard.
  void record_heartbeat(std::uint32_t node, TimePoint now);
  /// Refills buckets, recounts nodes and drops expired state; to be called several times a second.
  void tick(TimePoint now);

  /// @return whether any tenant has a limit, so that nodes must report their spending.
  bool limits_any() const { return !limits_.empty(); }
  /// @return number of tenants with an account on this node.
  std::size_t accounts() const { return accounts_.size(); }

 private:
  /// This node's view of one tenant's bucket.
  struct Account {
    double tokens = 0;
    TimePoint filled_at{};
    DecayingCount own;  ///< Recently admitted here and reported. Unreported requests are excluded,
                        ///< or in a sudden burst every node would overestimate its own share.
    DecayingCount of_peers;        ///< Recently admitted by other nodes.
    std::uint32_t total = 0;       ///< Requests admitted here; wraps around.
    std::deque<TimePoint> recent;  ///< Times of recent admissions here.
    std::size_t unreported = 0;    ///< The newest of `recent`, not yet known to the other nodes.
    TimePoint changed_at{};        ///< Last change of `total`.
    SlidingWindowCount window;     ///< Admitted by all nodes within the window, as far as known.
    bool paced = false;            ///< The bucket ran empty: requests need `pace_credit`.
    double pace_credit = 0;        ///< Requests that may be admitted although the bucket is empty.
    double first_pace_credit = 0;  ///< Initial `pace_credit`, below 1. Differs by node, so that
                                   ///< nodes do not admit simultaneously.
    double start_fraction_granted = 0;  ///< Fraction of the fleet's start tokens granted here.
  };
  /// The last total that another node reported for a tenant.
  struct ReportedSpend {
    std::uint32_t total = 0;
    TimePoint at{};
  };
  struct Peer {
    std::uint32_t run = 0;
    std::uint32_t number = 0;  ///< Sequence number of its newest report.
    TimePoint heard{};
    std::unordered_map<std::uint32_t, ReportedSpend> reported;  ///< By tenant.
  };

  /// @return the tenant's account, refilled up to `now`; created if it does not exist.
  Account& account_of(std::uint32_t tenant, const RateLimit& limit, TimePoint now);
  /// Adds the tokens gained since the last refill.
  void fill(Account& account, const RateLimit& limit, TimePoint now) const;
  /// Accrues the credit that lets the node admit its share of the rate while the bucket is empty.
  /// @param time seconds since the last call.
  void update_pace(Account& account, const RateLimit& limit, double time, TimePoint now) const;
  /// The same for a node that does not know the whole window: it admits slightly less than its
  /// share of the rate while the bucket is in a small debt, and nothing in a larger one.
  void pace_debt(Account& account, const RateLimit& limit, double time, TimePoint now) const;
  /// Forgives the rest of a debt gradually.
  /// @param time seconds since the last call.
  void forgive_debt(Account& account, const RateLimit& limit, double time, TimePoint now) const;
  /// @return the part of a debt that must be paid off, since the window could exceed its bound.
  double debt_due(Account& account, const RateLimit& limit, TimePoint now) const;
  /// Caps the bucket at the requests that the window has room for. Otherwise, after a debt was
  /// forgiven, a second burst could overspend within the same window.
  void limit_to_window(Account& account, const RateLimit& limit, TimePoint now) const;
  /// @return whether this node has heard the same part of the fleet for a whole window.
  bool window_known(TimePoint now) const;
  /// Deducts requests that another node has admitted; `requests` is negative after refunds.
  void charge(Account& account, const RateLimit& limit, double requests, TimePoint now) const;
  /// @return maximum number of tokens in the bucket shared with the nodes that are heard.
  double capacity(const RateLimit& limit) const;
  /// @return requests that this node may admit before they are reported.
  double allowance(const Account& account, const RateLimit& limit, TimePoint now) const;
  /// @return this node's share of the tenant's recent requests; the shares of all nodes add up to
  /// one.
  double share_of(const Account& account, TimePoint now) const;
  /// Moves requests that the other nodes know by now from `unreported` to `Account::own`.
  void count_reported(Account& account, TimePoint now) const;
  /// @return whether one more request would exceed the node's share.
  /// @param allowed the result of `allowance`.
  bool exceeds_allowance(const Account& account, const RateLimit& limit, double allowed) const;
  /// @return requests that the limit allows within one window, without the tolerance.
  double allowed_in_window(const RateLimit& limit) const;
  /// @return requests by which the limit may be exceeded within one window.
  double tolerance(const RateLimit& limit) const;
  /// @return the cause of a refusal.
  RateRefusal reason(const Account& account, TimePoint now) const;
  /// @return fraction of the limit that this node shares with the nodes it hears.
  double limit_fraction() const;
  /// Recomputes `heard_` and `known_`.
  void count_nodes(TimePoint now);
  /// Empties all buckets after this process was suspended, since it has missed what other nodes
  /// spent meanwhile.
  void reset_after_pause(TimePoint now);
  /// Drops admissions older than `Knobs::rate_report_time` from `Account::recent`.
  void expire_recent(Account& account, TimePoint now) const;

  const Knobs& knobs_;
  const RateWindow window_;
  const std::uint32_t run_;
  TimePoint started_{};
  TimePoint buckets_empty_at_{};  ///< Time from which new buckets are refilled: start or resume.
  TimePoint last_tick_{};
  std::unordered_map<std::uint32_t, RateLimit> limits_;  ///< By tenant key.
  std::unordered_map<std::uint32_t, Account> accounts_;
  std::unordered_map<std::uint32_t, Peer> peers_;
  bool others_expected_ = false;
  std::uint32_t reports_ = 0;
  TimePoint window_known_since_{};    ///< Since when `window_limit_fraction_` has held.
  double window_limit_fraction_ = 0;  ///< `limit_fraction()` at that time.
  std::size_t heard_ = 1;             ///< Nodes heard recently, including this one.
  std::size_t known_ = 1;             ///< Assumed fleet size, including this node.
  std::size_t reported_nodes_ =
      0;  ///< Largest fleet size reported by a peer; used after the start.
};

}  // namespace dockpoint
