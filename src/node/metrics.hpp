#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <vector>

#include "http/latency_recorder.hpp"
#include "log/log_writer.hpp"
#include "node/control_loop.hpp"
#include "transport/datagram_transport.hpp"

namespace dockpoint {

/// Description of one metric, for the documentation.
struct MetricInfo {
  std::string name;
  std::string type;  ///< `counter`, `gauge` or `histogram`.
  std::string help;
};

/// @return every metric of `dockpointd`, in the order of docs/OPERATIONS.md.
const std::vector<MetricInfo>& metric_table();

/// Renders the node's metrics in the Prometheus text format. Thread-safe.
class Metrics : public LatencyRecorder {
 public:
  /// Sources of the values. Not owned; all must outlive the metrics.
  struct Sources {
    ControlLoop& control;
    const DatagramTransport& datagrams;
    const LogWriter& log_writer;
  };

  explicit Metrics(const Sources& sources);

  void first_token(Duration time) override;
  void whole_answer(Duration time) override;

  /// @return all metrics with their current values.
  std::string render();

 private:
  void set(const std::string& name, double value);

  const Sources sources_;
  prometheus::Registry registry_;
  std::map<std::string, prometheus::Gauge*> gauges_;
  std::map<std::string, prometheus::Counter*> counters_;
  std::map<std::string, prometheus::Histogram*> histograms_;
  std::mutex mutex_;
};

}  // namespace dockpoint
