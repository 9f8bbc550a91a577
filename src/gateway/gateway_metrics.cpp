#include "gateway/gateway_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace dockpoint {
namespace {

/// Bucket upper bounds of the latency histogram, in seconds.
const prometheus::Histogram::BucketBoundaries& latency_buckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.2,
                                                               0.3,   0.5,  1,     2,    5};
  return buckets;
}

/// Bucket upper bounds of the wait error histogram, in seconds.
const prometheus::Histogram::BucketBoundaries& wait_error_buckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{-0.4, -0.2, -0.1, -0.05, 0,
                                                               0.05, 0.1,  0.2,  0.4,   0.8};
  return buckets;
}

/// Maximum number of rate-limited tenants with their own series; bounds the label cardinality.
constexpr std::size_t kMaxTenantSeries = 32;

prometheus::Gauge& make_gauge(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("dockpoint_gateway_requests_total")
                    .Help("Online requests by kind of route and outcome.")
                    .Register(registry_)),
      first_byte_(prometheus::BuildHistogram()
                      .Name("dockpoint_gateway_first_byte_seconds")
                      .Help("Time from a request's arrival to the first byte of its answer.")
                      .Register(registry_)),
      wait_error_(prometheus::BuildHistogram()
                      .Name("dockpoint_gateway_wait_error_seconds")
                      .Help("Time from sending to the first byte, less the wait expected there.")
                      .Register(registry_)),
      attempts_(prometheus::BuildCounter()
                    .Name("dockpoint_gateway_attempts_total")
                    .Help("Attempts at replicas by outcome.")
                    .Register(registry_)),
      placements_(prometheus::BuildCounter()
                      .Name("dockpoint_gateway_placements_total")
                      .Help("Online requests sent to replicas, in slots of this node's own or not.")
                      .Register(registry_)),
      full_replicas_(prometheus::BuildCounter()
                         .Name("dockpoint_gateway_replica_full_total")
                         .Help("Attempts that a replica turned away for want of a slot.")
                         .Register(registry_)),
      rate_limited_(prometheus::BuildCounter()
                        .Name("dockpoint_gateway_rate_limited_total")
                        .Help("Online requests refused for their tenant's rate limit.")
                        .Register(registry_)),
      callers_refused_(prometheus::BuildCounter()
                           .Name("dockpoint_gateway_callers_refused_total")
                           .Help("Requests refused for their API key, by reason.")
                           .Register(registry_)),
      broken_runs_(prometheus::BuildCounter()
                       .Name("dockpoint_gateway_broken_runs_total")
                       .Help("Runs whose connection ended, by what became of the replica.")
                       .Register(registry_)),
      doubtful_ends_(
          prometheus::BuildCounter()
              .Name("dockpoint_gateway_doubtful_ends_total")
              .Help("Answers whose end does not prove that they are whole, by conclusion.")
              .Register(registry_)),
      endless_answers_(prometheus::BuildCounter()
                           .Name("dockpoint_gateway_endless_answers_total")
                           .Help("Answers ended because they exceeded a limit, by limit.")
                           .Register(registry_)),
      malformed_answers_(prometheus::BuildCounter()
                             .Name("dockpoint_gateway_malformed_answers_total")
                             .Help("Answers whose head is not valid HTTP, by fault.")
                             .Register(registry_)),
      foreign_answers_(prometheus::BuildCounter()
                           .Name("dockpoint_gateway_foreign_answers_total")
                           .Help("Answers that are not the replica's own, by traffic.")
                           .Register(registry_)),
      clients_evicted_(prometheus::BuildCounter()
                           .Name("dockpoint_gateway_clients_evicted_total")
                           .Help("Connections of clients closed because of the limits on all.")
                           .Register(registry_)),
      client_connections_(make_gauge(registry_, "dockpoint_gateway_client_connections",
                                     "Open connections of clients.")),
      client_bytes_(make_gauge(registry_, "dockpoint_gateway_client_bytes",
                               "Memory that clients' connections and their buffers occupy.")),
      quarantined_(prometheus::BuildCounter()
                       .Name("dockpoint_gateway_quarantined_total")
                       .Help("Requests and items not sent since they crash replicas.")
                       .Register(registry_)),
      suspects_cleared_(
          prometheus::BuildCounter()
              .Name("dockpoint_gateway_suspects_cleared_total")
              .Help("Prompt parts and requests that good runs cleared of crashes of replicas.")
              .Register(registry_)
              .Add({})),
      suspensions_(prometheus::BuildCounter()
                       .Name("dockpoint_gateway_suspensions_total")
                       .Help("Times that the machine was suspended.")
                       .Register(registry_)
                       .Add({})),
      items_(prometheus::BuildCounter()
                 .Name("dockpoint_gateway_batch_items_total")
                 .Help("Runs of batch items by outcome.")
                 .Register(registry_)),
      log_calls_(prometheus::BuildCounter()
                     .Name("dockpoint_gateway_log_calls_total")
                     .Help("Calls to the log by kind and outcome.")
                     .Register(registry_)),
      settled_appends_(prometheus::BuildCounter()
                           .Name("dockpoint_gateway_settled_appends_total")
                           .Help("Appends of results that were in doubt, by outcome.")
                           .Register(registry_)),
      configuration_version_(make_gauge(registry_, "dockpoint_gateway_configuration_version",
                                        "Version of the routes in force.")),
      configuration_age_(make_gauge(registry_, "dockpoint_gateway_configuration_age_seconds",
                                    "Time since the log last confirmed the configuration.")),
      replicas_age_(make_gauge(registry_, "dockpoint_gateway_replica_records_age_seconds",
                               "Time since the log last confirmed the replicas' records.")),
      unreadable_records_(make_gauge(registry_, "dockpoint_gateway_unreadable_replica_records",
                                     "Records among the replicas' that name no replica.")),
      own_slots_(make_gauge(registry_, "dockpoint_gateway_own_slots",
                            "Slots of replicas that are this node's own.")),
      replicas_by_pace_(prometheus::BuildGauge()
                            .Name("dockpoint_gateway_replicas_by_pace")
                            .Help("Replicas by their usual pace, against their service's middle.")
                            .Register(registry_)),
      replicas_by_software_(prometheus::BuildGauge()
                                .Name("dockpoint_gateway_replicas_by_software")
                                .Help("Replicas by service and software version.")
                                .Register(registry_)),
      resumptions_(prometheus::BuildCounter()
                       .Name("dockpoint_gateway_streams_resumed_total")
                       .Help("Streams that callers resumed, by how their origin was known.")
                       .Register(registry_)),
      partitions_owned_(make_gauge(registry_, "dockpoint_gateway_partitions_owned",
                                   "Partitions of batch jobs that this node owns.")),
      log_lines_dropped_(make_gauge(registry_, "dockpoint_gateway_log_lines_dropped",
                                    "Log lines dropped since the start.")),
      quarantined_requests_(make_gauge(registry_, "dockpoint_gateway_quarantined_requests",
                                       "Requests that are kept from the replicas.")) {}

