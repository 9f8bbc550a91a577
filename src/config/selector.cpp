#include "dockpoint/config/selector.hpp"

#include <algorithm>
#include <charconv>

namespace dockpoint {
namespace {

std::optional<std::int64_t> parse_integer(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

bool holds(const LabelRequirement& requirement, const std::string& value) {
  if (!requirement.values.empty()) {
    return std::find(requirement.values.begin(), requirement.values.end(), value) !=
           requirement.values.end();
  }
  const std::optional<std::int64_t> number = parse_integer(value);
  if (!number) {
    return false;
  }
  return *number >= requirement.minimum.value_or(*number) &&
         *number <= requirement.maximum.value_or(*number);
}

LabelRequirement read_range(ObjectReader range, const std::string& label) {
  LabelRequirement requirement{label, {}, {}, {}};
  if (range.has("min")) {
    requirement.minimum = range.integer("min", {}, 0);
  }
  if (range.has("max")) {
    requirement.maximum = range.integer("max", {}, 0);
  }
  if (!requirement.minimum && !requirement.maximum) {
    range.report("min", "or max is required");
  }
  range.reject_unknown_keys();
  return requirement;
}

}  // namespace

Selector::Selector(std::vector<LabelRequirement> requirements)
    : requirements_(std::move(requirements)) {}

Selector Selector::read(ObjectReader reader) {
  std::vector<LabelRequirement> requirements;
  for (const std::string& label : reader.keys()) {
    if (reader.is_object(label)) {
      requirements.push_back(read_range(reader.object(label), label));
      continue;
    }
    LabelRequirement requirement{label, {}, {}, {}};
    if (reader.is_array(label)) {
      requirement.values = reader.texts(label);
    } else {
      requirement.values = {reader.text(label)};
    }
    if (requirement.values.empty()) {
      reader.report(label, "must allow at least one value");
    }
    requirements.push_back(std::move(requirement));
  }
  return Selector(std::move(requirements));
}

bool Selector::matches(const Labels& labels) const {
  return std::all_of(requirements_.begin(), requirements_.end(),
                     [&](const LabelRequirement& requirement) {
                       const auto label = labels.find(requirement.label);
                       return label != labels.end() && holds(requirement, label->second);
                     });
}

}  // namespace dockpoint
