#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

/// Holds the whole fleet to the rate that a cold replica carries.
///
/// Load pattern: a zone's replicas come back together, cold, while the others are full. Every node
/// sees empty replicas at the same moment, and a cold replica that gets much more than it carries
/// collapses. The bound is on the sum over all nodes in any second, and there is no time to count
/// together: the burst is over before the first digest tells of it. So few nodes, the senders, use
/// a replica while it is cold, each at its part of the rate. Senders follow from rendezvous hashing
/// of the members, so that all nodes agree on them without a word.
///
/// Members that are dead count: a node that is cut off takes all others for dead, and would take
/// itself for the only sender of every replica. Members that have left do not. A node that expects
/// others and knows none, as after its start, sends nothing to cold replicas. Views still differ
/// for a while, so twice as many senders as are meant stay within the bound.
///
/// An even part of the rate for every node fails where nodes outnumber it: a node may always send
/// one, and 60 of them at once are three times the bound of a replica that carries 11 a second.
namespace dockpoint {

/// What a cold replica may get in any second, over all nodes: rate times `overage`, plus `slack`.
struct ColdBound {
  double overage = 1;
  double slack = 0;  ///< Requests.
};

/// See the top of this file. Free of I/O and clocks; not thread-safe.
class ColdReplicaLimiter {
 public:
  /// @param node this one, by its member id.
  ColdReplicaLimiter(const Knobs& knobs, const ColdBound& bound, std::string node)
      : knobs_(knobs), bound_(bound), node_(std::move(node)) {}

  /// Requests a second that a cold replica of each service carries; absent or 0: no limit.
  void set_rates(std::map<std::string, double> per_second) { rates_ = std::move(per_second); }
  /// @return whether any service states a rate; otherwise members need not be told.
  bool limits_any() const;
  /// Ids of all members that have not left, dead ones and this node included.
  void set_members(std::vector<std::string> members);
  /// @param expected whether the settings name other nodes.
  void expect_others(bool expected) { others_expected_ = expected; }

  /// @return whether this node may send a request to a replica that is cold now.
  bool admits(const std::string& service, std::uint32_t replica_key, TimePoint now) const;
  /// A request was sent there.
  void sent(const std::string& service, std::uint32_t replica_key, TimePoint now);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled{};
  };

  double rate_of(const std::string& service) const;
  /// @return requests a second that one sender sends to a cold replica.
  double sender_rate(const std::string& service) const;
  bool is_sender(std::uint32_t replica_key) const;
  /// @return requests that may be sent at once.
  double tokens(const std::string& service, std::uint32_t replica_key, TimePoint now) const;

  const Knobs& knobs_;
  const ColdBound bound_;
  const std::string node_;
  std::map<std::string, double> rates_;
  std::vector<std::string> members_;
  bool others_expected_ = false;
  std::unordered_map<std::uint32_t, Bucket> buckets_;  ///< By replica, those sent to while cold.
  mutable std::unordered_map<std::uint32_t, bool>
      sender_of_;  ///< By replica, until members change.
};

}  // namespace dockpoint
