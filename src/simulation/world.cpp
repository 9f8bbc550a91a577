#include "simulation/world.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"

namespace dockpoint::simulation {
namespace {

constexpr Duration kClientRetryPause{1'000'000};
constexpr Duration kClientTimeout{8'000'000};
constexpr int kFirstEnginePort = 9001;
constexpr int kOnlineResends = 20;
/// A caller closes its connection this long after the deadline.
constexpr Duration kCloseDelayAfterDeadline{5'000'000};

std::string zone_name(int index) {
  return "zone-" + std::to_string(index + 1);
}

}  // namespace

World::World(const Deployment& deployment, const Mechanisms& mechanisms, std::uint64_t seed)
    : deployment_(deployment),
      random_(seed),
      network_(events_, combine_hash(seed, 1)),
      log_(events_, combine_hash(seed, 2)) {
  knobs_.mechanisms = mechanisms;
  knobs_.checkpoint_records = 200;  // Small enough for short runs to write checkpoints.
  for (int index = 0; index < deployment.engines; ++index) {
    SimEngine::Options options;
    options.name = "engine-" + std::to_string(index + 1);
    options.address = "127.0.0.1:" + std::to_string(kFirstEnginePort + index);
    options.zone = zone_name(index % deployment.zones);
    options.parameters.slots = deployment.slots;
    options.parameters.step_base = Duration(deployment.step_us);
    engines_[options.name] = std::make_unique<SimEngine>(options, events_, history_);
  }
  std::vector<std::string> seeds;
  for (int index = 0; index < deployment.nodes; ++index) {
    SimNode::Options options;
    options.name = "node-" + std::to_string(index + 1);
    options.zone = zone_name(index % deployment.zones);
    options.peer_address = "peer:" + options.name;
    options.api_address = "api:" + options.name;
    options.knobs = knobs_;
    options.seed = combine_hash(seed, 100 + static_cast<std::uint64_t>(index));
    if (seeds.size() < 2) {
      seeds.push_back(options.peer_address);
    }
    options.seeds = seeds;
    const int spread = deployment.clock_spread_percent;
    if (spread > 0) {
      const std::uint64_t steps = 2 * static_cast<std::uint64_t>(spread) + 1;
      options.clock_rate = 1.0 + (static_cast<int>(random_() % steps) - spread) / 100.0;
    }
    nodes_[options.name] = std::make_unique<SimNode>(options, *this);
  }
  list_versions_.push_back({TimePoint{}, {}});
  set_leaving("", false);
  list_versions_.erase(list_versions_.begin());
  list_versions_.front().since = TimePoint(-Duration(std::chrono::hours(1)));
}

void World::start() {
  for (auto& [name, node] : nodes_) {
    node->start();
  }
  apply_configuration("first", "node-1", 0);
}

SimNode* World::node(const std::string& name) {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? nullptr : found->second.get();
}

SimNode* World::node_at_peer_address(const std::string& address) {
  constexpr std::string_view kPrefix = "peer:";
  return address.starts_with(kPrefix) ? node(address.substr(kPrefix.size())) : nullptr;
}

SimNode* World::node_at_api_address(const std::string& address) {
  constexpr std::string_view kPrefix = "api:";
  return address.starts_with(kPrefix) ? node(address.substr(kPrefix.size())) : nullptr;
}

SimEngine* World::engine(const std::string& name) {
  const auto found = engines_.find(name);
  return found == engines_.end() ? nullptr : found->second.get();
}

SimEngine* World::engine_at(const std::string& address) {
  const auto found = std::find_if(engines_.begin(), engines_.end(), [&](const auto& entry) {
    return entry.second->options().address == address;
  });
  return found == engines_.end() ? nullptr : found->second.get();
}

std::vector<std::string> World::processes_in(const std::string& target) const {
  std::vector<std::string> members;
  for (const auto& [name, node] : nodes_) {
    if (name == target || node->options().zone == target) {
      members.push_back(name);
    }
  }
  for (const auto& [name, engine] : engines_) {
    if (name == target || engine->options().zone == target) {
      members.push_back(name);
    }
  }
  return members;
}

std::vector<MachineEntry> World::machine_list() {
  const TimePoint now = list_stale_ ? list_stale_since_ : events_.now();
  const TimePoint shown_until = now - std::chrono::milliseconds(deployment_.list_lag_ms);
  std::vector<MachineEntry> shown = list_versions_.front().machines;
  for (const ListVersion& version : list_versions_) {
    if (version.since <= shown_until) {
      shown = version.machines;
    }
  }
  return shown;
}

void World::set_leaving(const std::string& name, bool leaving) {
  leaving_[name] = leaving;
  ListVersion version{events_.now(), {}};
  for (const auto& [node_name, node] : nodes_) {
    version.machines.push_back({node->options().peer_address, true, leaving_[node_name]});
  }
  for (const auto& [engine_name, engine] : engines_) {
    version.machines.push_back({engine->options().address, false, leaving_[engine_name]});
  }
  list_versions_.push_back(std::move(version));
}

void World::set_list_stale(bool stale) {
  if (list_stale_ && !stale) {
    history_.stale_list_periods.push_back({list_stale_since_, events_.now()});
  }
  if (!list_stale_) {
    list_stale_since_ = events_.now();
  }
  list_stale_ = stale;
}

std::string World::document(const std::string& tag) const {
  std::string engines;
  for (const auto& [name, engine] : engines_) {
    engines += std::string(engines.empty() ? "" : ",") + R"({"name":")" + name +
               R"(","address":")" + engine->options().address + R"(","model":"lm","slots":)" +
               std::to_string(deployment_.slots) + R"(,"labels":{"zone":")" +
               engine->options().zone + R"("}})";
  }
  return R"({"partitions":)" + std::to_string(deployment_.partitions) + R"(,"engines":[)" +
         engines + R"(],"services":[{"name":"lm","model":"lm"}],"tenants":[{"name":")" + tag +
         R"("}]})";
}

