#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/config/fleet_config.hpp"
#include "dockpoint/core/knobs.hpp"
#include "dockpoint/core/time.hpp"
#include "dockpoint/routing/engine_load.hpp"

/// A node's view of the engines.
namespace dockpoint {

/// Class of work; engines prioritize by it.
enum class WorkClass { kOnline, kBatch };

/// Result of an attempt as it affects the engine's health.
enum class EngineHealthSignal { kAnswered, kFailed };

/// One engine as seen from this node: configuration, last load report, and this node's own
/// requests.
struct EngineView {
  EngineConfig config;
  EngineLoad load;
  bool reported = false;
  TimePoint reported_at{};
  int online_in_flight = 0;  ///< Sent by this node.
  int batch_in_flight = 0;   ///< Sent by this node.
  /// Online sequences sent by other nodes: the last report's count minus this node's recent peak.
  int online_of_other_nodes = 0;
  int online_peak = 0;           ///< Peak of this node's requests since the last report.
  int previous_online_peak = 0;  ///< The same between the last two reports.
  int failures_in_row = 0;
  int ejections = 0;
  TimePoint ejected_until{};
  bool listed_as_leaving = false;      ///< The platform's machine list marks it as leaving.
  std::uint64_t left_incarnation = 0;  ///< Incarnation that announced its shutdown; 0: none.

  /// @return the estimated number of online sequences that run or wait there now.
  int estimated_online() const;
  /// @return that estimate divided by the number of slots.
  double online_utilization() const;
  /// @return whether any source reports that the engine is leaving.
  bool leaving() const;
};

/// Table of engines. Not thread-safe.
///
/// An engine is leaving as soon as its own reports, the machine list or the configuration say so. A
/// later report of the same incarnation cannot revoke it.
class EngineTable {
 public:
  explicit EngineTable(const Knobs& knobs) : knobs_(knobs) {}

  /// Applies a new configuration; keeps the state of engines that remain.
  void configure(std::shared_ptr<const FleetConfig> config);

  /// Applies a report that came from the engine or from a node that polls it; ignores one that is
  /// not newer than the last.
  /// @return whether the report was newer.
  bool report(const std::string& engine, const EngineLoad& load, TimePoint now);

  /// Applies a report forwarded by the node that polls the engine.
  bool report(const EngineDigest& digest, TimePoint now);

  /// Sets the addresses that the machine list marks as leaving.
  void set_leaving_addresses(const std::vector<std::string>& addresses);

  void started(const std::string& engine, WorkClass work);
  void ended(const std::string& engine, WorkClass work, EngineHealthSignal signal, TimePoint now);

  /// @return whether the engine accepts new work.
  bool usable(const EngineView& engine, TimePoint now) const;

  /// @return the usable engines that are eligible for the service.
  std::vector<const EngineView*> candidates(const ServiceConfig& service, TimePoint now) const;

  const EngineView* find(const std::string& engine) const;
  const std::map<std::string, EngineView>& all() const { return engines_; }
  const FleetConfig& config() const { return *config_; }

 private:
  void eject(EngineView& engine, TimePoint now);

  const Knobs& knobs_;
  std::shared_ptr<const FleetConfig> config_ = std::make_shared<FleetConfig>();
  std::map<std::string, EngineView> engines_;
  std::map<std::uint32_t, std::string> names_by_key_;
  std::vector<std::string> leaving_addresses_;
};

}  // namespace dockpoint
