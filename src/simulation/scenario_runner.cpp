#include "simulation/scenario_runner.hpp"

#include <algorithm>

namespace dockpoint::simulation {
namespace {

constexpr Duration kSettleStep{1'000'000};
/// Time simulated after the last job ended, in which late and duplicate records can still arrive.
constexpr Duration kLateRecordWait{20'000'000};

Duration to_duration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Executes scenario steps on a world.
class StepRunner {
 public:
  StepRunner(World& world, std::vector<Violation>& violations)
      : world_(world), violations_(violations) {}

  void operator()(const SubmitStep& step) const {
    JobSpec job;
    job.tenant = step.tenant;
    job.input_file_id = "file-of-" + step.job;
    job.endpoint = "/v1/chat/completions";
    job.service = "lm";
    job.items = step.items;
    job.repeatable = step.repeatable;
    job.priority = step.priority;
    job.created_at = 1'800'000'000;
    job.deadline = job.created_at + step.window_seconds;
    job.content_digest = step.job;
    world_.set_file_tokens(job.input_file_id, step.tokens);
    world_.submit_job(step.job, job, step.through);
  }

  void operator()(const ResendStep& step) const {
    const JobObservation& known = world_.history().jobs[step.job];
    JobSpec job;
    job.tenant = known.tenant;
    job.input_file_id = known.file_id;
    job.service = "lm";
    job.items = known.items;
    job.repeatable = known.repeatable;
    job.content_digest = known.key;
    world_.submit_job(step.job, job, step.through);
  }

  void operator()(const CancelStep& step) const { world_.cancel_job(step.job, step.through); }

  void operator()(const OnlineStep& step) const {
    const int count = static_cast<int>(step.rate * step.seconds);
    const Duration gap = to_duration(1.0 / step.rate);
    std::vector<std::string> nodes;
    for (const auto& [name, node] : world_.nodes()) {
      if (step.through == "all" || step.through == name) {
        nodes.push_back(name);
      }
    }
    for (int index = 0; index < count && !nodes.empty(); ++index) {
      OnlineSpec spec;
      spec.name = step.name + "-" + std::to_string(index);
      spec.prompt = spec.name;
      spec.tenant = step.tenant;
      spec.tokens = step.tokens;
      spec.repeatable = step.repeatable;
      spec.key = step.keys ? "key-" + spec.name : std::string{};
      spec.deadline = std::chrono::milliseconds(step.deadline_ms);
      const std::string through = nodes[static_cast<std::size_t>(index) % nodes.size()];
      World* world = &world_;
      world_.events().after(gap * index, [world, spec, through, resend = step.resend] {
        world->send_online(spec, through, resend);
      });
    }
  }

  void operator()(const ApplyStep& step) const {
    world_.apply_configuration(step.tag, step.through, step.base);
  }

  void operator()(const ProcessStep& step) const {
    for (const std::string& name : world_.processes_in(step.target)) {
      if (SimNode* node = world_.node(name)) {
        act(*node, step.action);
      }
      if (SimEngine* engine = world_.engine(name)) {
        act(*engine, step.action);
      }
    }
  }

  void operator()(const FaultStep& step) const {
    world_.history().trace(world_.events().now(), "fault " + step.kind);
    if (step.kind == "log_down") {
      world_.log().set_down(true);
    } else if (step.kind == "log_slow") {
      world_.log().set_extra_latency(std::chrono::milliseconds(step.value));
    } else if (step.kind == "log_lose_answers") {
      world_.log().set_lost_answers(step.value);
    } else if (step.kind == "log_unreachable") {
      world_.log().set_unreachable(step.target, true);
    } else if (step.kind == "network_cut") {
      world_.network().cut(step.from, step.to);
      if (step.both_ways) {
        world_.network().cut(step.to, step.from);
      }
    } else if (step.kind == "network_loss") {
      world_.network().set_loss(step.value);
    } else if (step.kind == "network_doubling") {
      world_.network().set_duplication(step.value);
    } else if (step.kind == "network_delay") {
      world_.network().set_extra_delay(std::chrono::milliseconds(step.value));
    } else if (step.kind == "list_stale") {
      world_.set_list_stale(true);
    }
  }

  /// Ends platform and network faults. Killed processes are not restarted.
  void operator()(const HealStep&) const {
    world_.network().heal();
    world_.log().heal();
    world_.set_list_stale(false);
    world_.history().trace(world_.events().now(), "healed");
  }

