#pragma once

#include <cstdint>

#include "dockpoint/core/knobs.hpp"

/// Decides what becomes of the partial output of a batch item.
///
/// The output goes on only at replicas of the software version that produced it. If those have no
/// room while others do, the item waits, at most for as long as producing the output again takes.
/// Waiting and starting again then costs at most twice what the better of the two would have cost,
/// however long the replicas stay full.
namespace dockpoint {

/// Partial output and the replicas that could run its item now.
struct PartialOutput {
  std::uint64_t events = 0;      ///< Events that would be produced again.
  bool origin_known = false;     ///< It is known where the output was produced.
  bool origin_serves = false;    ///< Replicas of that service and software version serve.
  bool origin_has_room = false;  ///< One of them has a free slot for the item.
  bool other_has_room = false;   ///< A replica of any version has one.
  Duration waited{};             ///< Time for which only replicas of other versions had one.
};

enum class PartialOutputStep {
  kResume,   ///< Run the item after its last event, at a replica of the same version.
  kWait,     ///< Try again soon.
  kRestart,  ///< Discard the output and run the item from its start at any replica.
};

PartialOutputStep decide_partial_output(const PartialOutput& output, const Knobs& knobs);

}  // namespace dockpoint
