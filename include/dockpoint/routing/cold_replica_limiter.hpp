#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

/// Limits the request rate of the whole fleet to a cold replica.
///
/// Load pattern: a zone's replicas come back together, cold, while the others are full. All nodes
/// see empty replicas at the same moment, and a cold replica that gets much more than it can serve
/// collapses. The bound applies to the sum over all nodes in any second, and the burst is over
/// before the first digest reports it, so nodes cannot coordinate by counts. Therefore only a few
/// nodes, the senders, use a replica while it is cold, each with its share of the rate. Senders are
/// selected by rendezvous hashing over the members, so that all nodes agree without communication.
///
/// Dead members are included: a partitioned node considers all others dead, and would consider
/// itself the only sender of every replica. Members that have left are not included. A node that
/// expects others and knows none, as after its start, sends nothing to cold replicas. Views still
/// differ for a while, so rates are set such that twice the intended number of senders stay within
/// the bound.
///
/// An equal share of the rate for every node fails where nodes outnumber the rate: each node may
/// send at least one request, and 60 of them at once are three times the bound of a replica that
/// serves 11 a second.
namespace dockpoint {

/// Bound on the requests to a cold replica in any second, over all nodes: rate times `overage`,
/// plus `slack`.
struct ColdBound {
  double overage = 1;
  double slack = 0;  ///< Requests.
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class ColdReplicaLimiter {
 public:
  /// @param node member id of this node.
  ColdReplicaLimiter(const Knobs& knobs, const ColdBound& bound, std::string node)
      : knobs_(knobs), bound_(bound), node_(std::move(node)) {}

  /// Sets the requests a second that a cold replica of each service can serve; absent or 0: no
  /// limit.
  void set_rates(std::map<std::string, double> per_second) { rates_ = std::move(per_second); }
  /// @return whether any service has a rate; otherwise `set_members` need not be called.
  bool limits_any() const;
  /// Sets the ids of all members that have not left, including dead ones and this node.
  void set_members(std::vector<std::string> members);
  /// @param expected whether other nodes are configured.
  void expect_others(bool expected) { others_expected_ = expected; }

  /// @return whether this node may now send a request to a cold replica.
  bool admits(const std::string& service, std::uint32_t replica_key, TimePoint now) const;
  /// Counts a request sent to a cold replica.
  void sent(const std::string& service, std::uint32_t replica_key, TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled{};
  };

  double rate_of(const std::string& service) const;
  /// @return requests a second that one sender may send to a cold replica.
  double sender_rate(const std::string& service) const;
  bool is_sender(std::uint32_t replica_key) const;
  /// @return tokens in the bucket of the replica, one per request.
  double tokens(const std::string& service, std::uint32_t replica_key, TimePoint now) const;

  const Knobs& knobs_;
  const ColdBound bound_;
  const std::string node_;
  std::map<std::string, double> rates_;
  std::vector<std::string> members_;
  bool others_expected_ = false;
  std::unordered_map<std::uint32_t, Bucket>
      buckets_;  ///< By replica key; only replicas that got requests.
  mutable std::unordered_map<std::uint32_t, bool>
      sender_of_;  ///< Cache by replica key, cleared when members change.
};

}  // namespace dockpoint
