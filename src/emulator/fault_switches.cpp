#include "emulator/fault_switches.hpp"

#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"

namespace dockpoint::emulator {

FaultSwitches::FaultSwitches(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    values_[name] = 0;
  }
}

Result<void> FaultSwitches::update(const std::string& json) {
  constexpr std::int64_t kLargestValue = 3'600'000;
  BOOST_LEAF_AUTO(object, parse_json_object(json));
  Problems problems;
  ObjectReader reader(object, "", problems);
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, int> updated = values_;
  for (auto& [name, value] : updated) {
    value = static_cast<int>(reader.integer(name, {0, kLargestValue}, value));
  }
  reader.reject_unknown_keys();
  if (!problems.empty()) {
    return fail(ResultCode::kInvalidField, summarize(problems), problems.front().place);
  }
  values_ = std::move(updated);
  return {};
}

int FaultSwitches::value(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return values_.at(name);
}

bool FaultSwitches::triggers(const std::string& name) {
  constexpr std::uint64_t kPercent = 100;
  const std::lock_guard<std::mutex> lock(mutex_);
  return hash64(name, ++draws_) % kPercent < static_cast<std::uint64_t>(values_.at(name));
}

}  // namespace dockpoint::emulator
