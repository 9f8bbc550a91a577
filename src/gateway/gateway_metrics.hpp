#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "dockpoint/core/time.hpp"
#include "dockpoint/routing/replica_pace.hpp"
#include "gateway/wait_calibration.hpp"

namespace dockpoint {

/// Prometheus metrics of a gateway. Used only on the event loop's thread.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// @param outcome `answered`, `refused`, `failed`, `timed_out`, `broken_off` or `caller_gone`.
  void count_request(const std::string& kind, const std::string& outcome);
  void observe_first_byte(const std::string& kind, Duration time);
  /// Records the error of an expected wait, at the first byte of an online request's response.
  void observe_wait(const std::string& kind, const WaitError& wait);
  void count_attempt(const std::string& outcome);
  /// Counts a request that was sent to a replica.
  /// @param own_slot whether it uses a slot assigned to this node.
  void count_placement(bool own_slot);
  /// Counts a request that was refused because of its tenant's rate limit. To bound the number of
  /// series, only the first tenants seen get their own; the others share `other`.
  /// @param reason name of a `RateRefusal`.
  void count_rate_limited(const std::string& tenant, const std::string& reason);
  /// Counts a request that was refused because of its API key.
  /// @param verdict `unknown_key`, `unsure` or `malformed`.
  void count_caller_refused(const std::string& verdict);
  /// Counts runs whose connection to a replica was lost.
  /// @param verdict state of the replica: `replica_ended`, `replica_runs` or `unknown`.
  void count_broken_runs(const std::string& verdict, std::size_t runs);
  /// Counts an answer whose end does not prove that it is whole.
  /// @param conclusion name of an `AnswerEnd`.
  void count_doubtful_end(const std::string& conclusion);
  /// Counts an answer that was ended because it exceeded a limit on its size or time.
  void count_endless_answer(const std::string& limit);
  /// Counts an answer of any server whose head is malformed.
  /// @param fault name of a `net::HeadFault`.
  void count_malformed_answer(const std::string& fault);
  /// Counts an answer that is not the replica's own.
  /// @param traffic `online` or `batch`.
  void count_foreign_answer(const std::string& traffic);
  /// Counts a client's connection that was closed because of the limits on all clients.
  /// @param limit `buffers` or `connections`.
  void count_client_evicted(const std::string& limit);
  /// @param bytes memory that the connections and their buffers occupy.
  void set_clients(std::size_t connections, std::uint64_t bytes);
  void set_quarantined_requests(std::size_t count);
  /// Counts a suspension of the machine.
  void count_suspension();
  /// Counts a request that was not sent to a replica because it is quarantined for crashing
  /// replicas.
  void count_quarantined(const std::string& kind);
  /// Counts a suspect that a good run cleared of crashes.
  void count_suspect_cleared();
  void count_item(const std::string& outcome);
  void count_log_call(const std::string& call, const std::string& outcome);
  /// Counts an append of results that was sent several times because answers were missing.
  /// @param outcome `written`, `fenced` or `out_of_sequence`.
  void count_settled_append(const std::string& outcome);
  void set_configuration_version(std::uint64_t version);
  /// Sets the time since the log last confirmed the configuration and the replica records.
  void set_fleet_age(Duration configuration, Duration replicas);
  /// @param count replica records that could not be decoded as a replica.
  void set_unreadable_records(std::size_t count);
  /// @param slots replica slots assigned to this node, summed over all services.
  void set_own_slots(int slots);
  void count_full_replica();
  void set_pace_classes(const std::map<PaceClass, int>& classes);
  /// Counts a stream that a caller resumed.
  /// @param origin name of an `OriginSource`, or `no_replica`.
  void count_resumption(const std::string& origin);
  /// @param counts replicas by service and software version.
  void set_software_versions(const std::map<std::pair<std::string, std::string>, int>& counts);
  void set_partitions_owned(std::size_t count);
  void set_log_lines_dropped(std::uint64_t count);

  /// @return all metrics in the Prometheus text format.
  std::string text() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Family<prometheus::Histogram>& wait_error_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& placements_;
  prometheus::Family<prometheus::Counter>& full_replicas_;
  prometheus::Family<prometheus::Counter>& rate_limited_;
  prometheus::Family<prometheus::Counter>& callers_refused_;
  prometheus::Family<prometheus::Counter>& broken_runs_;
  prometheus::Family<prometheus::Counter>& doubtful_ends_;
  prometheus::Family<prometheus::Counter>& endless_answers_;
  prometheus::Family<prometheus::Counter>& malformed_answers_;
  prometheus::Family<prometheus::Counter>& foreign_answers_;
  prometheus::Family<prometheus::Counter>& clients_evicted_;
  prometheus::Gauge& client_connections_;
  prometheus::Gauge& client_bytes_;
  prometheus::Family<prometheus::Counter>& quarantined_;
  prometheus::Counter& suspects_cleared_;
  prometheus::Counter& suspensions_;
  prometheus::Family<prometheus::Counter>& items_;
  prometheus::Family<prometheus::Counter>& log_calls_;
  prometheus::Family<prometheus::Counter>& settled_appends_;
  prometheus::Gauge& configuration_version_;
  prometheus::Gauge& configuration_age_;
  prometheus::Gauge& replicas_age_;
  prometheus::Gauge& unreadable_records_;
  prometheus::Gauge& own_slots_;
  prometheus::Family<prometheus::Gauge>& replicas_by_pace_;
  prometheus::Family<prometheus::Gauge>& replicas_by_software_;
  prometheus::Family<prometheus::Counter>& resumptions_;
  prometheus::Gauge& partitions_owned_;
  prometheus::Gauge& log_lines_dropped_;
  prometheus::Gauge& quarantined_requests_;
  std::map<std::pair<std::string, std::string>, int> software_versions_;  ///< As last set.
  std::set<std::string> tenants_with_series_;  ///< Tenants with their own rate limit series.
};

}  // namespace dockpoint
