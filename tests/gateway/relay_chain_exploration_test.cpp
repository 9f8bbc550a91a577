/// Explores how stale a node's view can become where records pass through other nodes: from the log
/// to a reader, from there to a relay, and on to every other node (a leaf).
///
/// The nodes of a zone run the production FleetWatch, RelayedLog and RecordServer in simulated
/// time, on one simulated log and with simulated links. Readers, relays and leaves are refused by
/// the log or get no answers from it, freeze, die and start again, become slow or are cut off from
/// the other nodes; the log goes down, falls silent and loses its history. Failures occur in series
/// and overlap. Meanwhile the operator changes the configuration and evacuates a zone, and replicas
/// drain, register and leave, so that the division of large services changes.
///
/// The rule: while neither the log nor a node itself has failed for `kSettleMs`, the node's view
/// contains every change that was confirmed longer ago than the bound, whatever happens to the
/// nodes that it reads from. Nothing in a view goes back to an older state, and the nodes make few
/// calls to the log.

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "emulator/memory_log.hpp"
#include "gateway/fleet_watch.hpp"
#include "gateway/gateway_surroundings.hpp"
#include "gateway/record_server.hpp"
#include "gateway/relayed_log.hpp"
#include "support/fleet.hpp"
#include "support/fleet_exploration.hpp"

using namespace dockpoint;
using dockpoint::test::at;
using dockpoint::test::ConfirmedChange;
using dockpoint::test::DisabledLogging;
using dockpoint::test::kConfigurationKey;
using dockpoint::test::kEvacuatedZone;
using dockpoint::test::kTopics;
using dockpoint::test::LinkFault;
using dockpoint::test::LogLink;
using dockpoint::test::number_from_environment;
using dockpoint::test::PlainReader;

namespace {

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kTickMs = 50;
constexpr std::int64_t kSlowTickMs = 350;
constexpr std::int64_t kCheckMs = 50;
constexpr std::int64_t kRunMs = 40'000;
constexpr std::int64_t kBoundMs = 5'000;
/// Time after the last failure of the log or of a node itself until the node must meet the bound.
constexpr std::int64_t kSettleMs = 6'000;
/// Time until the membership protocol declares a node dead, or alive again.
constexpr std::int64_t kDeclaredDeadMs = 3'000;
constexpr std::int64_t kDeclaredAliveMs = 300;
/// Nodes of the zone: two readers, three relays and the leaves.
constexpr std::size_t kNodes = 70;
/// Limit of the mean calls to the log per node and second, also while the log fails.
constexpr double kMaxMeanCalls = 2.0;
constexpr std::uint64_t kSeedsInCi = 60;

const std::string kZone = "zone-a";
constexpr RelayedLog::Thresholds kThresholds{10, 100, 10};

/// Parameters of a run.
struct Setup {
  Knobs knobs;
  /// Replicas at the start. From more than `ReplicaSubset::kUndivided` on, nodes use a part.
  std::size_t replicas = 40;
  /// Replicas that register or leave at once, so that the division changes.
  std::size_t group = 0;
};

enum class Role { kReader, kRelay, kLeaf };

class ChainSimulation;

/// Sends record requests between simulated nodes.
class SimulatedTransport : public RecordTransport {
 public:
  SimulatedTransport(ChainSimulation& world, std::size_t node) : world_(world), node_(node) {}
  void ask(const std::string& address, const RecordQuestion& question, Duration limit,
           std::function<void(RecordReply)> done) override;

 private:
  ChainSimulation& world_;
  const std::size_t node_;
};

/// One run of a node between two restarts.
struct NodeRun : test::GatewaySurroundings {
  NodeRun(ChainSimulation& world, MemoryLog& log, const Setup& setup, std::size_t index,
          RelayedLog::Clock clock, std::uint64_t seed);

  void tick(TimePoint now) {
    if (watch.replicas_known()) {
      relayed.set_replicas(watch.replicas());
    }
    relayed.tick(now);
    watch.set_relaying(relayed.relays(), relayed.passes_on());
    watch.tick(now, 0);
    server.tick(now);
  }

