#include "dockpoint/batch/reservation_table.hpp"

#include <algorithm>
#include <cstdio>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/hash.hpp"

namespace dockpoint {
namespace {

struct ReservationWire {
  double tokens = 0;
  std::int64_t reserved_ms = 0;
  std::string tenant;  ///< Missing in records written before tenants were introduced.
  DOCKPOINT_FIELDS(tokens, reserved_ms, tenant)
};

/// @return the key prefix of a route. Routes may share a partition, so keys start with the route's
/// hash, which has a fixed length.
std::string key_prefix(const std::string& route) {
  constexpr std::size_t kHexDigits = 16;
  char digits[kHexDigits + 1];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(hash64(route)));
  return digits;
}

}  // namespace

KeyedRecord reservation_record(const std::string& route, const std::string& job,
                               const TokenReservation& reservation) {
  return {key_prefix(route) + job,
          pack(ReservationWire{reservation.tokens, reservation.reserved_ms, reservation.tenant}),
          0};
}

KeyedRecord reservation_removal(const std::string& route, const std::string& job) {
  return {key_prefix(route) + job, {}, 0};
}

void ReservationTable::clear() {
  by_job_.clear();
  tokens_by_tenant_.clear();
}

double ReservationTable::apply(const KeyedRecord& record) {
  const std::string prefix = key_prefix(route_);
  if (!record.key.starts_with(prefix)) {
    return 0;
  }
  const std::string job = record.key.substr(prefix.size());
  if (record.value.empty()) {
    return replace(job, std::nullopt);
  }
  const auto wire = unpack<ReservationWire>(record.value);
  if (!wire) {
    return 0;
  }
  return replace(job,
                 TokenReservation{std::max(0.0, wire->tokens), wire->reserved_ms, wire->tenant});
}

double ReservationTable::replace(const std::string& job,
                                 const std::optional<TokenReservation>& reservation) {
  const auto existing = find(job);
  if (existing) {
    add_tokens(existing->tenant, -existing->tokens);
  }
  if (reservation) {
    add_tokens(reservation->tenant, reservation->tokens);
    by_job_[job] = *reservation;
  } else {
    by_job_.erase(job);
  }
  return std::max(0.0, (existing ? existing->tokens : 0) - (reservation ? reservation->tokens : 0));
}

void ReservationTable::add_tokens(const std::string& tenant, double tokens) {
  const auto sum = tokens_by_tenant_.try_emplace(tenant, 0).first;
  sum->second += tokens;
  if (sum->second <= 0) {
    tokens_by_tenant_.erase(sum);
  }
}

double ReservationTable::tokens(const std::string& tenant) const {
  const auto sum = tokens_by_tenant_.find(tenant);
  return sum == tokens_by_tenant_.end() ? 0 : sum->second;
}

double ReservationTable::most_tokens() const {
  double most = 0;
  for (const auto& [tenant, tokens] : tokens_by_tenant_) {
    most = std::max(most, tokens);
  }
  return most;
}

std::optional<TokenReservation> ReservationTable::find_record(const KeyedRecord& record) const {
  const std::string prefix = key_prefix(route_);
  return record.key.starts_with(prefix) ? find(record.key.substr(prefix.size())) : std::nullopt;
}

std::optional<TokenReservation> ReservationTable::find(const std::string& job) const {
  const auto found = by_job_.find(job);
  return found == by_job_.end() ? std::nullopt : std::optional(found->second);
}

double ReservationTable::tokens_reserved_before(const std::string& tenant,
                                                std::int64_t unix_ms) const {
  double tokens = 0;
  for (const auto& [job, reservation] : by_job_) {
    const bool counts = reservation.tenant == tenant && reservation.reserved_ms < unix_ms;
    tokens += counts ? reservation.tokens : 0;
  }
  return tokens;
}

}  // namespace dockpoint
