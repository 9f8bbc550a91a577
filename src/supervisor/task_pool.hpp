#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "supervisor/supervisor.hpp"

namespace dockpoint {

/// A part that runs short blocking tasks on a fixed number of threads.
class TaskPool : public Part {
 public:
  using Task = std::function<void()>;

  /// @param limit tasks that may wait; more are refused.
  TaskPool(std::string name, int threads, std::size_t limit);

  /// @return false if too many tasks wait; then the task is dropped.
  bool submit(Task task);

  /// Ends when told to; tasks that still wait are dropped.
  void run(std::stop_token stop) override;

  std::size_t waiting() const;

 private:
  void work(std::stop_token stop);

  const int threads_;
  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::condition_variable_any submitted_;
  std::deque<Task> tasks_;
};

}  // namespace dockpoint
