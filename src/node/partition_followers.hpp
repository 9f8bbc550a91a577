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

/// Reads the streams of the followed partitions, one thread per partition, and passes the records
/// to the control thread. Each page is passed on only after the previous one was applied, which
/// bounds the memory used while a long history is replayed.
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
  /// @return the latest complete checkpoint, or nothing if there is none. Blocks on log I/O.
  std::optional<std::string> load_checkpoint(int partition, std::stop_token stop);

  LogClient& log_;
  ControlLoop* control_ = nullptr;
  std::mutex mutex_;
  std::condition_variable_any changed_;
  std::set<int> wanted_;
  std::map<int, std::jthread> threads_;  ///< Accessed only by `run`.
};

/// @return the latest complete checkpoint in `stream`, found by reading backwards from its end.
Result<std::optional<std::string>> read_newest_checkpoint(LogClient& log,
                                                          const std::string& stream);

}  // namespace dockpoint