  PlainReader reader;
  LogLink link;
  SimulatedTransport transport;
  RelayedLog relayed;
  RecordServer server;
  FleetWatch watch;
};

std::string name_of(std::size_t index) {
  return "node-" + std::to_string(index);
}

struct Node {
  std::unique_ptr<NodeRun> instance;  ///< None while the process is gone.
  LinkFault link = LinkFault::kNone;
  bool cut = false;  ///< Cut off from the other nodes.
  bool frozen = false;
  bool slow = false;
  std::int64_t settled_at = kSettleMs;
  std::uint64_t version_seen = 0;
  std::set<std::string> seen_draining;
  std::size_t calls = 0;  ///< Calls to the log of earlier runs.
};

/// Violations found in one run.
struct Findings {
  std::size_t stale = 0;
  std::size_t regressions = 0;
  std::size_t disagreements = 0;
  double mean_calls = 0;
  std::int64_t worst_age_ms = 0;  ///< Greatest age of a settled node's view, by its own account.
  std::string first;

  bool none() const { return stale + regressions + disagreements == 0; }
};

class ChainSimulation {
 public:
  ChainSimulation(const Setup& setup, std::uint64_t seed)
      : setup_(setup), random_(seed), nodes_(kNodes), members_(kNodes) {
    for (std::size_t index = 0; index < kNodes; ++index) {
      Member& member = members_[index];
      member.id = name_of(index);
      member.zone = kZone;
      member.control_address = std::to_string(index);
      member.capabilities = kAllCapabilities;
      alive_.push_back(&member);
    }
    find_roles();
    for (std::size_t count = 0; count < setup.replicas; ++count) {
      add_replica();
    }
    publish_configuration();
    for (std::size_t index = 0; index < kNodes; ++index) {
      start(index);
    }
  }

  Findings run() {
    for (now_ = 0; now_ < kRunMs; now_ += kStepMs) {
      step();
    }
    check_agreement();
    std::size_t calls = 0;
    for (const Node& node : nodes_) {
      calls += node.calls + (node.instance ? node.instance->link.calls() : 0);
    }
    constexpr double kMsPerSecond = 1'000;
    findings_.mean_calls = static_cast<double>(calls) / kNodes / (kRunMs / kMsPerSecond);
    return findings_;
  }

  TimePoint now() const { return at(now_); }

  /// Carries a record request from one node to another and its reply back.
  void ask(std::size_t from, std::size_t to, const RecordQuestion& question, Duration limit,
           std::function<void(RecordReply)> done) {
    const NodeRun* const asker = nodes_[from].instance.get();
    const auto over = std::make_shared<bool>(false);
    // The answer, or the timeout, reaches the node that asked when its process runs.
    const auto end = [this, from, asker, over, done = std::move(done)](const RecordReply& reply) {
      if (nodes_[from].instance.get() == asker && !std::exchange(*over, true)) {
        done(reply);
      }
    };
    at_node(from, to_ms(limit), [end] { end({}); });
    if (nodes_[to].instance == nullptr) {
      at_node(from, kRefusedConnectionMs, [end] { end({}); });
      return;
    }
    if (nodes_[from].cut || nodes_[to].cut) {
      return;
    }
    const NodeRun* const server = nodes_[to].instance.get();
    at_node(to, latency(to), [this, from, to, server, question, end] {
      Node& source = nodes_[to];
      if (source.instance.get() != server) {
        return;
      }
      source.instance->server.serve(
          question, now(), [this, from, to, end](const std::optional<RecordAnswer>& answer) {
            if (nodes_[from].cut || nodes_[to].cut) {
              return;
            }
            at_node(from, latency(to), [end, reply = RecordReply{answer, !answer}] { end(reply); });
          });
    });
  }

 private:
  static constexpr std::int64_t kRefusedConnectionMs = 1;

  struct Event {
    std::int64_t at = 0;
    std::size_t node = kNodes;  ///< The event waits while this node is frozen.
    std::function<void()> run;
  };

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  std::int64_t latency(std::size_t node) {
    const std::uint64_t longest = nodes_[node].slow ? 600 : 15;
    return static_cast<std::int64_t>(1 + draw(longest));
  }
  void schedule(std::int64_t delay, std::function<void()> run) {
    at_node(kNodes, delay, std::move(run));
  }
  void at_node(std::size_t node, std::int64_t delay, std::function<void()> run) {
    events_.push_back({now_ + delay, node, std::move(run)});
  }

