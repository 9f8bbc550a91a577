#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "emulator/engine_model.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/history.hpp"
#include "simulation/sim_network.hpp"

namespace dockpoint::simulation {

/// A request as received by an engine.
struct EngineRequest {
  std::string id;       ///< Unique per attempt.
  std::string subject;  ///< Name of the request in the history.
  std::string prompt;
  int tokens = 1;
  bool batch_class = false;  ///< Priority class sent to the engine.
  bool is_batch = false;     ///< Actual class of the request, recorded in the history.
};

/// Callbacks from an engine to one attempt.
struct EngineListener {
  std::function<void()> first_token;
  std::function<void(const std::string& answer)> completed;
  std::function<void()> broken;  ///< The engine died or the sequence was cancelled.
  std::string prompt;            ///< Set by the engine.
};

/// An engine in simulated time: the emulator's model, driven by the event queue.
class SimEngine {
 public:
  struct Options {
    std::string name;
    std::string address;
    std::string zone;
    emulator::EngineParameters parameters;
    Duration report_interval{200'000};  ///< Maximum age of the reported load.
  };

  SimEngine(Options options, EventQueue& events, History& history);

  /// Must be called only while the engine is up. @return false if the engine refuses the request.
  bool submit(const EngineRequest& request, EngineListener listener);
  void cancel(const std::string& id);

  void kill();
  void restart();
  /// Stops all progress: requests are neither answered nor failed.
  void freeze() { frozen_ = true; }
  void wake();
  /// Announces that the engine leaves. It still accepts requests, so that the checkers can detect
  /// any that are sent to it.
  void announce_leave() { leaving_ = true; }

  bool up() const { return up_; }
  bool frozen() const { return frozen_; }
  bool leaving() const { return leaving_; }
  /// @return the load as of the last report, or an empty value while down or frozen.
  std::optional<EngineLoad> reported_load() const;
  const emulator::EngineModel& model() const { return *model_; }
  const Options& options() const { return options_; }
  ProcessLocation location() const { return {options_.name, options_.zone}; }

 private:
  void schedule_step();
  void refresh_report();

  const Options options_;
  EventQueue& events_;
  History& history_;
  std::unique_ptr<emulator::EngineModel> model_;
  std::map<std::string, EngineListener> listeners_;
  EngineLoad report_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t report_sequence_ = 0;
  /// Incremented by each start and kill; events of an earlier generation are ignored.
  std::uint64_t generation_ = 0;
  bool up_ = true;
  bool frozen_ = false;
  bool leaving_ = false;
  bool step_scheduled_ = false;
};

}  // namespace dockpoint::simulation
