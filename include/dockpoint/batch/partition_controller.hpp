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

/// One node's part in one job partition: following its stream, claiming and giving up ownership,
/// and, as owner, sending its items and recording their ends.
///
/// Recovery. A node that should own a partition loads the newest checkpoint and reads the stream
/// from there to its tail. If the folded owner is gone it appends a claim that replaces the epoch
/// it saw; when it reads its own claim back as taken it is the owner. Items without a result are
/// then sent again, except those that must not be repeated and have a recorded attempt: their
/// former owner may still bring the result, and after `attempt_settle_time` they end as
/// `outcome_unknown`.
///
/// A paused owner. An owner acts only while its newest successful read of the tail began less than
/// `owner_lease` ago, measured by its own clock; after a pause it must read first, and then sees
/// the claim that replaced it. What it still sends within the lease is harmless by the rules of
/// the fold.
namespace dockpoint {

/// An item to send to an engine.
struct ItemDispatch {
  int partition = 0;
  std::string job;
  std::string input_file_id;
  std::string tenant;
  ItemIndex item = 0;
  Epoch epoch = 0;
  int attempt = 0;  ///< Counts from 1 for each owner.
  std::string endpoint;
  std::string engine;
  std::string engine_address;
};

/// How the sending of an item ended.
enum class ItemEnd {
  kAnswered,  ///< The engine answered; the answer is the result.
  kInvalid,   ///< The item cannot be read or sent; the error is the result.
  kNotSent,   ///< No connection could be made.
  kRefused,   ///< The engine answered that it did not run it.
  kUnknown,   ///< It was sent and the answer did not come.
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

/// @return the outcome of an item that ended in this way, without an answer.
ItemOutcome make_outcome(const ItemDispatch& item, ItemEnd end);

/// Effects on a partition's streams; must not block or call back.
class PartitionActions {
 public:
  virtual ~PartitionActions() = default;
  /// Loads the newest checkpoint, then reads the stream from there on, until `unfollow`.
  virtual void follow(int partition) = 0;
  virtual void unfollow(int partition) = 0;
  /// Appends the record, again and again until the log confirms. Keeps the order of calls.
  virtual void append(int partition, const PartitionRecord& record) = 0;
  virtual void write_checkpoint(int partition, Offset covers, std::string snapshot) = 0;
};

/// Numbers the records of one run of one node.
class RecordIdSource {
 public:
  explicit RecordIdSource(std::uint64_t writer) : writer_(writer) {}
  RecordId next() { return {writer_, ++number_}; }

 private:
  std::uint64_t writer_;
  std::uint64_t number_ = 0;
};

/// Told what became of a record that this node wrote.
using RecordConfirmation = std::function<void(RecordVerdict)>;

/// See the top of this file. Not thread-safe; borrows all references.
class PartitionController {
 public:
  /// Who this node is.
  struct Identity {
    std::string node;
    std::uint64_t run = 0;
  };

  /// What membership says about this partition.
  struct OwnershipView {
    bool preferred = false;          ///< This node should own it.
    bool preferred_settled = false;  ///< Whoever should own it has been alive for long enough.
    bool owner_alive = false;        ///< The folded owner is alive and can reach the log.
  };

  PartitionController(const Knobs& knobs, int partition, Identity identity,
                      RecordIdSource& record_ids, PartitionActions& actions);

  // Events of the stream.
  void checkpoint_loaded(const std::optional<std::string>& snapshot);
  /// @param first offset of the first record.
  /// @param at_tail whether there was no further record when the read was answered.
  /// @param read_started when the read was sent.
  void records_read(Offset first, const std::vector<std::string>& records, bool at_tail,
                    TimePoint read_started, TimePoint now);

  // Ownership.
  /// Claims, releases and settles as membership demands; call at least every 200 ms.
  void update_ownership(const OwnershipView& view, TimePoint now, UnixSeconds wall_clock);
  /// @return whether no item is under way and every result is confirmed.
  bool quiescent() const;
  /// @return whether this node owns the partition and its lease is fresh.
  bool may_send(TimePoint now) const;
  /// @return whether it may also take on new work, which it may not while it gives up ownership.
  bool may_act(TimePoint now) const { return may_send(now) && !releasing_; }
  bool owned() const;
  bool caught_up() const { return at_tail_; }
  /// @return whether the node can drop the partition without losing anything.
  bool idle() const { return !owned() && quiescent(); }

  // Callers' requests; only while `may_act`.
  void accept_job(JobSpec job, RecordConfirmation confirmation);
  void record_online_attempt(const AttemptTicket& ticket, RecordConfirmation confirmation);
  void withdraw_online_attempt(const AttemptTicket& ticket);
  /// May be called on any follower.
  void cancel_job(const std::string& job, UnixSeconds at, RecordConfirmation confirmation);

  // Items.
  /// @return the ids of jobs that may have items to send.
  std::vector<std::string> sendable_jobs() const;
  /// @return whether the job has an item to send now. While ownership is given up, only items whose
  /// attempt is already recorded are sent: nobody else may send them any more.
  bool has_ready_item(const std::string& job, TimePoint now);
  /// Takes the job's next item. An item that must not be repeated is returned only once its
  /// attempt is confirmed; until then this starts the recording and returns nothing.
  std::optional<ItemDispatch> take_item(const std::string& job, TimePoint now);
  void item_ended(const ItemOutcome& outcome, TimePoint now, UnixSeconds wall_clock);

  /// @return items under way of jobs that were cancelled, to be stopped on their engines.
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
  std::optional<TimePoint> tail_read_;  ///< Start of the newest read that reached the tail.
  bool releasing_ = false;
  bool claim_pending_ = false;
  std::optional<TimePoint> ownerless_since_;
  std::optional<TimePoint> owned_since_;
  Offset last_checkpoint_ = 0;
  std::map<RecordId, RecordConfirmation> unconfirmed_;
  std::map<std::string, ItemQueue> queues_;
  /// Items whose attempt record is confirmed and that may now be sent, once.
  std::map<std::string, std::vector<ItemIndex>> confirmed_attempts_;
};

}  // namespace dockpoint
