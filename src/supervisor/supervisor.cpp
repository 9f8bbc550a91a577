#include "supervisor/supervisor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace dockpoint {

void wait_until_stopped(std::stop_token stop, std::chrono::milliseconds time) {
  std::mutex mutex;
  std::condition_variable_any never;
  std::unique_lock<std::mutex> lock(mutex);
  never.wait_for(lock, stop, time, [] { return false; });
}

Supervisor::Supervisor(std::string name, RestartLimits limits)
    : Part(std::move(name)), limits_(limits) {}

void Supervisor::add(PartPtr part) {
  children_.push_back(Child{std::move(part), {}, false});
}

void Supervisor::run(std::stop_token stop) {
  for (Child& child : children_) {
    start(child);
  }
  try {
    while (!stop.stop_requested()) {
      {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, stop, [this] {
          return std::any_of(children_.begin(), children_.end(),
                             [](const Child& child) { return child.failed; });
        });
      }
      if (!stop.stop_requested()) {
        restart_failed();
      }
    }
  } catch (const SupervisorGaveUp&) {
    stop_children();
    throw;
  }
  stop_children();
}

void Supervisor::start(Child& child) {
  child.thread = std::jthread([this, &child](std::stop_token stop) {
    std::string reason = "it ended";
    try {
      child.part->run(stop);
    } catch (const std::exception& exception) {
      reason = exception.what();
    }
    if (stop.stop_requested()) {
      return;
    }
    spdlog::error("supervisor: Part failed; part={} reason={}", child.part->name(), reason);
    const std::lock_guard<std::mutex> lock(mutex_);
    child.failed = true;
    changed_.notify_all();
  });
}

void Supervisor::restart_failed() {
  for (Child& child : children_) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!child.failed) {
        continue;
      }
      child.failed = false;
    }
    child.thread.join();
    count_restart(child.part->name());
    std::this_thread::sleep_for(limits_.pause);
    spdlog::warn("supervisor: Restarting part; part={}", child.part->name());
    start(child);
  }
}

void Supervisor::count_restart(const std::string& failed_part) {
  const auto now = std::chrono::steady_clock::now();
  restarts_.push_back(now);
  while (now - restarts_.front() > limits_.window) {
    restarts_.pop_front();
  }
  if (restarts_.size() > static_cast<std::size_t>(limits_.restarts)) {
    throw SupervisorGaveUp(name() + " gave up on " + failed_part);
  }
}

void Supervisor::stop_children() {
  for (auto child = children_.rbegin(); child != children_.rend(); ++child) {
    child->thread.request_stop();
    if (child->thread.joinable()) {
      child->thread.join();
    }
  }
}

}  // namespace dockpoint
