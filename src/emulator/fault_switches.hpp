#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "dockpoint/core/error.hpp"

namespace dockpoint::emulator {

/// Named numbers that switch faults on and off while an emulator runs: `POST /admin/faults` with
/// an object from name to whole number. 0 means off. Thread-safe.
class FaultSwitches {
 public:
  explicit FaultSwitches(const std::vector<std::string>& names);

  /// Takes a JSON object; refuses unknown names.
  Result<void> update(const std::string& json);

  int value(const std::string& name) const;

  /// @return true with a probability of `value(name)` percent.
  bool strikes(const std::string& name);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> values_;
  std::uint64_t draws_ = 0;
};

}  // namespace dockpoint::emulator
