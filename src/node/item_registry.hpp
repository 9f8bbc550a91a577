#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>

#include "dockpoint/batch/partition_controller.hpp"

namespace dockpoint {

/// The batch items that this node has taken on to send, from the order until the end. An item that
/// is cancelled while it waits for a thread is never sent. Thread-safe.
class ItemRegistry {
 public:
  /// A request under way at an engine.
  struct Sent {
    std::string engine_address;
    std::string request_id;
  };

  /// Notes an item that waits to be sent. @return false if it is noted already.
  bool add(const ItemDispatch& item);
  /// The item is about to be sent. @return false if it was cancelled while it waited; it must not
  /// be sent then.
  bool begin(const ItemDispatch& item, const Sent& sent);
  /// Forgets the item. @return whether it was cancelled meanwhile.
  bool finish(const ItemDispatch& item);
  /// @return what the engine has to be told to stop, or nothing.
  std::optional<Sent> cancel(int partition, const std::string& job, ItemIndex item);

 private:
  using Key = std::tuple<int, std::string, ItemIndex>;
  struct Entry {
    std::optional<Sent> sent;
    bool cancelled = false;
  };

  std::mutex mutex_;
  std::map<Key, Entry> entries_;
};

}  // namespace dockpoint
