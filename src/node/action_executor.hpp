#pragma once

#include "log/log_writer.hpp"
#include "node/batch_sender.hpp"
#include "node/control_loop.hpp"
#include "node/online_calls.hpp"
#include "node/partition_followers.hpp"
#include "supervisor/task_pool.hpp"
#include "transport/datagram_transport.hpp"

namespace dockpoint {

/// Executes the control thread's decisions by handing them to other threads. No call blocks.
class ActionExecutor : public NodeActions {
 public:
  /// The components that do the work. Not owned; all must outlive the executor.
  struct Parts {
    DatagramTransport& datagrams;
    OnlineCalls& online_calls;
    PartitionFollowers& followers;
    LogWriter& log_writer;
    BatchSender& batch_sender;
    TaskPool& tasks;
  };

  /// @param writer writer id, unique for each run of each node.
  ActionExecutor(const Parts& parts, const Knobs& knobs, std::uint64_t writer);

  /// Must be called before the control loop runs.
  void connect(ControlLoop& control) { control_ = &control; }

  void send(const std::string& address, const PeerMessage& message) override;
  void start_attempt(RequestNumber request, const EngineConfig& engine, int priority) override;
  void refuse(RequestNumber request, const Error& error) override;
  void follow(int partition) override;
  void unfollow(int partition) override;
  void append(int partition, const PartitionRecord& record) override;
  void write_checkpoint(int partition, Offset covers, std::string snapshot) override;
  void append_configuration(const ConfigurationChange& change) override;
  void fetch_configuration(const std::string& api_address) override;
  void poll_load(const std::string& engine, const std::string& address) override;
  void dispatch_item(const ItemDispatch& item) override;
  void cancel_item(int partition, const std::string& job, ItemIndex item) override;

 private:
  void fetch_configuration_now(const std::string& api_address);
  void poll_load_now(const std::string& engine, const std::string& address);

  const Parts parts_;
  const std::size_t checkpoint_chunk_bytes_;
  const std::uint64_t writer_;
  HttpSessionPool sessions_;
  ControlLoop* control_ = nullptr;
};

}  // namespace dockpoint
