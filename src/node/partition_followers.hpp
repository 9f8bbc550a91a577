#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "log/log_client.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {

/// Reads the streams of the partitions that this node follows, a thread each, and passes their
/// records to the control thread. A page is passed on only when the one before it was folded, so a
/// long history cannot pile up in memory.
class PartitionFollowers : public Part {
 public:
  explicit PartitionFollowers(LogClient& log) : Part("partition-followers"), log_(log) {}

  /// Must be called before `run`.
  void connect(ControlLoop& control) { control_ = &control; }

  void follow(int partition);
  void unfollow(int partition);

  void run(std::stop_token stop) override;

 private:
  void read_partition(int partition, std::stop_token stop);
  /// @return the newest whole checkpoint, or nothing if there is none; waits for the log.
  std::optional<std::string> load_checkpoint(int partition, std::stop_token stop);

  LogClient& log_;
  ControlLoop* control_ = nullptr;
  std::mutex mutex_;
  std::condition_variable_any changed_;
  std::set<int> wanted_;
  std::map<int, std::jthread> threads_;  ///< Touched by `run` alone.
};

/// @return the newest whole checkpoint in `stream`, read backwards from its end.
Result<std::optional<std::string>> read_newest_checkpoint(LogClient& log,
                                                          const std::string& stream);

}  // namespace dockpoint
