#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/batch/batch_dispatcher.hpp"
#include "dockpoint/batch/partition_controller.hpp"
#include "dockpoint/config/configuration_fold.hpp"
#include "dockpoint/membership/digest_relay.hpp"
#include "dockpoint/membership/membership.hpp"
#include "dockpoint/node/placement.hpp"
#include "dockpoint/routing/online_dispatcher.hpp"

/// Decision logic of one node, free of I/O, threads and clocks. It is run by the daemon's control
/// thread, the simulator and embedders.
///
/// Events arrive as calls that carry `now`; effects are requested through `NodeActions`. No call
/// blocks, so a single thread can own the state of a node.
namespace dockpoint {

/// Effects of a node's decisions. Implementations must neither block nor call the controller back.
class NodeActions : public PeerSender, public OnlineActions, public PartitionActions {
 public:
  /// Appends to the configuration stream, retrying until the log confirms.
  virtual void append_configuration(const ConfigurationChange& change) = 0;
  /// Requests a peer's active revision; the result arrives as `configuration_fetched`.
  virtual void fetch_configuration(const std::string& api_address) = 0;
  /// Requests an engine's load; a response arrives as `load_polled`.
  virtual void poll_load(const std::string& engine, const std::string& address) = 0;
  /// Sends a batch item; the outcome arrives as `item_ended`.
  virtual void dispatch_item(const ItemDispatch& item) = 0;
  /// Cancels a batch item at its engine; `item_ended` still follows.
  virtual void cancel_item(int partition, const std::string& job, ItemIndex item) = 0;
};

/// One entry of the platform's machine list.
struct MachineEntry {
  std::string address;  ///< Address of an engine, or a node's datagram address.
  bool is_node = false;
  bool leaving = false;
};

/// Called with the outcome of a proposed configuration change.
using ChangeConfirmation = std::function<void(const ChangeOutcome&)>;

/// Owner of a job's partition as this node reports it to requesters.
struct OwnerHint {
  bool is_self = false;
  std::string api_address;  ///< Empty if no owner is known.
};

/// Status of a followed partition, for operators.
struct PartitionStatus {
  int partition = 0;
  Epoch epoch = 0;
  std::string owner;      ///< Owner according to the applied records; empty if none.
  std::string preferred;  ///< Preferred owner by placement; empty if no node is eligible.
  bool owned_here = false;
  bool caught_up = false;  ///< The stream has been read to its tail.
  bool quiescent = false;  ///< Nothing in flight and every record confirmed.
  Offset next_offset = 0;
};

struct NodeOptions {
  Knobs knobs;
  Member self;                     ///< `incarnation` must be unique for each run.
  std::vector<std::string> seeds;  ///< Peer addresses to contact first.
  std::uint64_t random_seed = 0;
  int maximum_batch_in_flight = 64;  ///< Limit on batch items in flight from this node.
};

/// See the top of this file. Not thread-safe; borrows the actions.
class NodeController {
 public:
  NodeController(NodeOptions options, NodeActions& actions);

  /// Runs all time-driven work; call about every 50 ms.
  /// @param wall_clock time stored in records.
  void tick(TimePoint now, UnixSeconds wall_clock);

  // External events.
  void peer_message(const PeerMessage& message, TimePoint now);
  void configuration_read(Offset first, const std::vector<std::string>& records, TimePoint now);
  void configuration_fetched(const ConfigurationRevision& revision, TimePoint now);
  /// @param read_started time at which the list was requested.
  void machines_listed(const std::vector<MachineEntry>& machines, TimePoint read_started,
                       TimePoint now);
  void load_polled(const std::string& engine, const EngineLoad& load, TimePoint now);
  void log_reachability_changed(bool reachable) { membership_.set_log_reachable(reachable); }
  void checkpoint_loaded(int partition, const std::optional<std::string>& snapshot);
  void partition_read(int partition, Offset first, const std::vector<std::string>& records,
                      bool at_tail, TimePoint read_started, TimePoint now);
  /// @return the offset from which to continue reading the partition's stream.
  Offset next_offset(int partition) const;
  void item_ended(const ItemOutcome& outcome, TimePoint now, UnixSeconds wall_clock);

