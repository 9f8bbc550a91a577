#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "dockpoint/core/error.hpp"

namespace dockpoint::emulator {

/// Named integers that control fault injection in a running emulator: `POST /admin/faults` with
/// an object that maps names to integers. 0 disables a fault. Thread-safe.
class FaultSwitches {
 public:
  explicit FaultSwitches(const std::vector<std::string>& names);

  /// Applies a JSON object; rejects unknown names.
  Result<void> update(const std::string& json);

  int value(const std::string& name) const;

  /// @return true with a probability of `value(name)` percent.
  bool triggers(const std::string& name);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> values_;
  std::uint64_t draws_ = 0;
};

}  // namespace dockpoint::emulator
