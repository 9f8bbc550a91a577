#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "simulation/event_queue.hpp"
#include "simulation/history.hpp"
#include "simulation/sim_engine.hpp"
#include "simulation/sim_log.hpp"
#include "simulation/sim_network.hpp"
#include "simulation/sim_node.hpp"

namespace dockpoint::simulation {

/// Parameters of a simulated deployment.
struct Deployment {
  int nodes = 3;
  int engines = 4;
  int zones = 3;
  int slots = 8;
  int partitions = 4;
  int step_us = 8'000;           ///< Base time of a decode step.
  int list_lag_ms = 2'000;       ///< Delay of the machine list.
  int clock_spread_percent = 0;  ///< Maximum deviation of a node's clock rate.
};

/// A complete simulated deployment: nodes, engines, network, log, machine list and callers. All
/// randomness comes from one seed.
class World {
 public:
  World(const Deployment& deployment, const Mechanisms& mechanisms, std::uint64_t seed);

  /// Starts every node and publishes the first configuration.
  void start();

  EventQueue& events() { return events_; }
  SimNetwork& network() { return network_; }
  SimLog& log() { return log_; }
  History& history() { return history_; }
  const Deployment& deployment() const { return deployment_; }
  const Mechanisms& mechanisms() const { return knobs_.mechanisms; }

  /// @return the node or engine with this name or address, or null.
  SimNode* node(const std::string& name);
  SimNode* node_at_peer_address(const std::string& address);
  SimNode* node_at_api_address(const std::string& address);
  SimEngine* engine(const std::string& name);
  SimEngine* engine_at(const std::string& address);
  std::map<std::string, std::unique_ptr<SimNode>>& nodes() { return nodes_; }
  std::map<std::string, std::unique_ptr<SimEngine>>& engines() { return engines_; }

  /// @param target name of a zone, a node or an engine.
  /// @return names of all nodes and engines in that zone, or the one process with that name.
  std::vector<std::string> processes_in(const std::string& target) const;

  /// @return the machine list as currently reported by the platform, including its delay.
  std::vector<MachineEntry> machine_list();
  void set_leaving(const std::string& name, bool leaving);
  /// Starts or ends a period in which the machine list is not updated.
  void set_list_stale(bool stale);

  /// @return a valid configuration document that is unique to `tag`.
  std::string document(const std::string& tag) const;

  std::uint64_t random() { return random_(); }

  /// Sets the number of tokens in the answer to each item of a file.
  void set_file_tokens(const std::string& file_id, int tokens) { file_tokens_[file_id] = tokens; }
  int file_tokens(const std::string& file_id) const;

  // Callers. Job requests are retried through one node after another until they are answered;
  // online requests only if `resends` is set, up to a limit.
  void submit_job(const std::string& name, JobSpec job, const std::string& through);
  void cancel_job(const std::string& name, const std::string& through);
  void send_online(const OnlineSpec& spec, const std::string& through, bool resends);
  /// Proposes a configuration change once, without retries.
  /// @param base revision that the change is based on; if negative, the node's current revision.
  void apply_configuration(const std::string& tag, const std::string& through, std::int64_t base);

  /// Ends all faults and restarts or wakes every process.
  void heal();

 private:
  std::string next_node(const std::string& after);
  void try_submit(const std::string& name, const JobSpec& job, const std::string& through,
                  int attempt);
  void try_cancel(const std::string& name, const std::string& through);
  void try_online(const OnlineSpec& spec, const std::string& through, bool resends, int attempt);
  ProcessLocation client_location(const SimNode& node) const;

  const Deployment deployment_;
  Knobs knobs_;
  std::mt19937_64 random_;
  EventQueue events_;
  SimNetwork network_;
  SimLog log_;
  History history_;
  std::map<std::string, std::unique_ptr<SimNode>> nodes_;
  std::map<std::string, std::unique_ptr<SimEngine>> engines_;
  std::map<std::string, int> file_tokens_;
  struct ListVersion {
    TimePoint since;
    std::vector<MachineEntry> machines;
  };
  std::vector<ListVersion> list_versions_;
  std::map<std::string, bool> leaving_;
  bool list_stale_ = false;
  TimePoint list_stale_since_{};
};

}  // namespace dockpoint::simulation
