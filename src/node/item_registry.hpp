#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>

#include "dockpoint/batch/partition_controller.hpp"

namespace dockpoint {

/// Tracks the batch items that this node dispatches, from the dispatch until the outcome. An item
/// that is cancelled while it waits for a sender thread is never sent. Thread-safe.
class ItemRegistry {
 public:
  /// A request in flight at an engine.
  struct SentRequest {
    std::string engine_address;
    std::string request_id;
  };

  /// Registers an item that is queued for sending. @return false if it is already registered.
  bool add(const ItemDispatch& item);
  /// Marks the item as sent; call right before sending. @return false if it was cancelled while
  /// queued; it must not be sent then.
  bool mark_sent(const ItemDispatch& item, const SentRequest& sent);
  /// Removes the item. @return whether it was cancelled in the meantime.
  bool finish(const ItemDispatch& item);
  /// Marks the item as cancelled.
  /// @return the request to cancel at the engine, or nothing if none was sent.
  std::optional<SentRequest> cancel(int partition, const std::string& job, ItemIndex item);

 private:
  using Key = std::tuple<int, std::string, ItemIndex>;
  struct Entry {
    std::optional<SentRequest> sent;
    bool cancelled = false;
  };

  std::mutex mutex_;
  std::map<Key, Entry> entries_;
};

}  // namespace dockpoint
