#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace dockpoint {

/// A component that runs in its own thread until a stop is requested.
class Part {
 public:
  explicit Part(std::string name) : name_(std::move(name)) {}
  virtual ~Part() = default;
  Part(const Part&) = delete;
  Part& operator=(const Part&) = delete;

  /// Runs until `stop` is requested. Returning earlier or throwing counts as a failure.
  virtual void run(std::stop_token stop) = 0;

  const std::string& name() const { return name_; }

 private:
  const std::string name_;
};

/// Blocks until `stop` is requested or `time` has elapsed, whichever comes first.
void wait_until_stopped(std::stop_token stop,
                        std::chrono::milliseconds time = std::chrono::hours(24 * 365));

using PartPtr = std::shared_ptr<Part>;

/// Restart intensity: the supervisor gives up after more than `restarts` restarts within `window`.
struct RestartLimits {
  int restarts = 5;
  std::chrono::milliseconds window{30'000};
  std::chrono::milliseconds pause{100};  ///< Delay before a restart.
};

/// Thrown when a supervisor exceeds its restart limits; a parent supervisor handles it as a failure
/// of that child.
class SupervisorGaveUp : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Starts its parts in order, restarts only the part that failed (one-for-one), and stops all parts
/// in reverse start order. A supervisor is itself a part, so supervisors form a tree.
class Supervisor : public Part {
 public:
  Supervisor(std::string name, RestartLimits limits);

  /// Adds a part. Must not be called after `run`.
  void add(PartPtr part);

  void run(std::stop_token stop) override;

 private:
  struct Child {
    PartPtr part;
    std::jthread thread;
    bool failed = false;
  };

  void start(Child& child);
  void restart_failed();
  void stop_children();
  void count_restart(const std::string& failed_part);

  const RestartLimits limits_;
  std::vector<Child> children_;
  std::deque<std::chrono::steady_clock::time_point> restarts_;
  std::mutex mutex_;
  std::condition_variable_any changed_;
};

}  // namespace dockpoint
