#pragma once

#include <map>
#include <string>
#include <vector>

#include "simulation/world.hpp"

namespace dockpoint::simulation {

/// State of a job in the reference model.
struct ReferenceJob {
  std::uint32_t items = 0;
  std::string file_id;
  bool cancelled = false;
  std::map<std::uint32_t, ItemCompleted> results;  ///< First result recorded for each item.
};

/// Reference model for the checkers: the state obtained by reading every record of every stream in
/// order from the start, without checkpoints, caches, indexes or messages.
struct Reference {
  std::map<std::string, ReferenceJob> jobs;
  std::vector<std::string> change_ids;  ///< Accepted configuration changes, in order.
};

/// Builds the reference model from the log.
Reference build_reference(World& world);

}  // namespace dockpoint::simulation
