#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dockpoint/membership/membership.hpp"
#include "dockpoint/routing/engine_table.hpp"

namespace dockpoint {

/// Who should own each partition and which engines this node is the steward of, by rendezvous
/// hashing over the live nodes. Every node computes the same from the same members, so nothing is
/// agreed on; while views differ, the log decides who owns a partition, and two stewards of one
/// engine cost a few polls. Not thread-safe; borrows both references.
class Placement {
 public:
  Placement(const Membership& membership, const EngineTable& engines);

  /// Computes anew if members, engines or partitions changed since the last call.
  /// @param revision of the configuration in force; 0: none yet.
  /// @param draining whether this node takes no partitions.
  void refresh(std::uint64_t revision, int partitions, bool draining);

  /// @return the node that should own the partition, or null if nobody can.
  const Member* preferred_owner(int partition) const;

  /// @return the engines that this node is the steward of.
  const std::vector<std::string>& stewarded_engines() const { return stewarded_engines_; }

 private:
  const Membership& membership_;
  const EngineTable& engines_;
  std::uint64_t membership_version_ = 0;
  std::uint64_t revision_ = 0;
  bool draining_ = false;
  std::vector<std::string> owners_;  ///< Node ids by partition; empty: nobody can.
  std::vector<std::string> stewarded_engines_;
};

}  // namespace dockpoint
