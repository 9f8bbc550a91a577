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
  /// Interval between probes; each probes one member.
  Duration probe_interval = 1s;
  /// Time after which an unanswered probe is repeated through helpers.
  Duration probe_timeout = 300ms;
  /// Members asked to probe on behalf of this node.
  int probe_helpers = 3;
  /// A suspected member that does not refute within this time is declared dead.
  Duration suspicion_time = 3s;
  /// Interval between full state exchanges with one random member.
  Duration sync_interval = 20s;
  /// How long a dead or departed member is remembered.
  Duration dead_retention = 10min;
  /// Time for which a departed member is told of other departures: it still answers callers.
  Duration departed_notice_time = 30s;
  /// Maximum gossip updates piggybacked on one message.
  std::size_t updates_per_message = 24;
  /// An update is retransmitted this many times log2(members).
  int update_retransmissions = 3;
  /// Maximum members in one message of a full exchange.
  std::size_t sync_members_per_message = 16;

  // Engines.
  /// Interval at which a steward polls the load of an engine.
  Duration load_poll_interval = 250ms;
  /// Minimum interval between load digests of an engine.
  Duration load_digest_interval = 500ms;
  /// Digest bytes per second that a node may receive; the digest interval is stretched to stay
  /// within it.
  double load_digest_bytes_per_second = 9000;
  /// Load reports older than this are ignored.
  Duration load_stale_after = 5s;
  /// Consecutive failures that eject an engine.
  int ejection_failures = 3;
  /// Duration of the first ejection; doubled at each further ejection.
  Duration ejection_time = 5s;
  /// Upper limit of `ejection_time` after doubling.
  Duration ejection_time_limit = 60s;

  // Pauses of the whole process.
  /// A longer gap between events means that the process was paused.
  Duration pause_threshold = 1500ms;
  /// Maximum wait for current reports after a pause before sending resumes.
  Duration pause_hold = 1s;

  // Online requests.
  /// Maximum attempts of one online request.
  int maximum_attempts = 3;
  /// Retries allowed before the first success.
  double retry_budget_reserve = 5;
  /// Maximum retries that successes can accumulate.
  double retry_budget_limit = 100;
  /// Load limit for affinity, as a multiple of the candidates' mean load.
  double affinity_load_bound = 1.25;
  /// Service time estimate before the first completion.
  Duration initial_service_time = 1s;
  /// Minimum retry delay given to callers.
  Duration minimum_retry_after = 1s;
  /// Maximum retry delay given to callers.
  Duration maximum_retry_after = 30s;

  // Batch.
  /// An owner that has not read its log tail for this long stops acting as owner.
  Duration owner_lease = 3s;
  /// Wait before claiming a partition that appears to have no owner.
  Duration claim_delay = 1s;
  /// A preferred owner must have been alive this long before a handover.
  Duration handover_delay = 3s;
  /// Maximum attempts of one job that are recorded but not yet ended.
  std::size_t attempts_ahead = 64;
  /// An inherited attempt ends as outcome unknown after this time.
  Duration attempt_settle_time = 10s;
  /// Attempts after which an item fails with its last error.
  int maximum_item_attempts = 20;
  /// Delay before the first retry of an item; doubled per attempt up to `item_retry_delay_limit`.
  Duration item_retry_delay = 500ms;
  /// Upper limit of `item_retry_delay` after doubling.
  Duration item_retry_delay_limit = 10s;
  /// Records between checkpoints of a partition.
  std::uint64_t checkpoint_records = 20'000;
  /// Maximum bytes of one chunk of a checkpoint.
  std::size_t checkpoint_chunk_bytes = 512 * 1024;

  // Replicas, as the gateway sees them.
  /// Consecutive broken answers that eject a replica.
  int replica_ejection_failures = 3;
  /// Missed digests after which no more callers are sent to a node.
  int missed_digests = 3;
  /// Maximum consecutive sends that certainly did not run.
  int maximum_sends_not_run = 4;
  /// Maximum sends of one request to replicas whose process had ended.
  int maximum_sends_to_gone_replicas = 16;
  /// A repeatable request moves to another replica after this many objectives without a byte; see
  /// `silence_minimum`.
  int silence_objectives = 3;
  /// Duration of the first ejection of a replica; doubled at each further ejection.
  Duration replica_ejection_time = 500ms;
  /// Upper limit of `replica_ejection_time` after doubling.
  Duration replica_ejection_time_limit = 8s;
  /// Decay time of failures: after it a failure counts for one third.
  Duration failure_memory = 6s;
  /// Minimum failures of a replica, summed over all nodes, for outlier detection.
  double outlier_failures = 3;
  /// A replica is an outlier if its failures are this many times the mean of the others.
  double outlier_factor = 4;
  /// Maximum share of a service's replicas that outlier detection may exclude.
  double outlier_share = 0.34;
  /// A longer gap between two rounds, which are 50 ms apart, means that the process was paused.
  Duration round_gap_limit = 400ms;
  /// How long a digest counts without a sign of life from its sender.
  Duration load_digest_lifetime = 1500ms;
  /// Interval between the digests of a node.
  Duration replica_digest_interval = 200ms;
  /// Maximum bytes that a relay sends to a node per interval: enough for the digests of 50 nodes
  /// with two requests each and four nodes with 25 items each.
  std::size_t relay_datagram_bytes = 2400;
  /// Assumed prompt processing speed of a replica, in tokens per millisecond.
  double prefill_tokens_per_ms = 60;
  /// A prompt of more tokens is announced to the other nodes immediately.
  double announced_prefill_tokens = 3000;
  /// Cost, in milliseconds, of a replica that is exactly full.
  double slot_pressure_ms = 10;
  /// Replicas drawn by load and compared for one request.
  std::size_t selection_draws = 3;
  /// The first drawn replica yields to another that is cheaper by this many milliseconds.
  double selection_margin_ms = 0.5;
  /// Factor by which a replica in the node's own zone is more likely to be drawn.
  double own_zone_preference = 3.0;
  /// A replica that caches this many tokens of a prompt joins the comparison.
  double affinity_tokens = 1000;
  /// Spread of the actual load around the expected load.
  double load_uncertainty = 1.0;
  /// Time until a load change is in a digest and has reached this node.
  Duration load_view_delay = 150ms;
  /// Time over which the sends of a node are averaged to a rate.
  Duration arrival_memory = 500ms;
  /// Weight of the fleet's rate from digests, in requests of this node. A larger weight misses a
  /// burst that only the nodes themselves see yet (replica_selector_test.cpp).
  double arrival_prior_requests = 1;
  /// Smallest fleet in which nodes have slots of their own: in a fleet of `LoadRelay::kDirectNodes`
  /// digests are recent enough without them.
  std::size_t slot_share_nodes = 21;
  /// Limit on units times nodes; above it no slots are assigned, since the assignment would block
  /// the event loop.
  std::size_t slot_share_work = 400'000;
  /// Slots of a replica that are assigned together.
  int slot_share_unit = 2;
  /// Cost, in milliseconds, of a replica in another zone.
  double remote_zone_ms = 3.0;
  /// Cost, in milliseconds, of a replica that has just started.
  double cold_replica_ms = 50;
  /// Nodes that send to a replica while it is cold; more than one, since one may be dead.
  std::size_t cold_senders = 2;
  /// Batch items go to replicas whose used share of slots is below this.
  double batch_fill = 0.9;
  /// How long a prompt is expected to stay in a cache.
  Duration prefix_lifetime = 45s;
  /// Maximum prefixes remembered.
  std::size_t prefix_entries = 4096;
  /// Maximum replicas remembered per prefix.
  std::size_t prefix_replicas = 4;
  /// Share of a prefix expected in the cache of its first home replica.
  double home_confidence = 0.9;
  /// Share of a prefix expected in the cache of its second home replica.
  double second_home_confidence = 0.4;
  /// Connect timeout; a request that hits it certainly has not run.
  Duration replica_connect_timeout = 300ms;
  /// Kept connections that were idle for longer are not reused.
  Duration replica_connection_idle = 8s;
  /// Minimum time without a byte before `silence_objectives` applies.
  Duration silence_minimum = 1s;
  /// Minimum retry delay given to refused callers.
  Duration retry_after_minimum = 300ms;
  /// Range of the delay added to `retry_after_minimum` per request, so that refused callers do not
  /// return at once.
  Duration retry_after_spread = 700ms;

  // Paces of replicas.
  /// Runs over which the usual pace of a replica is learnt.
  int pace_memory_runs = 20;
  /// Minimum runs from which a pace is derived.
  int pace_least_runs = 6;
  /// A pace within this factor of the median is treated as the median.
  double pace_clear_factor = 1.2;
  /// Maximum factor by which a replica is considered slower or faster.
  double pace_limit = 4;
  /// How long the current pace stated by a replica applies in full.
  Duration pace_stated_fresh = 300ms;
  /// Time over which a stated pace gives way to the usual pace, after `pace_stated_fresh`.
  Duration pace_stated_fade = 600ms;
  /// Interval between a node's reports of learnt paces.
  Duration pace_report_interval = 1s;
  /// Maximum replicas in one pace report.
  std::size_t pace_entries = 8;
  /// How long a pace report of another node counts.
  Duration pace_report_lifetime = 15s;
  /// Maximum nodes whose pace reports are kept per replica.
  std::size_t pace_report_sources = 5;
  /// A replica that rejected a request without stating its load is considered full for this long.
  Duration replica_full_time = 100ms;

  // Overload of the replicas.
  /// A request is refused if its expected wait is this many objectives and `overload_whole_time`
  /// holds.
  double overload_objectives = 2;
  /// Minimum share of the caller's time that must remain for an overload refusal.
  double overload_whole_time = 0.97;
  /// Earliest return of a refused caller, as a share of its time.
  double overload_return_earliest = 0.12;
  /// Latest return of a refused caller, as a share of its time; callers wait at most a third.
  double overload_return_latest = 0.32;

  /// Time for records that lapsed while the log was unavailable to reappear.
  Duration removal_grace = 2s;

  // Batch items.
  /// Maximum share of all slots for the items of all nodes.
  double batch_slot_share = 0.8;
  /// Share of all slots for urgent items, regardless of online load.
  double batch_urgent_share = 0.6;
  /// Interval between audits of the items that a node owns.
  Duration item_audit_interval = 5s;
  /// Items that a node with items may always run.
  double batch_least_items = 2;
  /// Expected used share of a replica's slots from which an item there yields its slot to an online
  /// request.
  double yield_request_load = 0.9;
  /// Share of a replica's items assumed to yield when an online request needs a slot.
  double yield_trust = 1;
  /// Time until an item that yielded runs again.
  Duration yield_request_pause = 50ms;
  /// Slots of each engine that patient items leave free.
  double batch_reserved_slots = 1;
  /// Items may run up to this multiple of the allowance.
  double batch_yield_tolerance = 1.2;
  /// An item is urgent in this last share of its time.
  double batch_urgent_time = 0.5;
  /// Delay after a node's start before items run: the node does not know the load of the others
  /// earlier.
  Duration batch_start_delay = 700ms;
  /// Maximum assumed error of the time of day at a node.
  Duration clock_error = 5s;
  /// Interval between writes of the output of unfinished items.
  Duration checkpoint_interval = 1s;
  /// A run without a byte for this long continues on another replica.
  Duration item_silence = 3s;
  /// How long a route has to be missing until its waiting items are given up: an operator may
  /// remove a route in one version and bring it back in one of the next.
  Duration item_route_grace = 5s;
  /// How long a job is offered to the log.
  Duration submission_wait = 2500ms;
  /// Time without an answer of the log after which a job is forwarded; the objectives for accepting
  /// are 400 ms and more.
  Duration submission_forward_delay = 200ms;
  /// Nodes to which a job is forwarded, one after another.
  int submission_forwards = 2;

  // The rate limits of tenants.
  /// Time until the other nodes know what a node admitted: two digest intervals, and one more if a
  /// relay was full.
  Duration rate_report_delay = 600ms;
  /// How long each digest repeats a request, so that three consecutive lost datagrams lose nothing.
  Duration rate_report_time = 800ms;
  /// A node silent for this long shares no bucket. More than two digests; if longer, nodes that are
  /// cut off spend together with nodes that still count them.
  Duration rate_silence = 500ms;
  /// How long a silent node may still admit its share.
  Duration rate_node_memory = 15s;
  /// Time after its start in which a node does not know the others and assumes `rate_start_nodes`.
  Duration rate_start_time = 1s;
  /// Minimum number of nodes assumed during `rate_start_time`.
  std::size_t rate_start_nodes = 50;
  /// 0: each node enforces an even share by itself, without reports of the others.
  int rate_shared = 1;

  // The limit on waiting tokens of a route.
  /// How long a node relies on the allotment that it read.
  Duration quota_allotment_time = 2s;
  /// Interval between checks of reservations by owners.
  Duration quota_audit_interval = 3s;
  /// Audit interval while more than `quota_near` of the limit is in use.
  Duration quota_audit_interval_near = 300ms;
  /// Used share of the limit above which `quota_audit_interval_near` applies.
  double quota_near = 0.25;
  /// A reservation without a job is removed after this time: `submission_wait` plus twice
  /// `clock_error`, with a margin.
  Duration quota_orphan_age = 15s;
  /// A repeated submission renews a reservation older than this.
  Duration quota_recent = 4s;
  /// An empty reservation is removed after this time; jobs are looked at for 120 s.
  Duration quota_finished_age = 150s;
  /// Time over which finished items are averaged to the release rate.
  Duration quota_release_memory = 5s;
  /// Minimum wait that a caller is given for room under the limit.
  Duration quota_retry_earliest = 500ms;
  /// Maximum wait that a caller is given for room under the limit.
  Duration quota_retry_latest = 10s;

  // Online requests that crash replicas.
  /// Replicas that crashed under a request before it is quarantined.
  std::size_t crash_limit = 3;
  /// If true, crashes that another suspect explains do not count against a prompt part.
  bool crash_attribution = true;
  /// How long a crash counts.
  Duration crash_memory = 10min;
  /// Crashes of different replicas within this time are taken for one event with a common cause.
  Duration crash_coincidence = 250ms;
  /// Trials of a quarantined prompt part whose guilt is doubtful.
  std::size_t crash_trials = 3;
  /// Time from the last crash of such a part to its first trial; four times as long for the next.
  Duration crash_trial_wait = 2s;
  /// Time for which a prompt part that ran well before, and then was present at as many crashes as
  /// the limit, may be cleared by other nodes before it is quarantined.
  Duration crash_part_grace = 300ms;
  /// Prompt parts and requests whose last good run is remembered.
  std::size_t crash_good_runs = 4096;
  /// Maximum requests and prompt parts remembered.
  std::size_t crash_requests = 4096;
  /// Maximum crashes remembered per request.
  std::size_t crashes_per_request = 8;
  /// Connect timeout of a probe to a replica that may have crashed.
  Duration crash_probe_timeout = 300ms;
  /// Time for which a connection to a replica that may have crashed must stay open.
  Duration crash_probe_observation = 200ms;
  /// The same before an answer is passed on whose end only a closed connection marked; its caller
  /// waits meanwhile.
  Duration answer_end_observation = 20ms;
  /// Interval between crash probes.
  Duration crash_probe_interval = 300ms;
  /// Maximum crash probes without a clear result.
  int crash_probe_attempts = 5;
  /// Nodes that receive each crash report, the same ones from every sender, so that they can sum up
  /// the reports.
  std::size_t crash_witnesses = 8;
  /// Times that a report is sent, since datagrams get lost.
  int crash_report_rounds = 3;
  /// Interval between repetitions of a report.
  Duration crash_report_interval = 300ms;
  /// Interval between gossip to random members, for nodes that missed the reports.
  Duration crash_gossip_interval = 1s;
  /// Members that receive each gossip message.
  std::size_t crash_gossip_members = 2;
  /// Maximum requests in a gossip message.
  std::size_t crash_gossip_requests = 7;
  /// How long a node asks others for crashes after a start or a pause.
  Duration crash_catch_up_time = 5s;

  // Streams that are resumed.
  /// How long the origin of a stream is remembered after it was last confirmed: longer than any
  /// stream with its retries.
  Duration stream_origin_lifetime = 120s;
  /// Maximum origins that a node remembers.
  std::size_t stream_origins = 16'384;
  /// Other nodes that are told the origin of a stream while several software versions serve.
  std::size_t stream_origin_witnesses = 3;
  /// Nodes that are asked for the origin of a stream: more than are told, since the members that
  /// two nodes see may differ.
  std::size_t stream_origin_asked = 8;
  /// Time until an origin is told a second time, since datagrams get lost.
  Duration stream_origin_repeat = 100ms;
  /// Time until a question for an origin is repeated.
  Duration stream_origin_question_repeat = 50ms;
  /// Maximum wait for answers to a question for an origin.
  Duration stream_origin_question_limit = 250ms;
  /// Maximum wait until the log confirms that a single software version serves. A caller that is
  /// refused then can still resume its stream at another node.
  Duration stream_origin_confirmation_limit = 500ms;
  /// Minimum time between two reads that confirm a view of the log; see ReadBarrier.
  Duration read_barrier_interval = 100ms;
  /// Estimated time in which a replica produces one event of a batch item.
  Duration item_event_time = 15ms;
  /// Pause of an item that waits for a replica that can resume its output.
  Duration item_origin_pause = 100ms;

  // The platform's log.
  /// Maximum time from a record's confirmation until all nodes act on it, as the settings require;
  /// see FreshnessBudget.
  Duration freshness_bound = 2s;
  /// Pause after a read that returned records, so that a burst of records takes few reads. A tenth
  /// of the 2 s within which a drain or a configuration must be in force.
  Duration watch_pause = 200ms;
  /// Delay after a failed write; doubled per failure, with jitter.
  Duration log_retry_delay = 150ms;
  /// Upper limit of `log_retry_delay` after doubling.
  Duration log_retry_delay_limit = 1200ms;
  /// A write without an answer is sent again (hedged) after this time; each further call waits
  /// twice as long.
  Duration log_hedge_delay = 120ms;
  /// Maximum calls of a hedged write.
  int log_hedge_calls = 3;
  /// A silent member loses its partitions after this time.
  Duration group_lease = 2000ms;
  /// How long reads are answered after a renewal of the lease.
  Duration read_validity = 1000ms;
  /// Time for running items to end before a partition is released.
  Duration handover_drain = 2500ms;
};

}  // namespace dockpoint
