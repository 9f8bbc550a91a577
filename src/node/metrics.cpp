#include "node/metrics.hpp"

#include <prometheus/text_serializer.h>
#include <time.h>
#include <unistd.h>

#include <fstream>

namespace dockpoint {
namespace {

constexpr const char* kFirstToken = "dockpoint_first_token_seconds";
constexpr const char* kAnswer = "dockpoint_answer_seconds";

const prometheus::Histogram::BucketBoundaries kSecondsBuckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.41, 0.6, 1, 2, 5, 10, 30, 60};

double seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

double process_cpu_seconds() {
  constexpr double kNanosecondsPerSecond = 1e9;
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) / kNanosecondsPerSecond;
}

/// @return the resident set size in bytes, from the second field of /proc/self/statm (in pages).
double resident_bytes() {
  std::ifstream file("/proc/self/statm");
  long total_pages = 0;
  long resident_pages = 0;
  file >> total_pages >> resident_pages;
  return static_cast<double>(resident_pages * sysconf(_SC_PAGESIZE));
}

/// Snapshot of values owned by the control thread, taken in a single call.
struct ControlValues {
  OnlineCounts online;
  double waiting = 0;
  double in_flight = 0;
  double batch_in_flight = 0;
  double partitions_owned = 0;
  double revision = 0;
  double members_alive = 0;
  double engines_usable = 0;
};

ControlValues read_values(NodeController& controller, TimePoint now) {
  ControlValues values;
  values.online = controller.online().counts();
  values.waiting = static_cast<double>(controller.online().waiting());
  values.in_flight = static_cast<double>(controller.online().in_flight());
  values.batch_in_flight = controller.batch_in_flight();
  values.partitions_owned = controller.owned_partitions();
  values.revision = static_cast<double>(controller.configuration().current().revision);
  values.members_alive = static_cast<double>(controller.membership().alive().size());
  for (const auto& [name, engine] : controller.engines().all()) {
    values.engines_usable += controller.engines().usable(engine, now) ? 1 : 0;
  }
  return values;
}

}  // namespace

const std::vector<MetricInfo>& metric_table() {
  static const std::vector<MetricInfo> table{
      {"dockpoint_online_admitted_total", "counter", "Online requests taken in."},
      {"dockpoint_online_completed_total", "counter", "Online requests answered by an engine."},
      {"dockpoint_online_refused_total", "counter", "Online requests that ended with an error."},
      {"dockpoint_online_retries_total", "counter", "Attempts after the first."},
      {"dockpoint_online_waiting", "gauge", "Online requests in the queue."},
      {"dockpoint_online_in_flight", "gauge", "Online requests on engines."},
      {kFirstToken, "histogram", "Arrival to first token, or to a whole answer."},
      {kAnswer, "histogram", "Arrival to the end of the answer."},
      {"dockpoint_batch_in_flight", "gauge", "Batch items on engines."},
      {"dockpoint_partitions_owned", "gauge", "Job partitions that this node owns."},
      {"dockpoint_configuration_revision", "gauge", "Revision in force."},
      {"dockpoint_members_alive", "gauge", "Nodes that this node holds alive, itself included."},
      {"dockpoint_engines_usable", "gauge", "Engines that may take new work."},
      {"dockpoint_peer_sent_bytes_total", "counter", "Datagram bytes sent to other nodes."},
      {"dockpoint_peer_received_bytes_total", "counter",
       "Datagram bytes received from other nodes."},
      {"dockpoint_peer_dropped_total", "counter", "Datagrams that could not be sent or read."},
      {"dockpoint_log_unconfirmed_records", "gauge", "Records that the log has not confirmed."},
      {"dockpoint_control_mailbox_length", "gauge", "Events that wait for the control thread."},
      {"dockpoint_control_cpu_seconds_total", "counter", "CPU time of the control thread."},
      {"dockpoint_process_cpu_seconds_total", "counter", "CPU time of the whole process."},
      {"dockpoint_process_resident_bytes", "gauge", "Memory of the process that is resident."},
  };
  return table;
}

Metrics::Metrics(const Sources& sources) : sources_(sources) {
  for (const MetricInfo& info : metric_table()) {
    if (info.type == "counter") {
      counters_[info.name] =
          &prometheus::BuildCounter().Name(info.name).Help(info.help).Register(registry_).Add({});
    } else if (info.type == "gauge") {
      gauges_[info.name] =
          &prometheus::BuildGauge().Name(info.name).Help(info.help).Register(registry_).Add({});
    } else {
      histograms_[info.name] =
          &prometheus::BuildHistogram().Name(info.name).Help(info.help).Register(registry_).Add(
              {}, kSecondsBuckets);
    }
  }
}

void Metrics::first_token(Duration time) {
  histograms_.at(kFirstToken)->Observe(seconds(time));
}

void Metrics::whole_answer(Duration time) {
  histograms_.at(kAnswer)->Observe(seconds(time));
}

void Metrics::set(const std::string& name, double value) {
  const auto counter = counters_.find(name);
  if (counter == counters_.end()) {
    gauges_.at(name)->Set(value);
    return;
  }
  const double increase = value - counter->second->Value();
  if (increase > 0) {
    counter->second->Increment(increase);
  }
}

std::string Metrics::render() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const ControlValues values = sources_.control.call(read_values);
  set("dockpoint_online_admitted_total", static_cast<double>(values.online.admitted));
  set("dockpoint_online_completed_total", static_cast<double>(values.online.completed));
  set("dockpoint_online_refused_total", static_cast<double>(values.online.refused));
  set("dockpoint_online_retries_total", static_cast<double>(values.online.retries));
  set("dockpoint_online_waiting", values.waiting);
  set("dockpoint_online_in_flight", values.in_flight);
  set("dockpoint_batch_in_flight", values.batch_in_flight);
  set("dockpoint_partitions_owned", values.partitions_owned);
  set("dockpoint_configuration_revision", values.revision);
  set("dockpoint_members_alive", values.members_alive);
  set("dockpoint_engines_usable", values.engines_usable);
  set("dockpoint_peer_sent_bytes_total", static_cast<double>(sources_.datagrams.sent_bytes()));
  set("dockpoint_peer_received_bytes_total",
      static_cast<double>(sources_.datagrams.received_bytes()));
  set("dockpoint_peer_dropped_total", static_cast<double>(sources_.datagrams.dropped_messages()));
  set("dockpoint_log_unconfirmed_records", static_cast<double>(sources_.log_writer.unconfirmed()));
  set("dockpoint_control_mailbox_length", static_cast<double>(sources_.control.mailbox_length()));
  set("dockpoint_control_cpu_seconds_total", seconds(sources_.control.cpu_time()));
  set("dockpoint_process_cpu_seconds_total", process_cpu_seconds());
  set("dockpoint_process_resident_bytes", resident_bytes());
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace dockpoint
