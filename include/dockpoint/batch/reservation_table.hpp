#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "dockpoint/log/partitioned_log.hpp"

/// Which jobs hold how much of the limit on waiting tokens that each tenant has on a route, as the
/// log has it.
namespace dockpoint {

/// What one job holds.
struct TokenReservation {
  double tokens = 0;             ///< Of items that are not finished; 0 once all are.
  std::int64_t reserved_ms = 0;  ///< Unix time of the last submission that relied on it.
  std::string tenant{};          ///< Whose limit it counts against; empty without tenants.
  friend bool operator==(const TokenReservation&, const TokenReservation&) = default;
};

/// @return the record of a job's reservation.
KeyedRecord reservation_record(const std::string& route, const std::string& job,
                               const TokenReservation& reservation);
/// @return a record that removes a job's reservation.
KeyedRecord reservation_removal(const std::string& route, const std::string& job);

/// The reservations of one route: a fold of records, free of I/O. Not thread-safe.
class ReservationTable {
 public:
  explicit ReservationTable(std::string route) : route_(std::move(route)) {}

  void clear();
  /// Takes a record; those of other routes are ignored.
  /// @return tokens by which the job's reservation has shrunk.
  double apply(const KeyedRecord& record);

  /// @return the reservation that a record is about, as it stands before the record is taken.
  std::optional<TokenReservation> find_record(const KeyedRecord& record) const;
  /// @return the reservation of a job, or nothing.
  std::optional<TokenReservation> find(const std::string& job) const;
  const std::map<std::string, TokenReservation>& all() const { return by_job_; }
  /// @return tokens of all reservations of a tenant.
  double tokens(const std::string& tenant) const;
  /// @return tokens of the tenant that has most.
  double most_tokens() const;
  /// @return tokens of a tenant's reservations made before a time.
  double tokens_reserved_before(const std::string& tenant, std::int64_t unix_ms) const;

 private:
  double replace(const std::string& job, const std::optional<TokenReservation>& reservation);

  void add_tokens(const std::string& tenant, double tokens);

  const std::string route_;
  std::map<std::string, TokenReservation> by_job_;
  std::map<std::string, double> tokens_by_tenant_;  ///< Tenants without any are left out.
};

}  // namespace dockpoint
