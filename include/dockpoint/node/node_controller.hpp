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

/// All decisions of one node, without I/O, threads or clocks: what the daemon's control thread, the
/// simulator and embedders run.
///
/// Events come in as calls that carry `now`; effects go out through `NodeActions`. Nothing here
/// blocks, so one thread is enough for the state of one node.
namespace dockpoint {

/// Effects of a node's decisions; must not block or call back.
class NodeActions : public PeerSender, public OnlineActions, public PartitionActions {
 public:
  /// Appends to the configuration stream until the log confirms.
  virtual void append_configuration(const ConfigurationChange& change) = 0;
  /// Asks a peer for the revision in force there; ends in `configuration_fetched`.
  virtual void fetch_configuration(const std::string& api_address) = 0;
  /// Asks an engine for its load; ends in `load_polled` if it answers.
  virtual void poll_load(const std::string& engine, const std::string& address) = 0;
  /// Sends a batch item; ends in `item_ended`.
  virtual void dispatch_item(const ItemDispatch& item) = 0;
  /// Stops a batch item on its engine; `item_ended` still follows.
  virtual void cancel_item(int partition, const std::string& job, ItemIndex item) = 0;
};

/// One entry of the platform's machine list.
struct MachineEntry {
  std::string address;  ///< Of an engine, or of a node's datagrams.
  bool is_node = false;
  bool leaving = false;
};

/// Told what became of a proposed configuration.
using ChangeConfirmation = std::function<void(const ChangeOutcome&)>;

/// What the node says about a job's owner to those who ask here.
struct OwnerHint {
  bool is_self = false;
  std::string api_address;  ///< Empty: no owner is known now.
};

/// One partition that a node follows, for operators.
struct PartitionStatus {
  int partition = 0;
  Epoch epoch = 0;
  std::string owner;      ///< As folded; empty: none.
  std::string preferred;  ///< Who should own it; empty: nobody can.
  bool owned_here = false;
  bool caught_up = false;  ///< The stream was read to its tail.
  bool quiescent = false;  ///< Nothing under way, everything confirmed.
  Offset next_offset = 0;
};

struct NodeOptions {
  Knobs knobs;
  Member self;                     ///< `incarnation` must be unique for each run.
  std::vector<std::string> seeds;  ///< Peer addresses to contact first.
  std::uint64_t random_seed = 0;
  int maximum_batch_in_flight = 64;  ///< Items that this node sends at once.
};

/// See the top of this file. Not thread-safe; borrows the actions.
class NodeController {
 public:
  NodeController(NodeOptions options, NodeActions& actions);

  /// Drives everything that depends on time; call every 50 ms or so.
  /// @param wall_clock for times that are stored in records.
  void tick(TimePoint now, UnixSeconds wall_clock);

  // Events from outside.
  void peer_message(const PeerMessage& message, TimePoint now);
  void configuration_read(Offset first, const std::vector<std::string>& records, TimePoint now);
  void configuration_fetched(const ConfigurationRevision& revision, TimePoint now);
  /// @param read_started when the list was asked for.
  void machines_listed(const std::vector<MachineEntry>& machines, TimePoint read_started,
                       TimePoint now);
  void load_polled(const std::string& engine, const EngineLoad& load, TimePoint now);
  void log_reachability_changed(bool reachable) { membership_.set_log_reachable(reachable); }
  void checkpoint_loaded(int partition, const std::optional<std::string>& snapshot);
  void partition_read(int partition, Offset first, const std::vector<std::string>& records,
                      bool at_tail, TimePoint read_started, TimePoint now);
  /// @return the offset from which to read the partition's stream on.
  Offset next_offset(int partition) const;
  void item_ended(const ItemOutcome& outcome, TimePoint now, UnixSeconds wall_clock);

  // Callers' and operators' requests.
  void submit_online(OnlineRequest request, TimePoint now);
  void online_attempt_ended(RequestNumber request, AttemptEnd end, TimePoint now);
  /// @return nothing if the record is on its way to the log, or why it is not.
  std::optional<Error> accept_job(JobSpec job, TimePoint now, RecordConfirmation confirmation);
  std::optional<Error> cancel_job(const std::string& job, TimePoint now, UnixSeconds wall_clock,
                                  RecordConfirmation confirmation);
  std::optional<Error> record_online_attempt(const AttemptTicket& ticket, TimePoint now,
                                             RecordConfirmation confirmation);
  /// Frees the key of an attempt that certainly did not run.
  /// @return whether this node owns the key's partition and has written it down.
  bool withdraw_online_attempt(const AttemptTicket& ticket, TimePoint now);
  /// @return the job if this node follows its partition to the tail, or null.
  const JobState* find_job(const std::string& job) const;
  /// @return the tenant's jobs in the partitions that this node owns; all tenants' if empty.
  std::vector<const JobState*> jobs_of(const std::string& tenant) const;
  void propose_configuration(ConfigurationChange change, ChangeConfirmation confirmation);
  OwnerHint owner_of(int partition) const;

  /// Stops taking batch work and gives partitions up; online requests go on until they end.
  void begin_drain();
  /// @return whether nothing is under way and nothing is owned.
  bool drained() const;
  /// Tells the other nodes that this one leaves.
  void leave() { membership_.leave(); }

  // Views for the HTTP interface and metrics.
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
  /// Notices that the process was paused: what it knows is old, above all who is leaving.
  void notice_time(TimePoint now);
  bool held(TimePoint now) const { return now < held_until_; }
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
  TimePoint pause_noticed_{};
  TimePoint held_until_{};
  TimePoint next_load_poll_{};
  TimePoint next_digest_{};
  TimePoint next_fetch_{};
};

}  // namespace dockpoint
