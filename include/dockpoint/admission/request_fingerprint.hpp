#pragma once

#include <string_view>

#include "dockpoint/core/hash.hpp"

namespace dockpoint {

/// What stays the same when a caller sends a request again, at any node: it tells that two attempts
/// are one request. Ids, deadlines and the position in a stream differ between attempts and are
/// left out.
using RequestFingerprint = Hash128;

/// The parts of a request that make its fingerprint.
struct RequestContent {
  std::string_view method;
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view tenant;  ///< Empty: the request belongs to none.
  std::string_view body;
};

/// @return the same value for the same content, at all nodes and in all versions.
RequestFingerprint fingerprint_of(const RequestContent& content);

}  // namespace dockpoint
