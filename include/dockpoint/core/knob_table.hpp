#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "dockpoint/core/knobs.hpp"

/// Names of the knobs that decide how a gateway uses replicas, so that an experiment can change
/// them without a build.
namespace dockpoint {

/// One knob by name. Durations are set in milliseconds.
struct KnobInfo {
  using Member = std::variant<double Knobs::*, int Knobs::*, Duration Knobs::*>;
  std::string_view name;
  Member member;
};

/// @return the knobs that an experiment may change.
const std::vector<KnobInfo>& knob_table();

/// Sets a knob; durations are given in milliseconds. @return false if there is none of this name.
bool set_knob(Knobs& knobs, std::string_view name, double value);

}  // namespace dockpoint