  void operator()(const ExpectStep& step) const {
    if (!step.node.empty()) {
      expect_revision(step);
      return;
    }
    const JobObservation& job = world_.history().jobs[step.job];
    std::string status = "unknown";
    for (const auto& [name, node] : world_.nodes()) {
      for (const JobState* state :
           node->up() ? node->controller().jobs_of("") : std::vector<const JobState*>{}) {
        if (!job.accepted_ids.empty() && state->spec.id == job.accepted_ids.front()) {
          status = state->in_progress()                       ? "in_progress"
                   : state->status() == JobStatus::kCompleted ? "completed"
                                                              : "cancelled";
        }
      }
    }
    if (status != step.status) {
      violations_.push_back(
          {"expect", "job " + step.job + " is " + status + ", expected " + step.status});
    }
  }

 private:
  void expect_revision(const ExpectStep& step) const {
    const SimNode* node = world_.node(step.node);
    const auto revision =
        node != nullptr && node->up()
            ? static_cast<std::int64_t>(node->controller().configuration().current().revision)
            : -1;
    if (revision != step.revision) {
      violations_.push_back({"expect", step.node + " is on revision " + std::to_string(revision) +
                                           ", expected " + std::to_string(step.revision)});
    }
  }

  void act(SimNode& node, const std::string& action) const {
    if (action == "kill") {
      node.kill();
    } else if (action == "restart" && !node.up()) {
      node.start();
    } else if (action == "freeze") {
      node.freeze();
    } else if (action == "wake") {
      node.wake();
    } else if (action == "drain" || action == "leave") {
      node.drain();
    }
  }

  void act(SimEngine& engine, const std::string& action) const {
    if (action == "kill") {
      engine.kill();
    } else if (action == "restart" && !engine.up()) {
      engine.restart();
    } else if (action == "freeze") {
      engine.freeze();
    } else if (action == "wake") {
      engine.wake();
    } else if (action == "leave") {
      world_.history().leaves.push_back({engine.options().name, world_.events().now(), false});
      world_.set_leaving(engine.options().name, true);
    } else if (action == "drain") {
      world_.history().leaves.push_back({engine.options().name, world_.events().now(), true});
      engine.announce_leave();
    }
  }

  World& world_;
  std::vector<Violation>& violations_;
};

/// Adds the final membership and partition state of each node to the trace, for diagnosis.
void trace_final_state(World& world) {
  for (const auto& [name, node] : world.nodes()) {
    if (!node->up()) {
      continue;
    }
    std::string line = "end " + name + " sees";
    for (const Member* member : node->controller().membership().eligible_owners()) {
      line += " " + member->id;
    }
    world.history().trace(world.events().now(), line);
    for (const PartitionStatus& status : node->controller().partition_statuses()) {
      world.history().trace(
          world.events().now(),
          "end " + name + " partition " + std::to_string(status.partition) + " epoch " +
              std::to_string(status.epoch) + " owner " + status.owner + " preferred " +
              status.preferred + (status.owned_here ? " owned" : "") +
              (status.caught_up ? " caught-up" : "") + (status.quiescent ? " quiescent" : ""));
    }
  }
}

/// Restarts nodes that stopped after all faults ended, as an operator would replace machines.
void restart_stopped_nodes(World& world) {
  for (const auto& [name, node] : world.nodes()) {
    if (!node->up()) {
      node->start();
    }
  }
}

}  // namespace

RunReport run_scenario(const Scenario& scenario, const RunOptions& options) {
  World world(scenario.deployment, options.mechanisms, scenario.seed);
  if (options.keep_lines) {
    world.history().keep_lines();
  }
  RunReport report;
  world.start();
  for (const Step& step : scenario.steps) {
    world.events().at(TimePoint(to_duration(step.at)), [&world, &report, &step] {
      std::visit(StepRunner(world, report.violations), step.action);
    });
  }
  world.events().run_until(TimePoint(to_duration(scenario.end)));
  world.heal();
  const TimePoint limit = world.events().now() + to_duration(scenario.settle);
  while (!all_ended(world) && world.events().now() < limit) {
    world.events().run_until(world.events().now() + kSettleStep);
    restart_stopped_nodes(world);
  }
  world.events().run_until(world.events().now() + kLateRecordWait);
  trace_final_state(world);
  const std::vector<Violation> found = check_properties(world, scenario);
  report.violations.insert(report.violations.end(), found.begin(), found.end());
  report.digest = world.history().digest();
  report.simulated_seconds =
      std::chrono::duration<double>(world.events().now().time_since_epoch()).count();
  report.events = world.events().executed();
  report.engine_starts = world.history().starts.size();
  report.lines = world.history().lines();
  return report;
}

}  // namespace dockpoint::simulation
