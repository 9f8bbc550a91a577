#pragma once

#include <map>
#include <string>
#include <vector>

#include "simulation/world.hpp"

namespace dockpoint::simulation {

/// A job as the reference sees it.
struct ReferenceJob {
  std::uint32_t items = 0;
  std::string file_id;
  bool cancelled = false;
  std::map<std::uint32_t, ItemCompleted> results;  ///< The first of each item.
};

/// The simple, obviously right version: one process with perfect memory that reads every record of
/// every stream from the start, in order. It knows no checkpoints, caches, indexes or messages.
struct Reference {
  std::map<std::string, ReferenceJob> jobs;
  std::vector<std::string> change_ids;  ///< Accepted changes, in order.
};

/// Builds the reference from the log.
Reference build_reference(World& world);

}  // namespace dockpoint::simulation
