#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/admission/tenant_shares.hpp"
#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// A waiting request, identified by its number.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string tenant;
  double tokens = 0;  ///< Estimated cost.
  int weight = 1;     ///< Weight of the tenant.
  TimePoint deadline{};
};

/// Bounded queue, fair across tenants and first in, first out per tenant.
///
/// When the queue is full, a tenant whose own queue is shorter than the longest one by at least two
/// is still accepted: it displaces the newest request of the tenant with the longest queue, so one
/// tenant cannot starve the others.
class FairQueue {
 public:
  /// Result of `push`.
  struct PushResult {
    bool accepted = false;
    std::optional<std::uint64_t> displaced;  ///< Request removed to make room.
  };

  PushResult push(QueuedRequest request, std::size_t limit);

  /// Removes and returns the next request that `fits`. Tenants are tried in order of virtual time,
  /// each with its oldest request only.
  std::optional<QueuedRequest> pop(const std::function<bool(const QueuedRequest&)>& fits);

  /// Removes and returns all requests whose deadline has passed.
  std::vector<QueuedRequest> expire(TimePoint now);

  /// Removes one request, e.g. when its caller has disconnected.
  /// @return whether the request was queued.
  bool remove(std::uint64_t id);

  std::size_t size() const { return size_; }

  /// @return estimated number of requests served before a new one of `tenant`, assuming equal
  /// weights: one turn of every queued tenant for each request of `tenant`, including the new
  /// one, and no more than the size of the queue.
  std::size_t ahead_of(const std::string& tenant) const;

 private:
  std::string tenant_with_longest_queue() const;
  void remove_if_empty(const std::string& tenant);

  std::map<std::string, std::deque<QueuedRequest>> tenants_;
  TenantShares shares_;
  std::size_t size_ = 0;
};

}  // namespace dockpoint
