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
  DOCKPOINT_FIELDS(tokens, reserved_ms)
};

/// Routes may share a partition: keys begin with the route's hash, which has a fixed length.
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
          pack(ReservationWire{reservation.tokens, reservation.reserved_ms}), 0};
}

KeyedRecord reservation_removal(const std::string& route, const std::string& job) {
  return {key_prefix(route) + job, {}, 0};
}

void ReservationTable::clear() {
  by_job_.clear();
  tokens_ = 0;
}

double ReservationTable::take(const KeyedRecord& record) {
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
  return replace(job, TokenReservation{std::max(0.0, wire->tokens), wire->reserved_ms});
}

double ReservationTable::replace(const std::string& job,
                                 const std::optional<TokenReservation>& reservation) {
  const auto held = find(job);
  const double before = held ? held->tokens : 0;
  const double after = reservation ? reservation->tokens : 0;
  tokens_ += after - before;
  if (reservation) {
    by_job_[job] = *reservation;
  } else {
    by_job_.erase(job);
  }
  return std::max(0.0, before - after);
}

std::optional<TokenReservation> ReservationTable::find(const std::string& job) const {
  const auto found = by_job_.find(job);
  return found == by_job_.end() ? std::nullopt : std::optional(found->second);
}

double ReservationTable::tokens_reserved_before(std::int64_t unix_ms) const {
  double tokens = 0;
  for (const auto& [job, reservation] : by_job_) {
    tokens += reservation.reserved_ms < unix_ms ? reservation.tokens : 0;
  }
  return tokens;
}

}  // namespace dockpoint