void GatewayMetrics::count_request(const std::string& kind, const std::string& outcome) {
  requests_.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
}

void GatewayMetrics::observe_first_byte(const std::string& kind, Duration time) {
  first_byte_.Add({{"kind", kind}}, latency_buckets())
      .Observe(std::chrono::duration<double>(time).count());
}

void GatewayMetrics::observe_wait(const std::string& kind, const WaitError& wait) {
  wait_error_.Add({{"kind", kind}, {"expected_ms", wait.expected_class}}, wait_error_buckets())
      .Observe(std::chrono::duration<double>(wait.error).count());
}

void GatewayMetrics::count_attempt(const std::string& outcome) {
  attempts_.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::count_placement(bool own_slot) {
  placements_.Add({{"slot", own_slot ? "own" : "other"}}).Increment();
}

void GatewayMetrics::count_full_replica() {
  full_replicas_.Add({}).Increment();
}

void GatewayMetrics::set_pace_classes(const std::map<PaceClass, int>& classes) {
  for (const auto& [pace, replicas] : classes) {
    replicas_by_pace_.Add({{"pace", to_string(pace)}}).Set(replicas);
  }
}

void GatewayMetrics::count_resumption(const std::string& origin) {
  resumptions_.Add({{"origin", origin}}).Increment();
}

void GatewayMetrics::set_software_versions(
    const std::map<std::pair<std::string, std::string>, int>& counts) {
  for (auto& [version, count] : software_versions_) {
    count = 0;
  }
  for (const auto& [version, count] : counts) {
    software_versions_[version] = count;
  }
  for (auto entry = software_versions_.begin(); entry != software_versions_.end();) {
    const auto& [service, version] = entry->first;
    prometheus::Gauge& gauge =
        replicas_by_software_.Add({{"service", service}, {"software", version}});
    gauge.Set(entry->second);
    if (entry->second > 0) {
      ++entry;
      continue;
    }
    replicas_by_software_.Remove(&gauge);
    entry = software_versions_.erase(entry);
  }
}

void GatewayMetrics::set_own_slots(int slots) {
  own_slots_.Set(slots);
}

void GatewayMetrics::count_rate_limited(const std::string& tenant, const std::string& reason) {
  const bool has_series =
      tenants_with_series_.contains(tenant) || tenants_with_series_.size() < kMaxTenantSeries;
  if (has_series) {
    tenants_with_series_.insert(tenant);
  }
  rate_limited_.Add({{"tenant", has_series ? tenant : "other"}, {"reason", reason}}).Increment();
}

void GatewayMetrics::count_caller_refused(const std::string& verdict) {
  callers_refused_.Add({{"reason", verdict}}).Increment();
}

void GatewayMetrics::count_broken_runs(const std::string& verdict, std::size_t runs) {
  broken_runs_.Add({{"verdict", verdict}}).Increment(static_cast<double>(runs));
}

void GatewayMetrics::count_doubtful_end(const std::string& conclusion) {
  doubtful_ends_.Add({{"conclusion", conclusion}}).Increment();
}

void GatewayMetrics::count_client_evicted(const std::string& limit) {
  clients_evicted_.Add({{"limit", limit}}).Increment();
}

void GatewayMetrics::set_clients(std::size_t connections, std::uint64_t bytes) {
  client_connections_.Set(static_cast<double>(connections));
  client_bytes_.Set(static_cast<double>(bytes));
}

void GatewayMetrics::count_endless_answer(const std::string& limit) {
  endless_answers_.Add({{"limit", limit}}).Increment();
}

void GatewayMetrics::count_malformed_answer(const std::string& fault) {
  malformed_answers_.Add({{"fault", fault}}).Increment();
}

void GatewayMetrics::count_foreign_answer(const std::string& traffic) {
  foreign_answers_.Add({{"traffic", traffic}}).Increment();
}

void GatewayMetrics::set_quarantined_requests(std::size_t count) {
  quarantined_requests_.Set(static_cast<double>(count));
}

void GatewayMetrics::count_suspension() {
  suspensions_.Increment();
}

void GatewayMetrics::count_quarantined(const std::string& kind) {
  quarantined_.Add({{"kind", kind}}).Increment();
}

void GatewayMetrics::count_suspect_cleared() {
  suspects_cleared_.Increment();
}

void GatewayMetrics::count_item(const std::string& outcome) {
  items_.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::count_log_call(const std::string& call, const std::string& outcome) {
  log_calls_.Add({{"call", call}, {"outcome", outcome}}).Increment();
}

void GatewayMetrics::count_settled_append(const std::string& outcome) {
  settled_appends_.Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::set_configuration_version(std::uint64_t version) {
  configuration_version_.Set(static_cast<double>(version));
}

void GatewayMetrics::set_fleet_age(Duration configuration, Duration replicas) {
  configuration_age_.Set(std::chrono::duration<double>(configuration).count());
  replicas_age_.Set(std::chrono::duration<double>(replicas).count());
}

void GatewayMetrics::set_unreadable_records(std::size_t count) {
  unreadable_records_.Set(static_cast<double>(count));
}

void GatewayMetrics::set_partitions_owned(std::size_t count) {
  partitions_owned_.Set(static_cast<double>(count));
}

void GatewayMetrics::set_log_lines_dropped(std::uint64_t count) {
  log_lines_dropped_.Set(static_cast<double>(count));
}

std::string GatewayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace dockpoint
