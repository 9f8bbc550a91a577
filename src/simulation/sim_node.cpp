#include "simulation/sim_node.hpp"

#include <algorithm>

#include "dockpoint/core/hash.hpp"
#include "simulation/sim_node_internal.hpp"
#include "simulation/world.hpp"

namespace dockpoint::simulation {
namespace {

constexpr Duration kTickInterval{50'000};
constexpr Duration kListInterval{1'000'000};
constexpr Duration kDrainLimit{60'000'000};
constexpr int kMaximumForwards = 2;
constexpr UnixSeconds kEpochStart = 1'800'000'000;

}  // namespace

SimNode::SimNode(Options options, World& world) : options_(std::move(options)), world_(world) {}

void SimNode::start() {
  ++generation_;
  up_ = true;
  frozen_ = false;
  draining_ = false;
  deferred_.clear();
  calls_.clear();
  followed_.clear();
  append_queues_.clear();
  appending_.clear();
  items_in_flight_.clear();
  cancelled_items_.clear();
  seen_revision_ = 0;
  log_reachable_ = true;
  log_answered_ = local_now();
  NodeOptions node;
  node.knobs = options_.knobs;
  node.self.id = options_.name;
  node.self.incarnation =
      static_cast<std::uint64_t>(world_.events().now().time_since_epoch().count()) + generation_;
  node.self.peer_address = options_.peer_address;
  node.self.api_address = options_.api_address;
  node.self.zone = options_.zone;
  node.seeds = options_.seeds;
  node.random_seed = combine_hash(options_.seed, generation_);
  controller_ = std::make_unique<NodeController>(node, static_cast<NodeActions&>(*this));
  world_.history().trace(world_.events().now(), "node " + options_.name + " starts");
  tick();
  poll_machines();
  read_configuration();
}

void SimNode::kill() {
  if (up_) {
    world_.history().trace(world_.events().now(), "node " + options_.name + " dies");
    exit(true);
  }
}

void SimNode::exit(bool drops_connections) {
  up_ = false;
  frozen_ = false;
  ++generation_;
  deferred_.clear();
  std::map<RequestNumber, OnlineCall> calls;
  calls.swap(calls_);
  for (auto& [number, call] : calls) {
    if (drops_connections) {
      world_.events().after(Duration{1'000}, call.reply.connection_lost);
    }
  }
}

void SimNode::freeze() {
  if (up_) {
    frozen_ = true;
    world_.history().trace(world_.events().now(), "node " + options_.name + " freezes");
  }
}

void SimNode::wake() {
  if (!frozen_) {
    return;
  }
  frozen_ = false;
  world_.history().trace(world_.events().now(), "node " + options_.name + " wakes");
  std::deque<std::function<void()>> deferred;
  deferred.swap(deferred_);
  for (const auto& action : deferred) {
    run(generation_, action);
  }
}

void SimNode::drain() {
  run(generation_, [this] {
    world_.history().drains.push_back({options_.name, world_.events().now()});
    world_.history().trace(world_.events().now(), "node " + options_.name + " drains");
    draining_ = true;
    drain_started_ = local_now();
    controller_->begin_drain();
    finish_drain();
  });
}

void SimNode::finish_drain() {
  const bool written = std::all_of(append_queues_.begin(), append_queues_.end(),
                                   [](const auto& queue) { return queue.second.empty(); });
  const bool complete = controller_->drained() && calls_.empty() && written;
  const bool given_up = local_now() - drain_started_ > kDrainLimit;
  if (!complete && !given_up && options_.knobs.mechanisms.drain) {
    world_.events().after(kTickInterval, guarded([this] { finish_drain(); }));
    return;
  }
  for (const auto& [number, call] : calls_) {
    world_.history().interrupted_by_drain.push_back(call.spec.name);
  }
  controller_->leave();
  world_.history().trace(world_.events().now(), "node " + options_.name + " stops");
  exit(true);
}

void SimNode::run(std::uint64_t generation, const std::function<void()>& action) {
  if (generation != generation_ || !up_) {
    return;
  }
  if (frozen_) {
    deferred_.push_back(action);
    return;
  }
  action();
  if (up_) {
    observe_configuration();
  }
}

std::function<void()> SimNode::guarded(std::function<void()> action) {
  return [this, generation = generation_, action = std::move(action)] { run(generation, action); };
}

void SimNode::observe_configuration() {
  const ConfigurationRevision& current = controller_->configuration().current();
  if (current.revision == seen_revision_) {
    return;
  }
  seen_revision_ = current.revision;
  world_.history().revisions.push_back(
      {world_.events().now(), options_.name, generation_, current.revision, current.change_id});
  world_.history().trace(world_.events().now(), "node " + options_.name + " has revision " +
                                                    std::to_string(current.revision));
}

TimePoint SimNode::local_now() const {
  const auto elapsed = static_cast<double>(world_.events().now().time_since_epoch().count());
  return TimePoint(Duration(static_cast<std::int64_t>(elapsed * options_.clock_rate)));
}

UnixSeconds SimNode::wall_clock() const {
  return kEpochStart +
         std::chrono::duration_cast<std::chrono::seconds>(local_now().time_since_epoch()).count();
}

void SimNode::tick() {
  controller_->tick(local_now(), wall_clock());
  world_.events().after(kTickInterval, guarded([this] { tick(); }));
}

void SimNode::poll_machines() {
  controller_->machines_listed(world_.machine_list(), local_now(), local_now());
  world_.events().after(kListInterval, guarded([this] { poll_machines(); }));
}

void SimNode::send(const std::string& address, const PeerMessage& message) {
  SimNode* target = world_.node_at_peer_address(address);
  if (target == nullptr) {
    return;
  }
  const std::string bytes = encode(message);
  world_.network().datagram(location(), target->location(), bytes.size(), [target, bytes] {
    if (const auto decoded = decode_peer_message(bytes)) {
      target->receive(*decoded);
    }
  });
}

void SimNode::receive(const PeerMessage& message) {
  run(generation_, [this, message] { controller_->peer_message(message, local_now()); });
}

void SimNode::fetch_configuration(const std::string& api_address) {
  SimNode* peer = world_.node_at_api_address(api_address);
  if (peer == nullptr || !peer->up() || peer->frozen()) {
    return;
  }
  const auto adopt = guard<ConfigurationRevision>([this](const ConfigurationRevision& revision) {
    controller_->configuration_fetched(revision, local_now());
  });
  world_.network().message(
      location(), peer->location(),
      [this, peer, adopt] {
        peer->run(peer->generation_, [this, peer, adopt] {
          const ConfigurationRevision revision = peer->controller_->configuration().current();
          world_.network().message(
              peer->location(), location(), [adopt, revision] { adopt(revision); }, [] {});
        });
      },
      [] {});
}

void SimNode::poll_load(const std::string& engine, const std::string& address) {
  SimEngine* target = world_.engine_at(address);
  if (target == nullptr) {
    return;
  }
  const auto report = guard<EngineLoad>([this, engine](const EngineLoad& load) {
    controller_->load_polled(engine, load, local_now());
  });
  world_.network().message(
      location(), target->location(),
      [this, target, report] {
        if (const std::optional<EngineLoad> load = target->reported_load()) {
          world_.network().message(
              target->location(), location(), [report, load] { report(*load); }, [] {});
        }
      },
      [] {});
}

bool SimNode::forward(int partition, int forwards, const std::function<void(SimNode&)>& send,
                      const std::function<void(const Error&)>& failed) {
  const OwnerHint owner = controller_->owner_of(partition);
  if (owner.is_self) {
    return false;
  }
  SimNode* target = world_.node_at_api_address(owner.api_address);
  if (target == nullptr || forwards >= kMaximumForwards) {
    failed(not_owner());
    return true;
  }
  const auto refused = guard<Error>([failed](const Error& error) { failed(error); });
  world_.network().message(
      location(), target->location(),
      [target, send, refused] {
        if (target->up()) {
          send(*target);
        } else {
          refused(not_owner());
        }
      },
      [refused] {
        refused(Error{ResultCode::kPeerUnreachable,
                      "no answer",
                      {},
                      RunState::kUnknown,
                      std::chrono::seconds(1)});
      });
  return true;
}

}  // namespace dockpoint::simulation
