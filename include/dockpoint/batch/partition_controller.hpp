#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/batch/item_queue.hpp"
#include "dockpoint/batch/partition_state.hpp"
#include "dockpoint/core/error.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"

/// One node's role in one job partition: follows the stream, claims and releases ownership, and as
/// owner sends the items and records their results.
///
/// Recovery: the preferred owner of a partition loads the newest checkpoint and reads the stream
/// from there to its tail. If the folded owner is dead it appends a claim that replaces the current
/// epoch, and becomes the owner when it reads its own claim back as applied. It then resends items
/// without a result, except non-repeatable items with a recorded attempt: their former owner may
/// still deliver the result, and after `attempt_settle_time` they end as `outcome_unknown`.
///
/// Paused owners: an owner acts only while its newest successful read of the tail was started less
/// than `owner_lease` ago by its own clock. After a pause it must read first, and then sees the
/// claim that replaced it. Anything that it still sends within the lease is harmless because of
/// the fold's rules.
namespace dockpoint {

/// An item to send to an engine.
struct ItemDispatch {
  int partition = 0;
  std::string job;
  std::string input_file_id;
  std::string tenant;
  ItemIndex item = 0;
  Epoch epoch = 0;
  int attempt = 0;  ///< Starts at 1 for each owner.
  std::string endpoint;
  std::string engine;
  std::string engine_address;
};

/// How the dispatch of an item ended.
enum class ItemEnd {
  kAnswered,  ///< The engine answered; its answer is the result.
  kInvalid,   ///< The item is malformed or cannot be sent; the error is the result.
  kNotSent,   ///< No connection could be made.
  kRefused,   ///< The engine reported that it did not run the item.
  kUnknown,   ///< The item was sent but no answer arrived.
  kYielded,   ///< Cancelled by this node in favour of online work.
};

struct ItemOutcome {
  int partition = 0;
  std::string job;
  ItemIndex item = 0;
  std::string engine;
  ItemEnd end = ItemEnd::kUnknown;
  int attempt = 0;
  std::string custom_id;
  int status = 0;
  std::string body;
};

/// @return an outcome without an answer for an item that ended with `end`.
ItemOutcome make_outcome(const ItemDispatch& item, ItemEnd end);

/// Side effects on a partition's streams. Implementations must neither block nor call back
/// synchronously.
class PartitionActions {
 public:
  virtual ~PartitionActions() = default;
  /// Loads the newest checkpoint, then follows the stream from there until `unfollow`.
  virtual void follow(int partition) = 0;
  virtual void unfollow(int partition) = 0;
  /// Appends the record, retrying until the log confirms it. Preserves the order of calls.
  virtual void append(int partition, const PartitionRecord& record) = 0;
  virtual void write_checkpoint(int partition, Offset covers, std::string snapshot) = 0;
};

/// Generates the record ids of one node process.
class RecordIdSource {
 public:
  explicit RecordIdSource(std::uint64_t writer) : writer_(writer) {}
  RecordId next() { return {writer_, ++number_}; }

 private:
  std::uint64_t writer_;
  std::uint64_t number_ = 0;
};

/// Called with the verdict on a record that this node wrote, once the record was read back.
using RecordConfirmation = std::function<void(RecordVerdict)>;

/// See the top of this file. Not thread-safe; borrows all references.
class PartitionController {
 public:
  /// Identity of this node process.
  struct Identity {
    std::string node;
    std::uint64_t run = 0;
  };

  /// Membership's view of this partition's ownership.
  struct OwnershipView {
    bool preferred = false;          ///< This node is the preferred owner.
    bool preferred_settled = false;  ///< The preferred owner has been alive long enough.
    bool owner_alive = false;        ///< The folded owner is alive and can reach the log.
  };

  PartitionController(const Knobs& knobs, int partition, Identity identity,
                      RecordIdSource& record_ids, PartitionActions& actions);

