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

  // Replicas, as the gateway sees them.
  int replica_ejection_failures = 3;  ///< Broken answers in a row that eject a replica.
  int missed_digests = 3;             ///< Then callers are not sent to a node any more.
  int maximum_sends_not_run = 4;      ///< Sends in a row that certainly did not run.
  int silence_objectives =
      3;  ///< A repeatable request moves on after so many objectives without a byte.
  Duration replica_ejection_time = 500ms;  ///< Doubled at every further ejection.
  Duration replica_ejection_time_limit = 8s;
  Duration failure_memory = 6s;  ///< A failure counts for a third after this time.
  double outlier_failures = 3;   ///< Failures of a replica, over all nodes, that matter,
  double outlier_factor = 4;     ///< if they are so many times the mean of the others.
  double outlier_share = 0.34;   ///< Of a service's replicas that may be left out for it.
  Duration own_pause = 400ms;    ///< A longer gap between two rounds, of 50 ms each, means that the
                                 ///< process stood still.
  Duration load_digest_lifetime = 1500ms;    ///< Without a sign of life a digest counts this long.
  Duration replica_digest_interval = 200ms;  ///< Between a node's digests.
  std::size_t relay_datagram_bytes = 2400;   ///< That a relay sends a node an interval: what 50
                                             ///< nodes with two requests each, and four with
                                             ///< 25 items each, have to tell.
  double prefill_tokens_per_ms = 60;         ///< Assumed speed at which a replica reads prompts.
  double announced_prefill_tokens = 3000;  ///< A longer prompt is told to the other nodes at once.
  double slot_pressure_ms = 10;            ///< Cost of a replica that is just full.
  std::size_t selection_draws = 3;         ///< Replicas drawn by load and compared for a request.
  double selection_margin_ms = 0.5;        ///< The first one drawn yields to one cheaper by this.
  double own_zone_preference = 3.0;   ///< How much likelier a replica of the own zone is drawn.
  double affinity_tokens = 1000;      ///< A replica that holds so much of a prompt is compared.
  double load_uncertainty = 1.0;      ///< Spread of the real load around the expected one.
  Duration load_view_delay = 150ms;   ///< Until a change of load is in a digest and here.
  Duration arrival_memory = 500ms;    ///< Over which a node's sends make its rate.
  double arrival_prior_requests = 1;  ///< Own requests that weigh as much as what digests tell of
                                      ///< the fleet's rate. More misses a burst that only the
                                      ///< nodes themselves see yet (replica_selector_test.cpp).
  std::size_t slot_share_nodes = 21;  ///< Smallest fleet whose nodes have slots of their own: in
                                      ///< one of `LoadRelay::kDirectNodes` digests are fresh.
  std::size_t slot_share_work = 400'000;  ///< Units times nodes beyond which nothing is dealt: a
                                          ///< deal would hold the event loop up.
  int slot_share_unit = 2;                ///< Slots of a replica that are dealt together.
  double remote_zone_ms = 3.0;            ///< Cost of a replica in another zone.
  double cold_replica_ms = 50;            ///< Cost of a replica that has just started.
  std::size_t cold_senders = 2;    ///< Nodes that use a replica while it is cold: one may be dead.
  double batch_fill = 0.9;         ///< Batch goes to replicas below this share of slots.
  Duration prefix_lifetime = 45s;  ///< A prompt is expected in a cache for this long.
  std::size_t prefix_entries = 4096;  ///< Prefixes remembered.
  std::size_t prefix_replicas = 4;    ///< Replicas remembered a prefix.
  double home_confidence = 0.9;       ///< Share of a prefix expected at its home.
  double second_home_confidence = 0.4;
  Duration replica_connect_timeout = 300ms;  ///< Then the request certainly has not run.
  Duration replica_connection_idle = 8s;     ///< Older kept connections are not used.
  Duration silence_minimum = 1s;             ///< objectives without a byte, and not before this.
  Duration retry_after_minimum = 300ms;      ///< Told to callers that are refused,
  Duration retry_after_spread = 700ms;  ///< spread by request so that they do not return at once.

  // Paces of replicas.
  int pace_memory_runs = 20;           ///< Runs over which the usual pace of a replica is learnt.
  int pace_least_runs = 6;             ///< Fewer say nothing.
  double pace_clear_factor = 1.2;      ///< A pace nearer to the middle is taken for the middle's.
  double pace_limit = 4;               ///< No replica is taken to be slower or faster than this.
  Duration pace_stated_fresh = 300ms;  ///< What a replica states of the moment holds this long,
  Duration pace_stated_fade = 600ms;   ///< and then gives way to the usual pace over this time.
  Duration pace_report_interval = 1s;  ///< Between a node's words on what it has learnt.
  std::size_t pace_entries = 8;        ///< Replicas told of at a time.
  Duration pace_word_lifetime = 15s;   ///< Another node's word counts this long,
  std::size_t pace_words = 5;          ///< and those of so many nodes are kept for a replica.
  Duration replica_full_time = 100ms;  ///< A replica that turned a request away without telling
                                       ///< its load is taken to be full for this long.

  // Overload of the replicas.
  double overload_objectives = 2;     ///< Refuse if the expected wait is so many objectives,
  double overload_whole_time = 0.97;  ///< and the caller has so much of its time left, as a share;
  double overload_return_earliest = 0.12;  ///< it may come back after so much of its time,
  double overload_return_latest = 0.32;    ///< or so much: callers wait no more than a third.

  Duration removal_grace = 2s;  ///< For records that lapsed while the log was away to come back.

  // Batch items.
  double batch_slot_share = 0.8;    ///< Of all slots, for the items of all nodes at most.
  double batch_urgent_share = 0.6;  ///< Of all slots, for urgent items whatever online does.
  double batch_least_items = 2;     ///< That a node with items runs in any case.
  double yield_request_load = 0.9;  ///< Of a replica's slots, expected to be taken, from which on
                                    ///< an item there gives its slot to an online request.
  double yield_trust = 1;           ///< Share of the items at a replica that are reckoned to give
                                    ///< way when an online request needs it.
  Duration yield_request_pause = 50ms;  ///< Until an item that gave way runs again.
  double batch_reserved_slots = 1;      ///< Of each engine, that patient items leave free.
  double batch_yield_tolerance = 1.2;   ///< Items run up to so many times what is allowed.
  double batch_urgent_time = 0.5;  ///< An item is urgent in the last part of its time, as a share.
  Duration batch_start_delay = 700ms;  ///< After a node's start, until it knows the others' load.
  Duration clock_error = 5s;           ///< The time of day may be wrong by so much at a node.
  Duration checkpoint_interval = 1s;   ///< Between writes of what unfinished items produced.
  Duration item_silence = 3s;          ///< A run without a byte for this long goes on elsewhere.
  Duration item_route_wait = 1s;       ///< Pause of an item whose route is not known.
  Duration item_quarantine_wait = 1s;  ///< Between checks of an item that crashes replicas.
  Duration submission_wait = 2500ms;   ///< A job is offered to the log for this long.
  Duration submission_forward_delay = 200ms;  ///< Without the log's word a job is passed on then;
                                              ///< objectives for accepting are 400 ms and more.
  int submission_forwards = 2;  ///< Nodes that a job is passed on to, one after the other.

  // The rate limits of tenants.
  Duration rate_report_delay = 600ms;  ///< Until the other nodes know what one has admitted: two
                                       ///< digest intervals, and one more where a relay was full.
  Duration rate_report_time = 800ms;   ///< A request is told in each digest for this long, so that
                                       ///< three lost datagrams in a row lose nothing.
  Duration rate_silence = 500ms;    ///< A node without a sign of life for so long shares no bucket:
                                    ///< more than two digests. Longer, nodes that are cut off
                                    ///< spend together with those that still count them.
  Duration rate_node_memory = 15s;  ///< A silent node may still admit its part for this long.
  Duration rate_start_time = 1s;    ///< After its start a node does not know the others yet, and
  std::size_t rate_start_nodes = 50;  ///< reckons with so many at least.
  int rate_shared = 1;  ///< 0: each node keeps to an even part by itself, without the others' word.

  // The limit on waiting tokens of a route.
  Duration quota_allotment_time = 2s;          ///< A node relies on what it read for this long.
  Duration quota_audit_interval = 3s;          ///< Between checks of reservations by owners,
  Duration quota_audit_interval_near = 300ms;  ///< and where more than this share is in use,
  double quota_near = 0.25;                    ///< of the limit.
  Duration quota_orphan_age = 15s;     ///< A reservation without a job is removed after this time:
                                       ///< `submission_wait`, and twice `clock_error`.
  Duration quota_recent = 4s;          ///< A repeated submission renews an older reservation.
  Duration quota_finished_age = 150s;  ///< An empty reservation is removed after this time; jobs
                                       ///< are looked at for 120 s.
  Duration quota_release_memory = 5s;  ///< Over which finished items make the rate of release.
  Duration quota_retry_earliest = 500ms;  ///< Least and most time that a caller is told to wait
  Duration quota_retry_latest = 10s;      ///< for room under the limit.

  // Requests that crash replicas.
  std::size_t crash_limit = 3;    ///< Replicas that ended under a request, and it is quarantined.
  bool crash_attribution = true;  ///< Ends of quarantined online requests spare items.
  Duration crash_memory = 10min;  ///< An end counts for this long.
  std::size_t crash_requests = 4096;       ///< Requests remembered,
  std::size_t crash_ends = 8;              ///< and ends of replicas a request.
  Duration crash_probe_timeout = 300ms;    ///< For connecting to a replica that may have ended,
  Duration crash_probe_interval = 300ms;   ///< between attempts,
  int crash_probe_attempts = 5;            ///< and how often that is tried without a clear result.
  std::size_t crash_witnesses = 8;         ///< Nodes that are told of each end, the same ones by
                                           ///< everybody: they add up what the others saw.
  int crash_report_rounds = 3;             ///< Times that a report is sent: datagrams get lost.
  Duration crash_report_interval = 300ms;  ///< Between these.
  Duration crash_gossip_interval = 1s;   ///< Between messages to members drawn at random, for nodes
                                         ///< that missed the reports,
  std::size_t crash_gossip_members = 2;  ///< so many each time,
  std::size_t crash_gossip_requests = 7;  ///< of so many requests.
  Duration crash_catch_up_time = 5s;  ///< After a start or a pause a node asks others for so long.

  // The platform's log.
  Duration freshness_bound = 2s;     ///< From a record's confirmation until all nodes act on it, as
                                     ///< the settings ask; see FreshnessBudget.
  Duration watch_pause = 200ms;      ///< After records the next read waits this long, so that many
                                     ///< records in a row come in few reads. A tenth of the 2 s
                                     ///< within which a drain or a configuration must be in force.
  Duration log_retry_delay = 150ms;  ///< After a failed write; doubled and spread at random.
  Duration log_retry_delay_limit = 1200ms;
  Duration log_hedge_delay = 120ms;  ///< A write without an answer is sent again after this time;
  int log_hedge_calls = 3;           ///< so many calls at most, each waits twice as long.
  Duration group_lease = 2000ms;     ///< A silent member loses its partitions after this time.
  Duration read_validity = 1000ms;   ///< After a renewal of the lease reads are answered this long.
  Duration handover_drain = 2500ms;  ///< Running items may end before a partition is released.
};

}  // namespace dockpoint
