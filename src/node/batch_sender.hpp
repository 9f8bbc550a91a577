#pragma once

#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include "files/file_store.hpp"
#include "http/http_session.hpp"
#include "node/control_loop.hpp"
#include "supervisor/task_pool.hpp"

namespace dockpoint {

/// Sends batch items to engines from its own threads and reports how each ended.
class BatchSender {
 public:
  /// @param threads items sent at once.
  BatchSender(FileStore& files, int threads);

  /// Must be called before the first `send`.
  void connect(ControlLoop& control) { control_ = &control; }

  void send(const ItemDispatch& item);

  /// Tells the engine to stop an item that is under way.
  void cancel(int partition, const std::string& job, ItemIndex item);

  /// @return the part that runs the threads.
  const std::shared_ptr<TaskPool>& pool() const { return pool_; }

 private:
  using Key = std::tuple<int, std::string, ItemIndex>;
  struct Running {
    std::string engine_address;
    std::string request_id;
    bool cancelled = false;
  };

  ItemOutcome run(const ItemDispatch& item);
  ItemOutcome exchange_with_engine(const ItemDispatch& item, const BatchItem& batch_item,
                                   const std::string& request_id);
  bool begin(const ItemDispatch& item, const std::string& request_id);
  /// @return whether the item was cancelled meanwhile.
  bool finish(const ItemDispatch& item);

  FileStore& files_;
  ControlLoop* control_ = nullptr;
  HttpSessionPool sessions_;
  std::shared_ptr<TaskPool> pool_;
  std::mutex mutex_;
  std::map<Key, Running> running_;
};

}  // namespace dockpoint
