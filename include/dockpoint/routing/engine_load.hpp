#pragma once

#include <cstdint>
#include <string>
#include "dockpoint/core/codec.hpp"

namespace dockpoint {

/// Load report of an engine. Reports arrive late; `sequence` orders the reports of one incarnation.
struct EngineLoad {
  std::uint64_t incarnation = 0;  ///< Changes when the engine restarts.
  std::uint64_t sequence = 0;
  std::uint32_t running_online = 0;
  std::uint32_t running_batch = 0;
  std::uint32_t waiting_online = 0;
  std::uint32_t waiting_batch = 0;
  bool leaving = false;  ///< The engine announces its shutdown.
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

/// Load report of one engine as forwarded by the node that polls it.
struct EngineDigest {
  std::uint32_t engine_key = 0;  ///< Hash of the engine's name, to keep digests short.
  EngineLoad load;
  DOCKPOINT_FIELDS(engine_key, load)
};

/// @return the key that identifies an engine in digests.
std::uint32_t engine_key(const std::string& name);

}  // namespace dockpoint