  // Stream events.
  void checkpoint_loaded(const std::optional<std::string>& snapshot);
  /// @param first offset of the first record.
  /// @param at_tail whether the read reached the end of the stream.
  /// @param read_started time at which the read was sent.
  void records_read(Offset first, const std::vector<std::string>& records, bool at_tail,
                    TimePoint read_started, TimePoint now);

  // Ownership.
  /// Claims or releases the partition according to membership, and settles the recorded attempts of
  /// former owners. Call at least every 200 ms.
  void update_ownership(const OwnershipView& view, TimePoint now, UnixSeconds wall_clock);
  /// @return whether no item is in flight and every record of this node is confirmed.
  bool quiescent() const;
  /// @return whether this node owns the partition and its lease is valid.
  bool may_send(TimePoint now) const;
  /// @return whether this node may also accept new work; false while it releases the partition.
  bool may_act(TimePoint now) const { return may_send(now) && !releasing_; }
  bool owned() const;
  bool caught_up() const { return at_tail_; }
  /// @return whether the node can drop the partition without losing state.
  bool idle() const { return !owned() && quiescent(); }

  // Client requests, allowed only while `may_act` unless noted otherwise.
  void accept_job(JobSpec job, RecordConfirmation confirmation);
  void record_online_attempt(const AttemptTicket& ticket, RecordConfirmation confirmation);
  void withdraw_online_attempt(const AttemptTicket& ticket);
  /// Allowed on any follower.
  void cancel_job(const std::string& job, UnixSeconds at, RecordConfirmation confirmation);

  // Items.
  /// @return the ids of jobs that may have items to send.
  std::vector<std::string> sendable_jobs() const;
  /// @return whether the job has an item to send now. While the partition is being released, only
  /// items with a confirmed attempt record are sent, because no other owner may send those.
  bool has_ready_item(const std::string& job, TimePoint now);
  /// Takes the job's next item. A non-repeatable item is returned only after its attempt record is
  /// confirmed; until then this starts the recording and returns nothing.
  std::optional<ItemDispatch> take_item(const std::string& job, TimePoint now);
  void item_ended(const ItemOutcome& outcome, TimePoint now, UnixSeconds wall_clock);

  /// @return in-flight items of cancelled jobs, to be cancelled on their engines. Discards the
  /// queues of jobs that need no more items.
  std::vector<std::pair<std::string, ItemIndex>> take_cancelled_items();

  const PartitionState& state() const { return *state_; }
  int partition() const { return partition_; }

 private:
  void append(RecordBody body, RecordConfirmation confirmation = {});
  void claim();
  bool wants_items(const JobState& job) const;
  void settle_inherited_attempts(TimePoint now, UnixSeconds wall_clock);
  void start_attempt_record(const std::string& job, ItemIndex item);
  void record_result(const ItemOutcome& outcome, ResultCode code, UnixSeconds wall_clock);
  void maybe_checkpoint();
  ItemQueue& queue_of(const std::string& job);
  ItemDispatch make_dispatch(const JobState& job, ItemIndex item, int attempt) const;

  const Knobs& knobs_;
  const int partition_;
  const Identity identity_;
  RecordIdSource& record_ids_;
  PartitionActions& actions_;

  std::unique_ptr<PartitionState> state_;
  bool loaded_ = false;
  bool at_tail_ = false;
  std::optional<TimePoint> tail_read_;  ///< Start time of the newest read that reached the tail.
  bool releasing_ = false;
  bool claim_pending_ = false;
  std::optional<TimePoint> ownerless_since_;
  std::optional<TimePoint> owned_since_;
  Offset last_checkpoint_ = 0;
  std::map<RecordId, RecordConfirmation> unconfirmed_;
  std::map<std::string, ItemQueue> queues_;
  /// By job: items whose attempt record is confirmed and that may now be sent once.
  std::map<std::string, std::vector<ItemIndex>> confirmed_attempts_;
};

}  // namespace dockpoint
