#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dockpoint/batch/reservation_table.hpp"
#include "dockpoint/core/decaying_count.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/life.hpp"
#include "dockpoint/log/keyed_watch.hpp"

/// Fleet-wide limit on the tokens of waiting batch items of a tenant on a route. Without tenants,
/// all clients together count as one tenant. All tenants of a route share a topic and its reads, so
/// the number of log calls of a node does not grow with the number of tenants.
///
/// There is no central counter. Each job has a reservation, a record in a compacted topic, and the
/// sum of the reservations counts against the limit. A node that accepts a job reads the topic to
/// its end and appends the reservation only if the topic still ends there (compare and set). All
/// decisions are thus serialized, no matter which nodes are alive. The job is written after its
/// reservation; the client gets its 202 once the log holds both.
///
/// Far below the limit, these two calls per job would be unnecessary. A node that has seen less
/// than half of the limit in use may therefore accept jobs up to its share of the other half, its
/// allotment, before it has to read again. Reservation and job are then written concurrently. An
/// allotment expires after `quota_allotment_time`. Decisions by compare and set do not use that
/// half of the limit until the reservations older than any allotment alone reach half of the limit.
///
/// Reservations shrink as items finish: the owner of a job's partition compares the topic with its
/// own state, a few times a second near the limit, and writes the differences. This also repairs
/// the effects of failures: reservations of jobs that never reached the log are removed, and jobs
/// without a reservation get one. A finished job keeps an empty reservation for some time, so that
/// a repeated submission is recognized. Temporary inaccuracies are on the safe side: a reservation
/// is never smaller than the job's waiting tokens, and accepted jobs always have one.
namespace dockpoint {

/// Request to reserve the tokens of a job.
struct QuotaRequest {
  std::string job;
  double tokens = 0;     ///< Tokens of all its items.
  TimePoint deadline{};  ///< Answered with `kUnavailable` if undecided by then.
  std::string tenant{};  ///< Tenant whose limit it counts against.
};

/// Decision on a request.
enum class QuotaVerdict {
  kReserved,     ///< The log holds the reservation.
  kOverLimit,    ///< The job exceeds the limit. Nothing was written.
  kUnavailable,  ///< The log did not answer in time.
};

struct QuotaAnswer {
  QuotaVerdict verdict = QuotaVerdict::kUnavailable;
  Duration fits_after{};  ///< With `kOverLimit`: estimated time until the job fits.
};

/// What the caller may do while the answer is pending.
enum class QuotaStart {
  kWait,     ///< The job must not be written yet.
  kProceed,  ///< The job may be written; it is accepted only once the answer is `kReserved`.
};

/// Current limit of a route and size of the fleet.
struct QuotaRoute {
  double limit = 0;       ///< Maximum waiting tokens per tenant.
  std::size_t nodes = 1;  ///< Number of nodes that may accept jobs.
};

/// State of the jobs in the partitions that this node owns.
class OwnedJobs {
 public:
  struct State {
    bool known = false;         ///< The job is in the log.
    double waiting_tokens = 0;  ///< Tokens of its unfinished items.
  };
  struct OpenJob {
    std::string id;
    std::string tenant;
    double waiting_tokens = 0;
  };
  virtual ~OwnedJobs() = default;
  /// @return the state of a job, or nothing if this node does not own its partition or has not
  /// loaded it.
  virtual std::optional<State> find(const std::string& job) const = 0;
  /// @return the open jobs of a route that this node owns, with their waiting tokens.
  virtual std::vector<OpenJob> open_jobs(const std::string& route) const = 0;
};

/// Enforces the limit of one route at one node; see the top of this file. Not thread-safe; reads no
/// clock; borrows log and jobs. Callbacks of pending requests are not called after its destruction.
class TokenQuota : private KeyedWatchObserver {
 public:
  using Done = std::function<void(QuotaAnswer)>;

  TokenQuota(const Knobs& knobs, PartitionedLog& log, TopicPartition partition, std::string route,
             const OwnedJobs& jobs, std::uint64_t seed);
  ~TokenQuota() override;

  /// Requests a reservation. `done` is called once, possibly before this returns.
  QuotaStart reserve(QuotaRequest request, Done done);

  /// Drives calls to the log; call several times a second.
  /// @param now_ms unix time in milliseconds.
  void tick(TimePoint now, std::int64_t now_ms, const QuotaRoute& route);

  /// @return the reserved tokens of a tenant, as of the last read.
  double waiting_tokens(const std::string& tenant = {}) const { return table_.tokens(tenant); }

 private:
  struct Pending {
    QuotaRequest request;
    Done done;
  };
  using PendingList = std::vector<Pending>;

  void on_snapshot(const std::vector<KeyedRecord>& records) override;
  void on_record(const KeyedRecord& record) override;
  void on_caught_up() override;
  void on_reachable(bool reachable, Duration silence) override;

  void record_job_size(double tokens);
  /// @return whether a node's allotment would be at least as large as the largest job seen; smaller
  /// limits are enforced by compare and set only.
  bool allotments_enabled() const;
  /// @return the limit for a tenant's reservations in decisions by compare and set, in tokens.
  double usable_limit(const std::string& tenant) const;
  void renew_allotments();
  /// @return the tokens that may still be reserved for a tenant without reading the topic.
  double allotment(const std::string& tenant) const;
  /// @return whether a reservation is recent enough to be used without rewriting it.
  bool is_recent(const TokenReservation& reservation) const;
  Duration time_to_free(const std::string& tenant, double tokens) const;

  /// Reads the topic to its end.
  void refresh();
  void decide();
  void append_reservations(PendingList taken);
  void write_allotted();
  Duration audit_interval() const;
  void audit();
  /// @return records that bring the reservations in line with the jobs that this node owns.
  std::vector<KeyedRecord> corrections() const;
  /// @return tombstones for reservations without a job and for those of jobs finished long ago.
  std::vector<KeyedRecord> removals() const;
  void expire();
  static void answer(PendingList pending, QuotaVerdict verdict);

  const Knobs& knobs_;
  PartitionedLog& log_;
  const TopicPartition partition_;
  const std::string route_name_;
  const OwnedJobs& jobs_;
  std::shared_ptr<Life> life_ = std::make_shared<Life>();

  ReservationTable table_;
  KeyedWatch watch_;
  QuotaRoute route_;
  TimePoint now_{};
  std::int64_t now_ms_ = 0;
  TimePoint started_{};
  TimePoint refreshed_{};      ///< Start time of the last completed refresh.
  TimePoint refresh_asked_{};  ///< Start time of the current refresh.
  std::map<std::string, DecayingCount>
      released_;            ///< Tokens by which reservations have shrunk, by tenant.
  double largest_job_ = 0;  ///< Largest job seen, in tokens.
  std::map<std::string, double>
      allotted_tokens_;           ///< By tenant: reserved from the allotment since the last read.
  TimePoint allotments_until_{};  ///< Expiry of the allotments; none are valid once it has passed.
  bool deciding_ = false;         ///< A compare and set is in flight.
  bool writing_ = false;          ///< Reservations from the allotment are being written.
  TimePoint retry_at_{};
  TimePoint next_audit_{};
  bool audit_due_ = false;
  PendingList waiting_;  ///< Requests awaiting a decision.
  PendingList
      allotted_;  ///< Requests granted from the allotment whose reservations are unconfirmed.
};

}  // namespace dockpoint
