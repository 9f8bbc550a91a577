#pragma once

#include <memory>
#include <utility>

namespace dockpoint {

/// Liveness flag of an object that has pending callbacks. The owner and the callbacks share it; the
/// owner's destructor clears it, so that later callbacks do not touch the destroyed owner.
struct Life {
  bool alive = true;
};

/// Wraps handlers that borrow their owner, so that they are skipped once it is destroyed. A member
/// of the owner; single-threaded.
///
/// Closing a socket or cancelling a timer is not enough: an operation that is already complete has
/// its handler queued, and the event loop still runs it.
class HandlerGuard {
 public:
  HandlerGuard() = default;
  ~HandlerGuard() { life_->alive = false; }
  HandlerGuard(const HandlerGuard&) = delete;
  HandlerGuard& operator=(const HandlerGuard&) = delete;

  /// @return a handler that passes its arguments to `handler` while the owner exists.
  template <typename Handler>
  auto wrap(Handler handler) const {
    return [life = life_, handler = std::move(handler)](auto&&... arguments) mutable {
      if (life->alive) {
        handler(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<Life> life_ = std::make_shared<Life>();
};

}  // namespace dockpoint
