#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dockpoint/log/partitioned_log.hpp"

/// Token reservations of batch jobs against each tenant's limit of waiting tokens on a route, as
/// recorded in the log.
namespace dockpoint {

/// The reservation of one job.
struct TokenReservation {
  double tokens = 0;             ///< Tokens of unfinished items; 0 once all are finished.
  std::int64_t reserved_ms = 0;  ///< Unix time of the last submission that used it.
  std::string tenant{};          ///< Tenant whose limit it counts against; empty without tenants.
  friend bool operator==(const TokenReservation&, const TokenReservation&) = default;
};

/// @return the record that stores a job's reservation.
KeyedRecord reservation_record(const std::string& route, const std::string& job,
                               const TokenReservation& reservation);
/// @return a tombstone that removes a job's reservation.
KeyedRecord reservation_removal(const std::string& route, const std::string& job);

/// Fold of one route's reservation records. Performs no I/O. Not thread-safe.
class ReservationTable {
 public:
  explicit ReservationTable(std::string route) : route_(std::move(route)) {}

  void clear();
  /// Applies a record; records of other routes are ignored.
  /// @return the number of tokens by which the job's reservation shrank.
  double apply(const KeyedRecord& record);

  /// @return the current reservation of the job that a record refers to, or nothing.
  std::optional<TokenReservation> find_record(const KeyedRecord& record) const;
  /// @return the reservation of a job, or nothing.
  std::optional<TokenReservation> find(const std::string& job) const;
  const std::map<std::string, TokenReservation>& all() const { return by_job_; }
  /// @return the sum of a tenant's reservations, in tokens.
  double tokens(const std::string& tenant) const;
  /// @return the largest sum of reservations of any tenant, in tokens.
  double most_tokens() const;
  /// @return the sum of a tenant's reservations with `reserved_ms` before `unix_ms`, in tokens.
  double tokens_reserved_before(const std::string& tenant, std::int64_t unix_ms) const;

 private:
  double replace(const std::string& job, const std::optional<TokenReservation>& reservation);

  void add_tokens(const std::string& tenant, double tokens);

  const std::string route_;
  std::map<std::string, TokenReservation> by_job_;
  std::map<std::string, double> tokens_by_tenant_;  ///< Only tenants with a positive sum.
};

}  // namespace dockpoint
