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

/// A request as an engine gets it.
struct EngineRequest {
  std::string id;       ///< Unique to the attempt.
  std::string subject;  ///< For the history.
  std::string prompt;
  int tokens = 1;
  bool batch_class = false;  ///< Priority class that the engine is told.
  bool is_batch = false;     ///< What it is in truth, for the history.
};

/// What an attempt hears from its engine.
struct EngineListener {
  std::function<void()> first_token;
  std::function<void(const std::string& answer)> completed;
  std::function<void()> broken;  ///< The engine died or the sequence was cancelled.
  std::string prompt;            ///< Filled in by the engine.
};

/// An engine in simulated time: the emulator's model, stepped by the event queue.
class SimEngine {
 public:
  struct Options {
    std::string name;
    std::string address;
    std::string zone;
    emulator::EngineParameters parameters;
    Duration report_interval{200'000};  ///< The load that is reported is this old at most.
  };

  SimEngine(Options options, EventQueue& events, History& history);

  /// @return false if the engine refuses. Only while it is up.
  bool submit(const EngineRequest& request, EngineListener listener);
  void cancel(const std::string& id);

  void kill();
  void restart();
  /// Stops making progress, without answering or breaking anything.
  void freeze() { frozen_ = true; }
  void wake();
  /// Announces that it leaves; it still takes what is sent, so that the checkers see it.
  void announce_leave() { leaving_ = true; }

  bool up() const { return up_; }
  bool frozen() const { return frozen_; }
  bool leaving() const { return leaving_; }
  /// @return the load as of the last report, or nothing while down or frozen.
  std::optional<EngineLoad> reported_load() const;
  const emulator::EngineModel& model() const { return *model_; }
  const Options& options() const { return options_; }
  Place place() const { return {options_.name, options_.zone}; }

 private:
  void schedule_step();
  void take_report();

  const Options options_;
  EventQueue& events_;
  History& history_;
  std::unique_ptr<emulator::EngineModel> model_;
  std::map<std::string, EngineListener> listeners_;
  EngineLoad report_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t report_sequence_ = 0;
  std::uint64_t generation_ = 0;  ///< Of the process, so that its events die with it.
  bool up_ = true;
  bool frozen_ = false;
  bool leaving_ = false;
  bool step_scheduled_ = false;
};

}  // namespace dockpoint::simulation
