#pragma once

#include "simulation/sim_node.hpp"

/// Definitions shared by the source files of `SimNode`.
namespace dockpoint::simulation {

inline constexpr Duration kRetryPause{200'000};
inline constexpr Duration kConfirmationWait{3'000'000};

/// Error returned if no owner of a partition is known.
inline Error not_owner() {
  return Error{
      ResultCode::kNotOwner, "no owner is known", {}, RunState::kNotRun, std::chrono::seconds(1)};
}

/// Error returned if the log did not confirm a record in time.
inline Error unconfirmed(RunState run) {
  return Error{ResultCode::kPlatformUnavailable,
               "the log did not confirm in time",
               {},
               run,
               std::chrono::seconds(2)};
}

template <class Argument>
std::function<void(const Argument&)> SimNode::guard(
    std::type_identity_t<std::function<void(const Argument&)>> action) {
  return [this, generation = generation_, action = std::move(action)](const Argument& argument) {
    run(generation, [action, argument] { action(argument); });
  };
}

}  // namespace dockpoint::simulation
