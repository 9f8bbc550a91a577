#pragma once

#include <functional>
#include <optional>
#include <string>

#include "dockpoint/core/time.hpp"
#include "gateway/record_protocol.hpp"

namespace dockpoint {

/// The end of a record request.
struct RecordReply {
  std::optional<RecordAnswer> answer;
  /// The other node refused the request, rather than giving no usable answer.
  bool refused = false;
};

/// Sends record requests to other nodes. Apart from its users, so that they run without a network.
class RecordTransport {
 public:
  virtual ~RecordTransport() = default;
  /// Sends a request. Never calls `done` from within this call, and calls it exactly once, within
  /// `limit`, unless the transport is destroyed before.
  /// @param address control address of the node to ask.
  virtual void ask(const std::string& address, const RecordQuestion& question, Duration limit,
                   std::function<void(RecordReply)> done) = 0;
};

}  // namespace dockpoint