  // Requests of callers and operators.
  void submit_online(OnlineRequest request, TimePoint now);
  void online_attempt_ended(RequestNumber request, AttemptEnd end, TimePoint now);
  /// @return nothing if the record was submitted to the log, otherwise the error.
  std::optional<Error> accept_job(JobSpec job, TimePoint now, RecordConfirmation confirmation);
  std::optional<Error> cancel_job(const std::string& job, TimePoint now, UnixSeconds wall_clock,
                                  RecordConfirmation confirmation);
  std::optional<Error> record_online_attempt(const AttemptTicket& ticket, TimePoint now,
                                             RecordConfirmation confirmation);
  /// Releases the key of an attempt that is known not to have run.
  /// @return whether this node owns the key's partition and has recorded the withdrawal.
  bool withdraw_online_attempt(const AttemptTicket& ticket, TimePoint now);
  /// @return the job if this node has caught up with its partition, otherwise null.
  const JobState* find_job(const std::string& job) const;
  /// @return the tenant's jobs in the partitions owned by this node; jobs of all tenants if
  /// `tenant` is empty.
  std::vector<const JobState*> jobs_of(const std::string& tenant) const;
  void propose_configuration(ConfigurationChange change, ChangeConfirmation confirmation);
  OwnerHint owner_of(int partition) const;

  /// Stops accepting batch work and releases partitions; online requests run to completion.
  void begin_drain();
  /// @return whether no work is in flight and no partition is owned.
  bool drained() const;
  /// Announces to the other nodes that this node leaves.
  void leave() { membership_.leave(); }

  // Read access for the HTTP interface and metrics.
  const ConfigurationFold& configuration() const { return configuration_; }
  const EngineTable& engines() const { return engines_; }
  const Membership& membership() const { return membership_; }
  const OnlineDispatcher& online() const { return online_; }
  int owned_partitions() const;
  /// @return the partitions that this node follows.
  std::vector<PartitionStatus> partition_statuses() const;
  int batch_in_flight() const { return batch_.in_flight(); }
  bool draining() const { return draining_; }

 private:
  void configuration_changed(TimePoint now);
  /// Detects that the process was paused, which makes its state stale, in particular the list of
  /// leaving machines.
  void detect_pause(TimePoint now);
  /// @return whether batch dispatch is suspended after a pause of the process.
  bool dispatch_suspended(TimePoint now) const { return now < dispatch_suspended_until_; }
  void update_partitions(TimePoint now, UnixSeconds wall_clock);
  PartitionController::OwnershipView ownership_view(const PartitionController& partition,
                                                    TimePoint now) const;
  PartitionController* acting_partition(int partition, TimePoint now);
  void poll_engines(TimePoint now);
  void send_digests(TimePoint now);
  void dispatch_batch(TimePoint now, UnixSeconds wall_clock);
  void stop_cancelled_items();

  const NodeOptions options_;
  NodeActions& actions_;
  RecordIdSource record_ids_;
  Membership membership_;
  DigestRelay digest_relay_;
  ConfigurationFold configuration_;
  EngineTable engines_;
  Router router_;
  OnlineDispatcher online_;
  Partitions partitions_;
  BatchDispatcher batch_;
  Placement placement_;
  std::map<std::string, ChangeConfirmation> proposed_changes_;
  bool draining_ = false;
  std::optional<TimePoint> last_event_;
  TimePoint pause_detected_at_{};
  TimePoint dispatch_suspended_until_{};
  TimePoint next_load_poll_{};
  TimePoint next_digest_{};
  TimePoint next_fetch_{};
};

}  // namespace dockpoint
