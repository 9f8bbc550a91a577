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

/// A part of a process that runs in a thread of its own until it is told to stop.
class Part {
 public:
  explicit Part(std::string name) : name_(std::move(name)) {}
  virtual ~Part() = default;
  Part(const Part&) = delete;
  Part& operator=(const Part&) = delete;

  /// Runs until `stop` is requested. Returning earlier or throwing is a failure.
  virtual void run(std::stop_token stop) = 0;

  const std::string& name() const { return name_; }

 private:
  const std::string name_;
};

/// Waits until `stop` is requested, or until `time` has passed if that is sooner.
void wait_until_stopped(std::stop_token stop,
                        std::chrono::milliseconds time = std::chrono::hours(24 * 365));

using PartPtr = std::shared_ptr<Part>;

/// How often parts may fail before their supervisor gives up.
struct RestartLimits {
  int restarts = 5;
  std::chrono::milliseconds window{30'000};
  std::chrono::milliseconds pause{100};  ///< Before a part is started again.
};

/// A supervisor gave up, which its own supervisor takes as a failure.
class SupervisorGaveUp : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Starts parts in order, restarts each that fails alone, and stops them in reverse order, each
/// before the one it was started after. Supervisors nest: a supervisor is a part.
class Supervisor : public Part {
 public:
  Supervisor(std::string name, RestartLimits limits);

  /// Adds a part; only before `run`.
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
