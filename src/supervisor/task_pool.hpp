#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "supervisor/supervisor.hpp"

namespace dockpoint {

/// Runs short blocking tasks on a fixed number of threads, with a bounded queue.
class TaskPool : public Part {
 public:
  using Task = std::function<void()>;

  /// @param limit maximum number of queued tasks; further tasks are rejected.
  TaskPool(std::string name, int threads, std::size_t limit);

  /// @return false if the queue is full; the task is then dropped.
  bool submit(Task task);

  /// Runs until `stop` is requested; tasks still queued then are dropped.
  void run(std::stop_token stop) override;

  std::size_t waiting() const;

 private:
  void process_tasks(std::stop_token stop);

  const int threads_;
  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::condition_variable_any submitted_;
  std::deque<Task> tasks_;
};

}  // namespace dockpoint