int World::file_tokens(const std::string& file_id) const {
  const auto found = file_tokens_.find(file_id);
  return found == file_tokens_.end() ? 1 : found->second;
}

std::string World::next_node(const std::string& after) {
  auto found = nodes_.upper_bound(after);
  return found == nodes_.end() ? nodes_.begin()->first : found->first;
}

ProcessLocation World::client_location(const SimNode& node) const {
  return {"client", node.options().zone};
}

void World::submit_job(const std::string& name, JobSpec job, const std::string& through) {
  JobObservation& observation = history_.jobs[name];
  observation.name = name;
  observation.key = job.content_digest;
  observation.tenant = job.tenant;
  observation.file_id = job.input_file_id;
  observation.items = job.items;
  observation.repeatable = job.repeatable;
  try_submit(name, job, through, 0);
}

void World::try_submit(const std::string& name, const JobSpec& job, const std::string& through,
                       int attempt) {
  JobSpec sent = job;
  const std::string unique = mechanisms().job_keys
                                 ? hash128_hex(job.tenant + "\n" + job.content_digest)
                                 : hash128_hex(job.content_digest + std::to_string(random_()));
  sent.id = make_job_id(partition_of(unique, deployment_.partitions), unique);
  auto answered = std::make_shared<bool>(false);
  const auto retry = [this, name, job, through, attempt] {
    events_.after(kClientRetryPause, [this, name, job, through, attempt] {
      try_submit(name, job, next_node(through), attempt + 1);
    });
  };
  const JobReply reply = [this, name, answered, retry](const std::string& id,
                                                       const std::optional<Error>& error) {
    if (std::exchange(*answered, true)) {
      return;
    }
    if (error) {
      retry();
      return;
    }
    history_.trace(events_.now(), "job " + name + " accepted as " + id);
    JobObservation& observation = history_.jobs[name];
    if (observation.accepted_ids.empty()) {
      observation.accepted = events_.now();
    }
    observation.accepted_ids.push_back(id);
  };
  SimNode* target = node(through);
  if (target != nullptr && target->up()) {
    network_.message(
        client_location(*target), target->location(),
        [target, sent, reply] { target->create_job(sent, 0, reply); }, [] {});
  }
  events_.after(kClientTimeout, [answered, retry] {
    if (!std::exchange(*answered, true)) {
      retry();
    }
  });
}

void World::cancel_job(const std::string& name, const std::string& through) {
  try_cancel(name, through);
}

void World::try_cancel(const std::string& name, const std::string& through) {
  const auto retry = [this, name, through] {
    events_.after(kClientRetryPause,
                  [this, name, through] { try_cancel(name, next_node(through)); });
  };
  const JobObservation& observation = history_.jobs[name];
  SimNode* target = node(through);
  if (observation.accepted_ids.empty() || target == nullptr || !target->up()) {
    retry();
    return;
  }
  auto answered = std::make_shared<bool>(false);
  const JobReply reply = [this, name, answered, retry](const std::string&,
                                                       const std::optional<Error>& error) {
    if (std::exchange(*answered, true)) {
      return;
    }
    if (error && error->code == ResultCode::kConflict) {
      return;  // The job completed before the cancellation.
    }
    if (error) {
      retry();
      return;
    }
    history_.trace(events_.now(), "job " + name + " cancelled");
    history_.jobs[name].cancel_confirmed = true;
    history_.jobs[name].cancelled = events_.now();
  };
  const std::string id = observation.accepted_ids.front();
  network_.message(
      client_location(*target), target->location(),
      [target, id, reply] { target->cancel_job(id, 0, reply); }, [] {});
  events_.after(kClientTimeout, [answered, retry] {
    if (!std::exchange(*answered, true)) {
      retry();
    }
  });
}

