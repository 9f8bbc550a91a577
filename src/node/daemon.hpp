#pragma once

#include <memory>

#include "http/api_server.hpp"
#include "log/http_log_client.hpp"
#include "node/action_executor.hpp"
#include "node/settings.hpp"

namespace dockpoint {

/// One node: creates and connects all parts and runs them under a supervisor tree:
///
///     dockpointd
///     ├── platform: log-writer, partition-followers, configuration-follower, machine-list
///     ├── control
///     ├── network: peer-datagrams, http
///     └── workers: tasks, batch-sender
class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  ~Daemon();

  /// Starts all parts on a background thread and returns without waiting for them.
  void start();

  /// Drains the node: accepts no new work, finishes work in progress, hands its partitions over and
  /// leaves the membership.
  /// @param give_up polled during the drain; aborts the wait when it returns true.
  /// @return number of requests and items that were aborted; 0 if the drain completed.
  int drain(const std::function<bool()>& give_up);

  /// Stops all parts in reverse order.
  void stop();

  /// @return whether an operator requested a drain or the supervisor tree gave up.
  bool drain_requested() const { return api_->drain_requested(); }
  bool failed() const { return failed_; }

 private:
  bool drained();

  const Settings settings_;
  const std::uint64_t run_;
  HttpLogClient log_;
  FileStore files_;
  OnlineCalls online_calls_;
  std::shared_ptr<LogWriter> log_writer_;
  std::shared_ptr<PartitionFollowers> followers_;
  std::shared_ptr<DatagramTransport> datagrams_;
  std::shared_ptr<TaskPool> tasks_;
  BatchSender batch_sender_;
  std::unique_ptr<ActionExecutor> executor_;
  std::shared_ptr<ControlLoop> control_;
  std::unique_ptr<Metrics> metrics_;
  std::shared_ptr<ApiServer> api_;
  std::shared_ptr<Supervisor> root_;
  std::jthread root_thread_;
  std::atomic<bool> failed_{false};
};

}  // namespace dockpoint
