#pragma once

#include <string>
#include <string_view>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

/// Which replicas can resume a stream. The output of two software versions does not fit together,
/// so a stream that has begun continues only at a replica of its origin. Versions have no order.
struct StreamOrigin {
  std::string service;
  std::string software_version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
  /// @return whether nothing is known of the origin.
  bool unknown() const { return software_version.empty(); }
};

/// Identifies a stream across the attempts of its caller.
using StreamKey = Hash128;

/// @param tenant of the caller, so that no tenant can name a stream of another one.
/// @param first_attempt id of the caller's attempt that brought the first event.
inline StreamKey stream_key(std::string_view tenant, std::string_view first_attempt) {
  std::string text(tenant);
  text += '\n';
  text += first_attempt;
  return hash128(text);
}

}  // namespace dockpoint
