#pragma once

#include <string>

#include "files/file_store.hpp"
#include "http/http_session.hpp"
#include "node/control_loop.hpp"
#include "node/item_registry.hpp"
#include "supervisor/task_pool.hpp"

namespace dockpoint {

/// Sends batch items to engines from its own threads and reports the outcome of each item.
class BatchSender {
 public:
  /// @param threads number of threads, and thus of items in flight.
  BatchSender(FileStore& files, int threads);

  /// Must be called before the first `send`.
  void connect(ControlLoop& control) { control_ = &control; }

  void send(const ItemDispatch& item);

  /// Cancels an item: a queued item is never sent, an item in flight is cancelled at its engine.
  void cancel(int partition, const std::string& job, ItemIndex item);

  /// @return the part that runs the threads.
  const std::shared_ptr<TaskPool>& pool() const { return pool_; }

 private:
  ItemOutcome run(const ItemDispatch& item);
  ItemOutcome exchange_with_engine(const ItemDispatch& item, const BatchFileItem& batch_item,
                                   const std::string& request_id);

  FileStore& files_;
  ControlLoop* control_ = nullptr;
  HttpSessionPool sessions_;
  std::shared_ptr<TaskPool> pool_;
  ItemRegistry items_;
};

}  // namespace dockpoint