void World::send_online(const OnlineSpec& spec, const std::string& through, bool resends) {
  try_online(spec, through, resends, 0);
}

void World::try_online(const OnlineSpec& spec, const std::string& through, bool resends,
                       int attempt) {
  const std::string name = attempt == 0 ? spec.name : spec.name + "#" + std::to_string(attempt);
  OnlineObservation& observation = history_.online[name];
  observation.name = spec.name;
  observation.tenant = spec.tenant;
  observation.key = spec.key;
  observation.repeatable = spec.repeatable;
  observation.node = through;
  observation.sent = events_.now();
  observation.expected = answer_for_prompt(spec.prompt);
  const auto end = [this, name, spec, through, resends, attempt](const std::string& how) {
    OnlineObservation& ended = history_.online[name];
    ended.ended = events_.now();
    history_.trace(events_.now(), "request " + name + " " + how);
    const bool final_answer = ended.answered || ended.code == ResultCode::kAlreadyAttempted;
    if (resends && !final_answer && attempt < kOnlineResends) {
      events_.after(kClientRetryPause, [this, spec, through, attempt] {
        try_online(spec, next_node(through), true, attempt + 1);
      });
    }
  };
  SimNode* target = node(through);
  if (target == nullptr || !target->up()) {
    observation.code = ResultCode::kPeerUnreachable;
    observation.run = RunState::kNotRun;
    observation.retry_after = 1;
    end("found no node");
    return;
  }
  auto ended = std::make_shared<bool>(false);
  OnlineReply reply;
  reply.first_token = [this, name] {
    OnlineObservation& started = history_.online[name];
    started.first_token = events_.now();
    ++started.first_token_count;
  };
  reply.answered = [this, name, ended, end](const std::string& answer) {
    if (std::exchange(*ended, true)) {
      return;
    }
    history_.online[name].answered = true;
    history_.online[name].answer = answer;
    end("answered");
  };
  reply.failed = [this, name, ended, end](const Error& error) {
    if (std::exchange(*ended, true)) {
      return;
    }
    OnlineObservation& failed = history_.online[name];
    failed.code = error.code;
    failed.run = error.run;
    failed.retry_after = error.retry_after.count();
    end("failed: " + std::string(describe(error.code).name));
  };
  reply.connection_lost = [this, name, ended, end] {
    if (std::exchange(*ended, true)) {
      return;
    }
    history_.online[name].connection_lost = true;
    end("lost its node");
  };
  network_.message(
      client_location(*target), target->location(),
      [target, spec, reply] {
        if (target->up()) {
          target->online(spec, reply);
        } else {
          reply.connection_lost();
        }
      },
      reply.connection_lost);
  events_.after(spec.deadline + kCloseDelayAfterDeadline, reply.connection_lost);
}

void World::apply_configuration(const std::string& tag, const std::string& through,
                                std::int64_t base) {
  SimNode* target = node(through);
  if (target == nullptr || !target->up()) {
    return;
  }
  const std::size_t index = history_.changes.size();
  const std::string id = tag + "-" + std::to_string(index);
  history_.changes.push_back({id, false, false, {}});
  const auto current = target->controller().configuration().current().revision;
  ConfigurationChange change{id, base < 0 ? current : static_cast<std::uint64_t>(base), tag,
                             document(tag)};
  const ChangeReply reply = [this, index](const ChangeOutcome& outcome) {
    ChangeObservation& observation = history_.changes[index];
    const bool taken =
        outcome.verdict == ChangeVerdict::kAccepted || outcome.verdict == ChangeVerdict::kDuplicate;
    observation.accepted = observation.accepted || taken;
    observation.refused = !observation.accepted;
    observation.answered = events_.now();
    history_.trace(events_.now(), "change " + observation.id + (taken ? " taken" : " refused"));
  };
  network_.message(
      client_location(*target), target->location(),
      [target, change, reply] { target->apply(change, reply); }, [] {});
}

void World::heal() {
  network_.heal();
  log_.heal();
  set_list_stale(false);
  for (auto& [name, engine] : engines_) {
    const bool leaves = leaving_[name] || engine->leaving();
    leaving_[name] = false;
    if (!engine->up() || leaves) {
      engine->kill();
      engine->restart();
    } else if (engine->frozen()) {
      engine->wake();
    }
  }
  set_leaving("", false);
  for (auto& [name, node] : nodes_) {
    if (!node->up()) {
      node->start();
    } else if (node->frozen()) {
      node->wake();
    }
  }
  history_.healed = events_.now();
  history_.trace(events_.now(), "all healed");
}

}  // namespace dockpoint::simulation
