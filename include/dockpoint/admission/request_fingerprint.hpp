#pragma once

#include <string_view>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

/// Hash of the parts of a request that do not change when a caller retries it, at any node. It
/// identifies attempts of the same request. Ids, deadlines and stream positions differ between
/// attempts and are excluded.
using RequestFingerprint = Hash128;

/// The parts of a request that are hashed into its fingerprint.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view tenant;  ///< Empty if the request belongs to no tenant.
  std::string_view body;
};

/// @return a hash that is the same on all nodes and in all versions for the same content.
RequestFingerprint fingerprint_of(const RequestContent& content);

}  // namespace dockpoint