  void find_roles() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      RecordSources sources(name_of(index), kZone, std::chrono::milliseconds(kBoundMs));
      sources.update(alive_);
      const Role role = sources.has_no_sources() ? Role::kReader
                        : sources.passes_on()    ? Role::kRelay
                                                 : Role::kLeaf;
      by_role_[role].push_back(index);
    }
  }

  void step() {
    log_.advance(now());
    std::vector<Event> events;
    std::swap(events, events_);
    for (Event& event : events) {
      const bool waits = event.node < kNodes && nodes_[event.node].frozen;
      if (event.at <= now_ && !waits) {
        event.run();
      } else {
        events_.push_back(std::move(event));
      }
    }
    constexpr std::int64_t kCalmEndMs = 13'000;
    if (now_ >= next_failure_ && now_ < kRunMs - kCalmEndMs) {
      fail_something();
      next_failure_ = now_ + 200 + static_cast<std::int64_t>(draw(4'000));
    }
    constexpr std::int64_t kLastChangeMs = 7'000;
    if (now_ >= next_change_ && now_ < kRunMs - kLastChangeMs) {
      change_something();
      next_change_ = now_ + 200 + static_cast<std::int64_t>(draw(2'000));
    }
    for (std::size_t index = 0; index < kNodes; ++index) {
      step_node(index);
    }
    if (now_ % kCheckMs == 0) {
      check();
    }
  }

  void step_node(std::size_t index) {
    Node& node = nodes_[index];
    if (node.frozen || node.instance == nullptr) {
      return;
    }
    node.instance->link.advance(now());
    const std::int64_t tick = node.slow ? kSlowTickMs : kTickMs;
    if ((now_ + static_cast<std::int64_t>(index) * kStepMs) % tick == 0) {
      node.instance->tick(now());
    }
  }

  void start(std::size_t index) {
    Node& node = nodes_[index];
    node.instance = std::make_unique<NodeRun>(
        *this, log_, setup_, index, [this] { return now(); }, random_());
    node.instance->watch.set_record_server(node.instance->server);
    node.instance->link.advance(now());
    node.instance->link.set_fault(node.link);
    node.instance->relayed.expect_others(true);
    node.instance->relayed.others_run();
    node.instance->relayed.set_members(alive_);
    node.version_seen = 0;
    node.seen_draining.clear();
    touch(node);
  }

  void stop(std::size_t index) {
    Node& node = nodes_[index];
    if (node.instance != nullptr) {
      node.calls += node.instance->link.calls();
      node.instance.reset();
    }
    touch(node);
  }

  /// Tells all nodes, after some time, whether a node answers.
  void declare(std::size_t index) {
    const auto answers = [this, index] {
      return nodes_[index].instance != nullptr && !nodes_[index].frozen;
    };
    schedule(answers() ? kDeclaredAliveMs : kDeclaredDeadMs, [this, index, answers] {
      const Member* const member = &members_[index];
      std::erase(alive_, member);
      if (answers()) {
        alive_.push_back(member);
      }
      for (Node& node : nodes_) {
        if (node.instance != nullptr) {
          node.instance->relayed.set_members(alive_);
        }
      }
    });
  }

  void touch(Node& node) { node.settled_at = std::max(node.settled_at, now_ + kSettleMs); }
  void touch_all() {
    for (Node& node : nodes_) {
      touch(node);
    }
  }

  void fail_something() {
    const auto length = static_cast<std::int64_t>(100 + draw(7'000));
    switch (draw(12)) {
      case 0:
        fail_log([](MemoryLogFaults& faults, bool on) { faults.silent = on; }, length);
        break;
      case 1:
        fail_log([](MemoryLogFaults& faults, bool on) { faults.down = on; }, length);
        break;
      case 2:
        log_.forget_history();
        break;
      case 3:
      case 4:
      case 5: {
        // The log turns some nodes away, often those that read the most.
        const LinkFault fault = draw(2) == 0 ? LinkFault::kRefused : LinkFault::kSilent;
        for (const std::size_t index : choose_nodes(draw(4) == 0)) {
          fail_link(index, fault, length);
        }
        break;
      }
      default:
        for (const std::size_t index : choose_nodes(false)) {
          fail_node(index, length);
        }
    }
    change_soon();
  }

  /// @return the readers, the relays, both, or some nodes of any role.
  std::vector<std::size_t> choose_nodes(bool third_of_all) {
    std::vector<std::size_t> chosen;
    const std::uint64_t roles = draw(4);
    const bool readers = roles == 0 || roles == 2;
    const bool relays = roles == 1 || roles == 2;
    for (std::size_t index = 0; index < kNodes; ++index) {
      const bool is_reader = has_role(index, Role::kReader);
      const bool is_relay = has_role(index, Role::kRelay);
      const bool named = (is_reader && readers) || (is_relay && relays);
      const std::uint64_t one_in = third_of_all ? 3 : 12;
      if ((named && draw(5) > 0) || draw(one_in) == 0) {
        chosen.push_back(index);
      }
    }
    return chosen;
  }
  bool has_role(std::size_t index, Role role) const {
    const std::vector<std::size_t>& nodes = by_role_.at(role);
    return std::find(nodes.begin(), nodes.end(), index) != nodes.end();
  }

  void fail_log(const std::function<void(MemoryLogFaults&, bool)>& set, std::int64_t length) {
    set(log_.faults, true);
    ++log_failures_;
    schedule(length, [this, set] {
      set(log_.faults, false);
      --log_failures_;
      touch_all();
      change_soon();
    });
  }

  void fail_link(std::size_t index, LinkFault fault, std::int64_t length) {
    set_link(index, fault);
    schedule(length, [this, index] {
      set_link(index, LinkFault::kNone);
      change_soon();
    });
  }
  void set_link(std::size_t index, LinkFault fault) {
    Node& node = nodes_[index];
    node.link = fault;
    if (node.instance != nullptr) {
      node.instance->link.set_fault(fault);
    }
    touch(node);
  }

  void fail_node(std::size_t index, std::int64_t length) {
    Node& node = nodes_[index];
    if (node.instance == nullptr || node.frozen || node.cut || node.slow) {
      return;
    }
    const auto during = [&](bool Node::*state) {
      node.*state = true;
      declare(index);
      schedule(length, [this, index, state] {
        nodes_[index].*state = false;
        touch(nodes_[index]);
        declare(index);
        change_soon();
      });
    };
    switch (draw(4)) {
      case 0:
        during(&Node::frozen);
        break;
      case 1:
        during(&Node::cut);
        break;
      case 2:
        during(&Node::slow);
        break;
      default:
        stop(index);
        declare(index);
        schedule(length / 2, [this, index] {
          start(index);
          declare(index);
        });
    }
  }

  /// Schedules a change just after a failure, when a stale view is most likely.
  void change_soon() { next_change_ = now_ + static_cast<std::int64_t>(draw(800)); }

  void change_something() {
    if (!log_.faults.calm()) {
      return;  // Neither the operator nor a replica can write.
    }
    switch (draw(5)) {
      case 0:
        publish_configuration();
        break;
      case 1:
        change_evacuation();
        break;
      case 2:
        if (setup_.group > 0) {
          resize();
          break;
        }
        add_replica();
        drain(1);
        break;
      default:
        drain(1 + draw(3));
    }
  }

  void publish_configuration() {
    version_ += 1 + draw(4);
    put(kTopics.configuration, kConfigurationKey, std::to_string(version_));
    confirmed_changes_.push_back({now_, version_, {}});
  }

  void change_evacuation() {
    ++evacuation_changes_;
    put(kTopics.configuration, kTopics.evacuation_prefix + kEvacuatedZone, evacuated() ? "{}" : "");
    confirmed_changes_.push_back({now_, 0, {}, evacuation_changes_});
  }
  bool evacuated() const { return evacuation_changes_ % 2 == 1; }

  void add_replica() {
    ready_.push_back("r" + std::to_string(replicas_++));
    put(kTopics.replicas, ready_.back(), "ready");
  }

  /// Some replicas register at once, or leave at once without having drained.
  void resize() {
    const bool grow = ready_.size() < setup_.replicas;
    for (std::size_t count = 0; count < setup_.group; ++count) {
      if (grow) {
        add_replica();
      } else if (!ready_.empty()) {
        put(kTopics.replicas, take_ready(), "");
      }
    }
  }

  void drain(std::size_t count) {
    for (; count > 0 && !ready_.empty(); --count) {
      const std::string replica = take_ready();
      put(kTopics.replicas, replica, "draining");
      confirmed_changes_.push_back({now_, 0, replica});
      constexpr std::int64_t kDrainMs = 20'000;
      schedule(kDrainMs, [this, replica] { put(kTopics.replicas, replica, ""); });
    }
  }

  std::string take_ready() {
    const std::size_t index = draw(ready_.size());
    std::string replica = std::move(ready_[index]);
    ready_[index] = std::move(ready_.back());
    ready_.pop_back();
    return replica;
  }

  void put(const TopicPartition& partition, const std::string& key, const std::string& value) {
    log_.append(partition, {{key, value, 0}}, std::nullopt, [](const AppendOutcome&) {});
  }

  bool settled(const Node& node) const {
    return node.instance != nullptr && !node.frozen && !node.cut && !node.slow &&
           node.link == LinkFault::kNone && log_failures_ == 0 && now_ >= node.settled_at;
  }

  void check() {
    while (!confirmed_changes_.empty() && confirmed_changes_.front().confirmed_at < now_ - 15'000) {
      confirmed_changes_.pop_front();
    }
    for (std::size_t index = 0; index < kNodes; ++index) {
      const Node& node = nodes_[index];
      if (node.instance != nullptr) {
        check_age(index);
        check_order(index);
      }
    }
  }

  void check_age(std::size_t index) {
    const Node& node = nodes_[index];
    if (!settled(node)) {
      return;
    }
    const FleetWatch& watch = node.instance->watch;
    const Duration age =
        std::max(watch.replicas_age(now()).age, watch.configuration_age(now()).age);
    findings_.worst_age_ms = std::max(findings_.worst_age_ms, to_ms(age));
    for (const ConfirmedChange& change : confirmed_changes_) {
      if (now_ <= change.confirmed_at + kBoundMs ||
          knows(*node.instance, change, evacuation_changes_)) {
        continue;
      }
      ++findings_.stale;
      note(index,
           (change.version > 0      ? "has a stale configuration"
            : change.evacuation > 0 ? "missed an evacuation change"
                                    : "treats a draining replica as ready: " + change.replica) +
               ", confirmed at " + std::to_string(change.confirmed_at));
    }
  }

  void check_order(std::size_t index) {
    Node& node = nodes_[index];
    const std::uint64_t version = node.instance->context.configuration->version;
    if (version < node.version_seen) {
      ++findings_.regressions;
      note(index, "went back to an older configuration");
    }
    node.version_seen = version;
    for (const ConfirmedChange& change : confirmed_changes_) {
      if (change.replica.empty()) {
        continue;
      }
      const Replica* replica = node.instance->directory.find(change.replica);
      if (replica != nullptr && replica->record.draining) {
        node.seen_draining.insert(change.replica);
      } else if (replica != nullptr && node.seen_draining.contains(change.replica)) {
        ++findings_.regressions;
        note(index, "treated a draining replica as ready again: " + change.replica);
      }
    }
  }

  /// After a period without failures every node uses the newest records of its subset only, and a
  /// node of a service that is not divided uses all of them.
  void check_agreement() {
    std::map<std::string, std::string> newest;
    for (const KeyedRecord& record : log_.history(kTopics.replicas)) {
      newest[record.key] = record.value;
    }
    std::erase_if(newest, [](const auto& entry) { return entry.second.empty(); });
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (nodes_[index].instance == nullptr) {
        continue;
      }
      std::map<std::string, std::string> known;
      for (const auto& [id, replica] : nodes_[index].instance->directory.all()) {
        known[id] = replica.record.draining ? "draining" : "ready";
      }
      const FleetWatch& watch = nodes_[index].instance->watch;
      std::map<std::string, std::string> expected;
      for (const auto& [id, value] : newest) {
        if (watch.uses(kService, {}, id)) {
          expected[id] = value;
        }
      }
      if (known != expected) {
        ++findings_.disagreements;
        note(index, "uses " + std::to_string(known.size()) + " replicas, expected " +
                        std::to_string(expected.size()) + " at the end");
      }
    }
  }

  void note(std::size_t index, const std::string& what) {
    if (findings_.first.empty()) {
      findings_.first = std::to_string(now_) + " ms: node " + std::to_string(index) + " " + what;
    }
  }

  static constexpr const char* kService = "lm";

  const Setup setup_;
  std::mt19937_64 random_;
  MemoryLog log_{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  std::vector<Node> nodes_;
  std::vector<Member> members_;
  std::vector<const Member*> alive_;
  std::map<Role, std::vector<std::size_t>> by_role_;
  std::vector<Event> events_;
  std::deque<ConfirmedChange> confirmed_changes_;
  std::vector<std::string> ready_;
  std::int64_t now_ = 0;
  std::int64_t next_failure_ = 6'000;
  std::int64_t next_change_ = 5'000;
  std::uint64_t evacuation_changes_ = 0;
  std::uint64_t version_ = 0;
  int replicas_ = 0;
  int log_failures_ = 0;
  Findings findings_;
};

void SimulatedTransport::ask(const std::string& address, const RecordQuestion& question,
                             Duration limit, std::function<void(RecordReply)> done) {
  world_.ask(node_, std::stoul(address), question, limit, std::move(done));
}

NodeRun::NodeRun(ChainSimulation& world, MemoryLog& log, const Setup& setup, std::size_t index,
                 RelayedLog::Clock clock, std::uint64_t seed)
    : GatewaySurroundings(setup.knobs, name_of(index)),
      link(log),
      transport(world, index),
      relayed(
          transport, link, clock, {kTopics.replicas, kTopics.configuration}, name_of(index), kZone,
          setup.knobs.freshness_bound,
          [this](const std::vector<ReplicaCount>& counts) { watch.take_counts(counts); },
          kThresholds),
      server(
          [this, clock](const TopicPartition& partition) {
            return partition == kTopics.replicas ? watch.replicas_age(clock())
                                                 : watch.configuration_age(clock());
          },
          [this](std::uint64_t node_hash, const KeyedRecord& record) {
            return watch.belongs_to(node_hash, record);
          },
          [this] { return watch.replica_counts(); }),
      watch(context, relayed, reader, kTopics, seed, [] {}) {}

Setup setup_of(std::uint64_t seed) {
  Setup setup;
  setup.knobs.freshness_bound = std::chrono::milliseconds(kBoundMs);
  // Every fourth fleet has a service whose division changes.
  constexpr std::uint64_t kDividedFleets = 4;
  if (seed % kDividedFleets == 0) {
    setup.replicas = 700;
    setup.group = 130;
  }
  return setup;
}

/// @return seeds with violations, each reported with its first one.
std::vector<std::uint64_t> explore(std::uint64_t first, std::uint64_t seeds) {
  const DisabledLogging logs_off;
  std::vector<std::uint64_t> found;
  std::int64_t worst_age_ms = 0;
  double most_calls = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const Findings findings = ChainSimulation(setup_of(seed), seed).run();
    worst_age_ms = std::max(worst_age_ms, findings.worst_age_ms);
    most_calls = std::max(most_calls, findings.mean_calls);
    if (!findings.none()) {
      found.push_back(seed);
      BOOST_TEST_MESSAGE("seed " << seed << ": " << findings.first << " (stale " << findings.stale
                                 << ", regressions " << findings.regressions << ", disagreements "
                                 << findings.disagreements << ")");
    }
  }
  BOOST_TEST_MESSAGE(found.size() << " of " << seeds << " seeds have violations; oldest view "
                                  << worst_age_ms << " ms, calls to the log " << most_calls
                                  << " per node and second at most");
  BOOST_TEST(most_calls < kMaxMeanCalls);
  return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_chain_exploration)

BOOST_AUTO_TEST_CASE(relayed_view_is_never_older_than_the_freshness_bound) {
  const std::uint64_t one_seed = number_from_environment("DOCKPOINT_RELAY_SEED", 0);
  if (one_seed > 0) {
    const Findings findings = ChainSimulation(setup_of(one_seed), one_seed).run();
    BOOST_TEST(findings.none(), findings.first);
    return;
  }
  const std::uint64_t first = number_from_environment("DOCKPOINT_RELAY_FIRST_SEED", 1);
  const auto found = explore(first, number_from_environment("DOCKPOINT_RELAY_SEEDS", kSeedsInCi));
  // The message is composed in any case.
  const std::uint64_t first_found = found.empty() ? 0 : found.front();
  BOOST_TEST(found.empty(), found.size() << " seeds have violations, first " << first_found);
}

BOOST_AUTO_TEST_SUITE_END()
