#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/core/json_reader.hpp"

/// Labels of engines and the selectors that match them.
namespace dockpoint {

/// Labels of one engine, such as `generation`, `memory_gb` and `zone`.
using Labels = std::map<std::string, std::string>;

/// One condition on one label: the value is among `values`, or is a whole number within
/// [`minimum`, `maximum`].
struct LabelRequirement {
  std::string label;
  std::vector<std::string> values;
  std::optional<std::int64_t> minimum;
  std::optional<std::int64_t> maximum;
};

/// All requirements must hold. The empty selector matches every engine.
class Selector {
 public:
  Selector() = default;
  explicit Selector(std::vector<LabelRequirement> requirements);

  /// Reads a selector: an object from label to a string, an array of strings, or an object with
  /// `min` and `max`.
  static Selector read(ObjectReader reader);

  bool matches(const Labels& labels) const;

 private:
  std::vector<LabelRequirement> requirements_;
};

}  // namespace dockpoint
