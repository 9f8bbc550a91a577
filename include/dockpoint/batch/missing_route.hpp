#pragma once

#include "dockpoint/core/knobs.hpp"

/// Decides when a batch item whose route is missing is given up.
///
/// That a node finds no route for an accepted item does not show that the route was removed: the
/// node may hold an older configuration than the one under which the job was accepted. It does once
/// the log has confirmed, later than the item was found without a route, that this is the newest
/// configuration. An operator who replaces a route may publish its removal first, and a result that
/// was listed is final, so the removal must last for a while. Performs no I/O and reads no clock.
namespace dockpoint {

/// What a node knows of an item's missing route.
struct MissingRoute {
  TimePoint since{};  ///< When the node found the item without a route.
  /// When the log was last asked for a newer configuration and had none.
  TimePoint confirmed_at{};
};

/// @return whether the route counts as removed for good, so that the item may be given up.
bool removed_for_good(const MissingRoute& route, const Knobs& knobs);

}  // namespace dockpoint
