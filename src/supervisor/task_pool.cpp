#include "supervisor/task_pool.hpp"

#include <spdlog/spdlog.h>

namespace dockpoint {

TaskPool::TaskPool(std::string name, int threads, std::size_t limit)
    : Part(std::move(name)), threads_(threads), limit_(limit) {}

bool TaskPool::submit(Task task) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (tasks_.size() >= limit_) {
    return false;
  }
  tasks_.push_back(std::move(task));
  submitted_.notify_one();
  return true;
}

void TaskPool::run(std::stop_token stop) {
  std::vector<std::jthread> workers;
  workers.reserve(static_cast<std::size_t>(threads_));
  for (int index = 0; index < threads_; ++index) {
    workers.emplace_back([this, stop] { process_tasks(stop); });
  }
}

void TaskPool::process_tasks(std::stop_token stop) {
  while (true) {
    Task task;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (!submitted_.wait(lock, stop, [this] { return !tasks_.empty(); })) {
        return;
      }
      if (stop.stop_requested()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    try {
      task();
    } catch (const std::exception& exception) {
      spdlog::error("supervisor: Task failed; pool={} reason={}", name(), exception.what());
    }
  }
}

std::size_t TaskPool::waiting() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return tasks_.size();
}

}  // namespace dockpoint
