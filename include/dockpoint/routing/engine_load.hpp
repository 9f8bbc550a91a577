#pragma once

#include <cstdint>
#include <string>
#include "dockpoint/core/codec.hpp"

namespace dockpoint {

/// What an engine reports of itself. Reports lag; `sequence` orders those of one incarnation.
struct EngineLoad {
  std::uint64_t incarnation = 0;  ///< Changes when the engine restarts.
  std::uint64_t sequence = 0;
  std::uint32_t running_online = 0;
  std::uint32_t running_batch = 0;
  std::uint32_t waiting_online = 0;
  std::uint32_t waiting_batch = 0;
  bool leaving = false;  ///< The engine announces that it will stop.
  DOCKPOINT_FIELDS(incarnation, sequence, running_online, running_batch, waiting_online,
                   waiting_batch, leaving)

  /// @return whether this report is newer than `other`.
  bool newer_than(const EngineLoad& other) const {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return sequence > other.sequence;
  }
};

/// The load of one engine, as its steward passes it on.
struct EngineDigest {
  std::uint32_t engine_key = 0;  ///< Hash of the engine's name, which would be longer.
  EngineLoad load;
  DOCKPOINT_FIELDS(engine_key, load)
};

/// @return the key of an engine in digests.
std::uint32_t engine_key(const std::string& name);

}  // namespace dockpoint
