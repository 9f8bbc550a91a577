#include "dockpoint/batch/partial_output.hpp"

namespace dockpoint {

PartialOutputStep decide_partial_output(const PartialOutput& output, const Knobs& knobs) {
  if (!output.origin_known || !output.origin_serves) {
    return PartialOutputStep::kRestart;
  }
  if (output.origin_has_room || !output.other_has_room) {
    return PartialOutputStep::kResume;
  }
  const Duration reproduction = knobs.item_event_time * static_cast<Duration::rep>(output.events);
  return output.waited < reproduction ? PartialOutputStep::kWait : PartialOutputStep::kRestart;
}

}  // namespace dockpoint
