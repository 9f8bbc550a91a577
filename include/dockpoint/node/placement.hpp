#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dockpoint/membership/membership.hpp"
#include "dockpoint/routing/engine_table.hpp"

namespace dockpoint {

/// Computes the preferred owner of each partition and the engines that this node stewards, by
/// rendezvous hashing over the live nodes. Nodes with the same membership view compute the same
/// placement, so no agreement protocol is needed. While views differ, the log decides who owns a
/// partition, and two stewards of one engine only cost a few extra polls. Not thread-safe; borrows
/// both references.
class Placement {
 public:
  Placement(const Membership& membership, const EngineTable& engines);

  /// Recomputes the placement if members, engines or partitions changed since the last call.
  /// @param revision revision of the active configuration; 0 if there is none yet.
  /// @param draining whether this node is excluded from partition ownership.
  void refresh(std::uint64_t revision, int partitions, bool draining);

  /// @return the preferred owner of the partition, or null if no node is eligible.
  const Member* preferred_owner(int partition) const;

  /// @return the engines that this node stewards.
  const std::vector<std::string>& stewarded_engines() const { return stewarded_engines_; }

 private:
  const Membership& membership_;
  const EngineTable& engines_;
  std::uint64_t membership_version_ = 0;
  std::uint64_t revision_ = 0;
  bool draining_ = false;
  std::vector<std::string> owners_;  ///< Node ids by partition; empty if no node is eligible.
  std::vector<std::string> stewarded_engines_;
};

}  // namespace dockpoint
