#pragma once

#include <cstddef>
#include <cstdint>

#include "dockpoint/core/mechanisms.hpp"
#include "dockpoint/core/time.hpp"

/// Tunables of the decision logic, in one place, with units. Operators do not set these; the
/// simulator varies them.
namespace dockpoint {

using namespace std::chrono_literals;

struct Knobs {
  Mechanisms mechanisms;

  // Membership.
  Duration probe_interval = 1s;          ///< One member is probed an interval.
  Duration probe_timeout = 300ms;        ///< Then the probe goes through helpers.
  int probe_helpers = 3;                 ///< Members asked to probe on our behalf.
  Duration suspicion_time = 3s;          ///< A suspect that does not refute by then is dead.
  Duration sync_interval = 20s;          ///< Full exchange with one random member.
  Duration dead_retention = 10min;       ///< How long a dead or left member is remembered.
  std::size_t updates_per_message = 24;  ///< Gossip piggybacked on a message.
  int update_retransmissions = 3;        ///< Times log2(members) that an update is passed on.
  std::size_t sync_members_per_message = 16;

  // Engines.
  Duration load_poll_interval = 250ms;         ///< Steward to engine.
  Duration load_digest_interval = 500ms;       ///< Shortest time between digests of an engine.
  double load_digest_bytes_per_second = 9000;  ///< That a node may receive; stretches the interval.
  Duration load_stale_after = 5s;              ///< Older reports are not believed.
  int ejection_failures = 3;                   ///< Failures in a row that eject an engine.
  Duration ejection_time = 5s;                 ///< Doubled at every further ejection.
  Duration ejection_time_limit = 60s;

  // Pauses of the whole process.
  Duration pause_threshold = 1500ms;  ///< A longer gap between events means that it was paused.
  Duration pause_hold = 1s;           ///< Longest wait for fresh news before sending again.

  // Online requests.
  int maximum_attempts = 3;
  double retry_budget_reserve = 5;     ///< Retries allowed before any success.
  double retry_budget_limit = 100;     ///< Most retries that successes can save up.
  double affinity_load_bound = 1.25;   ///< Over the mean load of the candidates.
  Duration initial_service_time = 1s;  ///< Estimate before the first completion.
  Duration minimum_retry_after = 1s;
  Duration maximum_retry_after = 30s;

  // Batch.
  Duration owner_lease = 3s;           ///< An owner that has not read its log tail acts no more.
  Duration claim_delay = 1s;           ///< Wait before claiming a partition that seems ownerless.
  Duration handover_delay = 3s;        ///< A preferred owner must be alive for this long.
  std::size_t attempts_ahead = 64;     ///< Attempts of one job recorded but not yet ended.
  Duration attempt_settle_time = 10s;  ///< Then an inherited attempt ends as outcome unknown.
  int maximum_item_attempts = 20;      ///< Then the item fails with the last error.
  Duration item_retry_delay = 500ms;   ///< Doubled an attempt, up to the limit below.
  Duration item_retry_delay_limit = 10s;
  std::uint64_t checkpoint_records = 20'000;  ///< Records between checkpoints of a partition.
  std::size_t checkpoint_chunk_bytes = 512 * 1024;
};

}  // namespace dockpoint
