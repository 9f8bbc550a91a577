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

/// What one node knows of the engines.
namespace dockpoint {

/// Kind of work that an engine distinguishes by priority.
enum class WorkClass { kOnline, kBatch };

/// How an attempt on an engine ended, as far as the engine's health is concerned.
enum class EngineHealthSignal { kAnswered, kFailed };

/// One engine as seen from this node: its configuration, its last report, and what this node has
/// sent since.
struct EngineView {
  EngineConfig config;
  EngineLoad load;
  bool reported = false;
  TimePoint reported_at{};
  int online_in_flight = 0;  ///< Of this node.
  int batch_in_flight = 0;   ///< Of this node.
  /// Online sequences of other nodes: what the last report counts beyond this node's own.
  int online_of_others = 0;
  int online_peak = 0;         ///< Of this node's requests since the last report.
  int online_peak_before = 0;  ///< And between the last two.
  int failures_in_row = 0;
  int ejections = 0;
  TimePoint ejected_until{};
  bool listed_as_leaving = false;      ///< By the platform's machine list.
  std::uint64_t left_incarnation = 0;  ///< Incarnation that announced its leave; 0: none.

  /// @return sequences of online requests estimated to run or wait there now.
  int estimated_online() const;
  /// @return the estimate as a share of the slots.
  double online_utilization() const;
  /// @return whether any source says that the engine leaves.
  bool leaving() const;
};

/// Table of engines. Not thread-safe.
///
/// A leave is told by the engine's own reports, by the machine list and by the configuration; the
/// first to say so counts. A report of the same incarnation cannot undo it.
class EngineTable {
 public:
  explicit EngineTable(const Knobs& knobs) : knobs_(knobs) {}

  /// Takes a new configuration; keeps what is known of engines that stay.
  void configure(std::shared_ptr<const FleetConfig> config);

  /// Takes a report, from the engine itself or passed on by a steward; older ones are ignored.
  /// @return whether it was news.
  bool report(const std::string& engine, const EngineLoad& load, TimePoint now);

  /// Takes a report that a steward passed on.
  bool report(const EngineDigest& digest, TimePoint now);

  /// Takes the machine list: the addresses of leaving engines.
  void set_leaving_addresses(const std::vector<std::string>& addresses);

  void started(const std::string& engine, WorkClass work);
  void ended(const std::string& engine, WorkClass work, EngineHealthSignal signal, TimePoint now);

  /// @return whether the engine may take new work.
  bool usable(const EngineView& engine, TimePoint now) const;

  /// @return the engines that may serve the service now.
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
