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

/// The limit on the tokens of batch items that a tenant may have waiting on a route, over all
/// nodes. Without tenants all callers together are one. All tenants of a route share a topic and
/// its reads: a node makes no more calls for many of them than for one.
///
/// There is no central counter. Each job holds a reservation, a record in a compacted topic; their
/// sum is what counts against the limit. A node that takes a job reads the topic to its end and
/// appends the reservation only if the topic still ends there: so all nodes decide in one order,
/// whichever of them live. The job is written after its reservation; the caller gets its 202 when
/// the log holds both.
///
/// While the fleet is far below the limit this would cost two calls a job for nothing. So a node
/// that has seen less than half of the limit in use may take jobs up to its own part of the other
/// half, its allotment, before it has to read again: reservation and job are then written side by
/// side. Such an allotment ends after `quota_allotment_time`. Whoever decides by compare and set
/// leaves that half alone until the reservations older than any allotment make up half of the limit
/// by themselves.
///
/// Reservations shrink as items finish: the owner of a job's partition compares what the topic says
/// with what it knows, a few times a second when the limit is near, and writes the difference. That
/// also repairs whatever a failure has left: reservations of jobs that never reached the log are
/// removed, jobs without one get it. A finished job keeps an empty reservation for a while, so that
/// a submission that is repeated is recognized. Every mistake in between is on the safe side: a
/// reservation is never below what waits, and jobs that were accepted always have one.
namespace dockpoint {

/// A job that asks for its share of a limit.
struct QuotaRequest {
  std::string job;
  double tokens = 0;     ///< Of all its items.
  TimePoint deadline{};  ///< Then it is no use any more.
  std::string tenant{};  ///< Whose limit it counts against.
};

/// How a request ended.
enum class QuotaVerdict {
  kReserved,     ///< The log holds the reservation.
  kOverLimit,    ///< It does not fit. Nothing was written.
  kUnavailable,  ///< The log could not be asked in time.
};

struct QuotaAnswer {
  QuotaVerdict verdict = QuotaVerdict::kUnavailable;
  Duration fits_after{};  ///< If it is over the limit: when it is expected to fit.
};

/// What a request may do while its answer is awaited.
enum class QuotaStart {
  kWait,     ///< Nothing may be written of the job yet.
  kProceed,  ///< The job may be written; it is accepted only with the answer `kReserved`.
};

/// A route as the configuration in force has it, and the fleet around it.
struct QuotaRoute {
  double limit = 0;       ///< Most tokens of a tenant that may wait.
  std::size_t nodes = 1;  ///< That may take jobs.
};

/// What this node knows as an owner of partitions.
class OwnedJobs {
 public:
  struct State {
    bool known = false;         ///< The log has the job.
    double waiting_tokens = 0;  ///< Of its items that are not finished.
  };
  struct OpenJob {
    std::string id;
    std::string tenant;
    double waiting_tokens = 0;
  };
  virtual ~OwnedJobs() = default;
  /// @return the state of a job, or nothing if its partition is not this node's or not loaded.
  virtual std::optional<State> find(const std::string& job) const = 0;
  /// @return the open jobs of a route that this node owns, with the tokens that wait.
  virtual std::vector<OpenJob> open_jobs(const std::string& route) const = 0;
};

/// The limit of one route at one node; see the top of this file. Not thread-safe, free of clocks;
/// borrows log and jobs. Callbacks of requests under way are dropped when it is destroyed.
class TokenQuota : private KeyedWatchObserver {
 public:
  using Done = std::function<void(QuotaAnswer)>;

  TokenQuota(const Knobs& knobs, PartitionedLog& log, TopicPartition partition, std::string route,
             const OwnedJobs& jobs, std::uint64_t seed);
  ~TokenQuota() override;

  /// Takes a request; `done` is called once, perhaps before this returns.
  QuotaStart reserve(QuotaRequest request, Done done);

  /// Drives calls to the log; call several times a second.
  /// @param now_ms unix time.
  void tick(TimePoint now, std::int64_t now_ms, const QuotaRoute& route);

  /// @return tokens of a tenant that wait, as last read.
  double waiting_tokens(const std::string& tenant = {}) const { return table_.tokens(tenant); }

 private:
  struct Pending {
    QuotaRequest request;
    Done done;
  };
  using PendingList = std::vector<Pending>;

  void on_snapshot(const std::vector<KeyedRecord>& records) override;
  void on_record(const KeyedRecord& record) override;
  void on_current() override;
  void on_reachable(bool reachable, Duration silence) override;

  void record_job_size(double tokens);
  /// @return whether the limit is so wide that nodes may have allotments.
  bool allotments_enabled() const;
  /// @return tokens that a tenant's reservations by compare and set may come to.
  double usable_limit(const std::string& tenant) const;
  void renew_allotments();
  /// @return tokens of a tenant that may be taken without reading.
  double allotment(const std::string& tenant) const;
  /// @return whether a reservation can be relied upon without writing it again.
  bool is_recent(const TokenReservation& reservation) const;
  Duration time_to_free(const std::string& tenant, double tokens) const;

  /// Reads the topic to its end.
  void refresh();
  void decide();
  void append_reservations(PendingList taken);
  void write_allotted();
  Duration audit_interval() const;
  void audit();
  /// @return what differs between the reservations and the jobs that this node owns.
  std::vector<KeyedRecord> corrections() const;
  /// @return removals of reservations without a job, and of jobs finished long ago.
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
  TimePoint refreshed_{};      ///< When the last refresh that ended was asked for.
  TimePoint refresh_asked_{};  ///< When the one under way was.
  std::map<std::string, DecayingCount>
      released_;            ///< Tokens by which reservations have shrunk, by tenant.
  double largest_job_ = 0;  ///< In tokens, of all that were seen.
  std::map<std::string, double>
      allotted_tokens_;           ///< By tenant: taken without reading since the last read.
  TimePoint allotments_until_{};  ///< Without reading; in the past: nothing may be taken so.
  bool deciding_ = false;         ///< A compare and set is under way.
  bool writing_ = false;          ///< Reservations out of the allotment are being written.
  TimePoint retry_at_{};
  TimePoint next_audit_{};
  bool audit_due_ = false;
  PendingList waiting_;   ///< For a decision.
  PendingList allotted_;  ///< To be written, or being written.
};

}  // namespace dockpoint
