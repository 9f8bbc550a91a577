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

/// A request that waits, by its number.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string tenant;
  double tokens = 0;  ///< Estimated work.
  int weight = 1;     ///< Of the tenant.
  TimePoint deadline{};
};

/// Bounded queue, fair across tenants and first in, first out within one.
///
/// When it is full, a tenant below its equal share of the queue still gets in: the newest request
/// of the tenant with the most waiting is pushed out, so a greedy tenant cannot shut others out.
class FairQueue {
 public:
  /// The outcome of `push`.
  struct PushResult {
    bool accepted = false;
    std::optional<std::uint64_t> displaced;  ///< Pushed out in favour of the new one.
  };

  PushResult push(QueuedRequest request, std::size_t limit);

  /// Takes out the next request that `fits`; tenants are asked in fair order, each for its oldest.
  std::optional<QueuedRequest> pop(const std::function<bool(const QueuedRequest&)>& fits);

  /// Takes out every request whose deadline has passed.
  std::vector<QueuedRequest> expire(TimePoint now);

  /// Takes out one request, such as one whose caller went away.
  bool remove(std::uint64_t id);

  std::size_t size() const { return size_; }

  /// @return how many requests would go before a new one of `tenant`, if all tenants weigh the
  /// same: never more than the tenants' turns until its own are through.
  std::size_t ahead_of(const std::string& tenant) const;

 private:
  std::string tenant_with_longest_queue() const;
  void remove_if_empty(const std::string& tenant);

  std::map<std::string, std::deque<QueuedRequest>> tenants_;
  TenantShares shares_;
  std::size_t size_ = 0;
};

}  // namespace dockpoint
