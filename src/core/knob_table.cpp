#include "dockpoint/core/knob_table.hpp"

#include <algorithm>
#include <cmath>

namespace dockpoint {
namespace {

void assign(double& knob, double value) {
  knob = value;
}

void assign(int& knob, double value) {
  knob = static_cast<int>(std::lround(value));
}

void assign(Duration& knob, double value) {
  knob = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

}  // namespace

const std::vector<KnobInfo>& knob_table() {
  static const std::vector<KnobInfo> table{
      {"arrival_prior_requests", &Knobs::arrival_prior_requests},
      {"batch_fill", &Knobs::batch_fill},
      {"batch_least_items", &Knobs::batch_least_items},
      {"batch_reserved_slots", &Knobs::batch_reserved_slots},
      {"batch_slot_share", &Knobs::batch_slot_share},
      {"batch_start_delay", &Knobs::batch_start_delay},
      {"batch_urgent_share", &Knobs::batch_urgent_share},
      {"batch_urgent_time", &Knobs::batch_urgent_time},
      {"batch_yield_tolerance", &Knobs::batch_yield_tolerance},
      {"checkpoint_interval", &Knobs::checkpoint_interval},
      {"home_confidence", &Knobs::home_confidence},
      {"load_uncertainty", &Knobs::load_uncertainty},
      {"load_view_delay", &Knobs::load_view_delay},
      {"log_hedge_calls", &Knobs::log_hedge_calls},
      {"outlier_failures", &Knobs::outlier_failures},
      {"overload_objectives", &Knobs::overload_objectives},
      {"own_zone_preference", &Knobs::own_zone_preference},
      {"quota_allotment_time", &Knobs::quota_allotment_time},
      {"rate_report_delay", &Knobs::rate_report_delay},
      {"rate_shared", &Knobs::rate_shared},
      {"removal_grace", &Knobs::removal_grace},
      {"second_home_confidence", &Knobs::second_home_confidence},
      {"submission_forward_delay", &Knobs::submission_forward_delay},
      {"submission_forwards", &Knobs::submission_forwards},
      {"watch_pause", &Knobs::watch_pause},
      {"yield_request_load", &Knobs::yield_request_load},
      {"yield_request_pause", &Knobs::yield_request_pause},
      {"yield_trust", &Knobs::yield_trust},
  };
  return table;
}

bool set_knob(Knobs& knobs, std::string_view name, double value) {
  const auto& table = knob_table();
  const auto found = std::find_if(table.begin(), table.end(),
                                  [&](const KnobInfo& info) { return info.name == name; });
  if (found == table.end()) {
    return false;
  }
  std::visit([&](auto member) { assign(knobs.*member, value); }, found->member);
  return true;
}

}  // namespace dockpoint
