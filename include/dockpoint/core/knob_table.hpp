#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "dockpoint/core/knobs.hpp"

/// Names of the knobs that control how a gateway uses replicas. Experiments set them by name,
/// without a rebuild.
namespace dockpoint {

/// One knob by name. Durations are set in milliseconds.
struct KnobInfo {
  using Member = std::variant<double Knobs::*, int Knobs::*, Duration Knobs::*>;
  std::string_view name;
  Member member;
};

/// @return the knobs that an experiment may change.
const std::vector<KnobInfo>& knob_table();

/// Sets a knob; durations are given in milliseconds. @return false if no knob has this name.
bool set_knob(Knobs& knobs, std::string_view name, double value);

}  // namespace dockpoint
