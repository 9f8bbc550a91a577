/// Explores how nodes learn where a stream began: with lost and late messages, killed nodes, views
/// of the fleet seconds apart, nodes that are cut off or stand still, and a second software version
/// that appears while streams are open.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/membership/stream_origins.hpp"
#include "dockpoint/membership/witnesses.hpp"
#include "dockpoint/routing/version_records.hpp"

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 10;
constexpr int kReplicasPerVersion = 6;
constexpr Duration kStep = 10ms;
constexpr Duration kEnd = 24s;
constexpr Duration kSecondVersionAt = 6s;
constexpr Duration kFirstVersionGoneAt = 16s;
constexpr Duration kMaxViewDelay = 3s;
constexpr Duration kMaxMessageDelay = 8ms;
constexpr double kMessageLoss = 0.1;
constexpr Duration kKillInterval = 3s;
constexpr int kKilledAtOnce = 3;
constexpr Duration kRestartTime = 700ms;
/// Dead members stay in the other nodes' views for this long.
constexpr Duration kDeathNoticedAfter = 1s;
constexpr Duration kMaxStreamTime = 4s;

/// How often streams that were resumed went on rightly, wrongly or not at all.
struct Outcome {
  int right = 0;
  int mixed = 0;
  int refused = 0;       ///< Though a replica of the stream's version is in the node's view.
  int unservable = 0;    ///< Refused, and no replica of the version is in the node's view.
  int hash_differs = 0;  ///< A version chosen by hashing alone would have been another one.
  int messages = 0;
  int writes = 0;  ///< Changes of the log's records of versions.
  int reads = 0;   ///< Of the log's end, to confirm views.
  int streams = 0;
  int resumed() const { return right + mixed + refused; }
};

/// What a node that starts learns of the versions that served before.
enum class History {
  kRecords,  ///< Those that the log names.
  kNone,     ///< Nothing; it takes what it sees for all.
  kAge,      ///< Nothing; it claims no sole version until all earlier streams are over.
};

/// Time after which a node reads the records of versions, and its writes are confirmed.
constexpr Duration kLogTime = 30ms;

/// How nodes fall out of step with the fleet. Callers and replicas reach them all the same.
enum class OutOfStep {
  kCutOff,          ///< Each is cut off from the log and from all other nodes.
  kMembersLost,     ///< The same, and after a while they see no other member.
  kCutOffTogether,  ///< They are cut off from the log and the other nodes, but hear each other.
  kGroupLost,       ///< The same, and after a while they see no other member than each other.
  kLogOutOfReach,   ///< They are cut off from the log only.
  kSuspended,       ///< They do nothing; what reaches them waits.
};

/// The first nodes of the fleet, out of step while the second version appears.
struct Outage {
  OutOfStep kind = OutOfStep::kCutOff;
  int nodes = 0;
  Duration from = 5s;
  Duration until = 9s;
};

/// What differs between explorations.
struct Scenario {
  Duration max_view_delay = kMaxViewDelay;
  Duration restart_time = kRestartTime;
  std::vector<Duration> kills_of_all{};
  History history = History::kRecords;
  bool kills = true;
  Outage outage{};
};

/// Share of the callers that come back to a node that is out of step, if there is one.
constexpr double kReturnsToOutOfStep = 0.5;

/// One simulated fleet.
class Exploration {
 public:
  Exploration(std::uint64_t seed, const Knobs& knobs, Scenario scenario)
      : knobs_(knobs), scenario_(std::move(scenario)), random_(seed) {
    for (int number = 0; number < kNodes; ++number) {
      Member member;
      member.id = "node-" + std::to_string(number);
      member.peer_address = member.id;
      member.capabilities = kAllCapabilities;
      members_.push_back(member);
      view_delays_.push_back(uniform(Duration{}, scenario_.max_view_delay));
    }
    for (int number = 0; number < kNodes; ++number) {
      start(number);
    }
  }

  Outcome run() {
    for (Duration time{}; time < kEnd; time += kStep) {
      now_ = start_ + time;
      step(time);
    }
    return outcome_;
  }

 private:
  struct Node {
    explicit Node(const Knobs& knobs) : replicas(knobs), versions(knobs) {}
    ReplicaDirectory replicas;
    SoftwareVersions versions;
    std::vector<const Member*> alive;
    std::unique_ptr<StreamOrigins> origins;
    std::unique_ptr<VersionRecords> records;
    TimePoint history_at{};  ///< When it learns of earlier versions.
    bool history_known = false;
    TimePoint wanted_as_of{};             ///< Of the view's last requested confirmation.
    std::optional<TimePoint> read_since;  ///< Begin of the pending read that confirms the view.
    TimePoint confirmed_at{};             ///< Up to which the view is complete.
    std::set<std::string> known_versions;
  };
  struct Message {
    std::string from;
    std::string bytes;
    int to = 0;
  };
  struct Stream {
    StreamKey key;
    StreamOrigin origin;
    int node = 0;
    std::string hashed_version;
    TimePoint ends_at{};
    int tries_left = 2;
    bool waits = false;  ///< Its caller waits for a node that is suspended.
  };

  Duration uniform(Duration least, Duration most) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random_));
  }
  int any_of(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }

  void start(int number) {
    auto node = std::make_unique<Node>(knobs_);
    Node* borrowed = node.get();
    node->origins = std::make_unique<StreamOrigins>(
        knobs_, node->versions, members_[static_cast<std::size_t>(number)].id,
        [borrowed]() -> const std::vector<const Member*>& { return borrowed->alive; },
        [this, number](const std::string& address, const std::string& bytes) {
          send(number, address, bytes);
        },
        [this, borrowed](TimePoint as_of) { borrowed->wanted_as_of = as_of; });
    node->records =
        std::make_unique<VersionRecords>([this, borrowed, number](const ServedVersion& version) {
          return keeps(*borrowed, number, version);
        });
    node->history_known = scenario_.history == History::kNone;
    node->history_at = now_ + (scenario_.history == History::kAge ? kMaxStreamTime : kLogTime);
    if (!node->history_known) {
      node->versions.await_history();
    }
    nodes_[number] = std::move(node);
    update_view(number);
  }

  bool outage_at(Duration time) const {
    return time >= scenario_.outage.from && time < scenario_.outage.until;
  }
  /// @return whether the node is out of step now.
  bool out_of_step(int number) const {
    return number < scenario_.outage.nodes && outage_at(now_ - start_);
  }
  bool suspended(int number) const {
    return scenario_.outage.kind == OutOfStep::kSuspended && out_of_step(number);
  }
  /// @return whether the node has the view of the fleet of the outage's beginning. A node that was
  /// suspended acts once before it reads anything.
  bool view_is_old(int number) const {
    const Duration time = now_ - start_;
    const bool just_resumed = scenario_.outage.kind == OutOfStep::kSuspended &&
                              number < scenario_.outage.nodes && time >= scenario_.outage.until &&
                              time < scenario_.outage.until + 2 * kStep;
    return out_of_step(number) || just_resumed;
  }
  bool reachable(int from, int to) const {
    switch (scenario_.outage.kind) {
      case OutOfStep::kCutOff:
      case OutOfStep::kMembersLost:
        return !out_of_step(from) && !out_of_step(to);
      case OutOfStep::kCutOffTogether:
      case OutOfStep::kGroupLost:
        return out_of_step(from) == out_of_step(to);
      case OutOfStep::kLogOutOfReach:
      case OutOfStep::kSuspended:
        break;
    }
    return true;
  }

  void send(int from, const std::string& address, const std::string& bytes) {
    ++outcome_.messages;
    const int to = std::stoi(address.substr(address.find('-') + 1));
    if (!chance(kMessageLoss) && reachable(from, to)) {
      messages_.emplace(now_ + uniform(1ms, kMaxMessageDelay),
                        Message{members_[static_cast<std::size_t>(from)].peer_address, bytes, to});
    }
  }

  bool keeps(const Node& node, int number, const ServedVersion& version) const {
    const auto keepers =
        select_witnesses(hash64(version.version), node.alive, Capability::kStreamOrigins,
                         knobs_.stream_origin_witnesses);
    return std::find(keepers.begin(), keepers.end(), &members_[static_cast<std::size_t>(number)]) !=
           keepers.end();
  }

  /// Reads the records of versions once, then writes those that the node keeps.
  void use_log(Node& node) {
    if (!node.history_known && now_ >= node.history_at) {
      node.history_known = true;
      const bool reads = scenario_.history == History::kRecords;
      const std::vector<ServedVersion> served(reads ? log_.begin() : log_.end(), log_.end());
      node.versions.restore(served, now_);
      for (const ServedVersion& version : served) {
        node.records->recorded(version);
      }
    }
    if (!node.history_known || scenario_.history != History::kRecords) {
      return;
    }
    for (const VersionChange& change : node.records->due(node.versions.known(), false, now_)) {
      ++outcome_.writes;
      change.removed ? (void)log_.erase(change.version) : (void)log_.insert(change.version);
      node.records->confirmed(change);
    }
  }

  bool log_reachable(int number) const {
    return scenario_.outage.kind == OutOfStep::kSuspended || !out_of_step(number);
  }

  /// Reads the end of the log for an inquiry, as ReadBarrier does.
  void confirm_view(int number) {
    Node& node = *nodes_.at(number);
    if (!log_reachable(number)) {
      node.read_since.reset();
      return;
    }
    if (node.read_since && now_ - *node.read_since >= kLogTime) {
      node.confirmed_at = *node.read_since;
      node.read_since.reset();
      update_view(number);
      node.versions.confirm(node.confirmed_at);
      node.origins->confirmed(now_);
    }
    if (!node.read_since && node.wanted_as_of > node.confirmed_at) {
      ++outcome_.reads;
      node.read_since = now_;
    }
  }

  void update_view(int number) {
    Node& node = *nodes_.at(number);
    const Duration time = view_is_old(number) ? scenario_.outage.from : now_ - start_;
    const Duration seen =
        std::max(time - view_delays_[static_cast<std::size_t>(number)], node.confirmed_at - start_);
    show(node, "v1", seen < kFirstVersionGoneAt);
    show(node, "v2", seen >= kSecondVersionAt);
    node.versions.observe(node.replicas, now_);
    node.alive.clear();
    for (int other = 0; other < kNodes; ++other) {
      const auto dead = dead_since_.find(other);
      const bool seen_alive = dead == dead_since_.end() || now_ - dead->second < kDeathNoticedAfter;
      if (seen_alive && !lost_from_view(number, other)) {
        node.alive.push_back(&members_[static_cast<std::size_t>(other)]);
      }
    }
  }

  /// @return whether a node that is out of step takes another one for dead.
  bool lost_from_view(int number, int other) const {
    const bool noticed =
        out_of_step(number) && now_ - start_ >= scenario_.outage.from + kDeathNoticedAfter;
    switch (scenario_.outage.kind) {
      case OutOfStep::kMembersLost:
        return noticed && other != number;
      case OutOfStep::kGroupLost:
        return noticed && !out_of_step(other);
      case OutOfStep::kCutOff:
      case OutOfStep::kCutOffTogether:
      case OutOfStep::kLogOutOfReach:
      case OutOfStep::kSuspended:
        break;
    }
    return false;
  }

  static void show(Node& node, const std::string& version, bool serves) {
    if (serves == node.known_versions.contains(version)) {
      return;
    }
    for (int index = 0; index < kReplicasPerVersion; ++index) {
      ReplicaRecord record{version + "-" + std::to_string(index), "lm", {}, "zone", 8, false, {}};
      record.software_version = version;
      if (serves) {
        node.replicas.upsert(record, {});
      } else {
        node.replicas.remove(record.id);
      }
    }
    if (serves) {
      node.known_versions.insert(version);
    } else {
      node.known_versions.erase(version);
    }
  }

  void step(Duration time) {
    const auto& of_all = scenario_.kills_of_all;
    if (std::find(of_all.begin(), of_all.end(), time) != of_all.end()) {
      for (int number = 0; number < kNodes; ++number) {
        kill(number);
      }
    } else if (scenario_.kills && of_all.empty() && time % kKillInterval == Duration{} &&
               time > Duration{}) {
      kill_some();
    }
    restart_killed();
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const Message message = messages_.begin()->second;
      messages_.erase(messages_.begin());
      if (suspended(message.to)) {
        messages_.emplace(start_ + scenario_.outage.until + kStep, message);
        continue;
      }
      const auto node = nodes_.find(message.to);
      if (node != nodes_.end()) {
        node->second->origins->take(*decode_stream_origin_message(message.bytes), message.from,
                                    now_);
      }
    }
    for (auto& [number, node] : nodes_) {
      if (suspended(number)) {
        continue;
      }
      update_view(number);
      use_log(*node);
      confirm_view(number);
      if (time % 50ms == Duration{}) {
        node->origins->tick(now_);
      }
    }
    begin_stream();
    break_some();
    return_callers();
  }

  void kill_some() {
    for (int count = 0; count < kKilledAtOnce; ++count) {
      kill(any_of(kNodes));
    }
  }

  void kill(int number) {
    nodes_.erase(number);
    dead_since_[number] = now_;
    for (auto stream = open_.begin(); stream != open_.end();) {
      stream = stream->node == number ? interrupt(stream) : std::next(stream);
    }
  }

  void restart_killed() {
    for (auto dead = dead_since_.begin(); dead != dead_since_.end();) {
      if (now_ - dead->second < scenario_.restart_time) {
        ++dead;
        continue;
      }
      const int number = dead->first;
      dead = dead_since_.erase(dead);
      start(number);
    }
  }

  int live_node() {
    return std::next(nodes_.begin(), any_of(static_cast<int>(nodes_.size())))->first;
  }

  /// @return the version that rendezvous hashing selects among those that a node sees.
  static std::string hashed_version(const StreamKey& key, const Node& node) {
    return *std::max_element(node.known_versions.begin(), node.known_versions.end(),
                             [&](const std::string& left, const std::string& right) {
                               return hash64(left, key.low) < hash64(right, key.low);
                             });
  }

  void begin_stream() {
    if (nodes_.empty()) {
      return;
    }
    Stream stream;
    stream.node = live_node();
    Node& node = *nodes_.at(stream.node);
    if (node.known_versions.empty() || suspended(stream.node)) {
      return;
    }
    stream.key = stream_key("", "request-" + std::to_string(++outcome_.streams));
    const auto version = std::next(node.known_versions.begin(),
                                   any_of(static_cast<int>(node.known_versions.size())));
    stream.origin = {"lm", *version};
    stream.hashed_version = hashed_version(stream.key, node);
    stream.ends_at = now_ + uniform(100ms, kMaxStreamTime);
    node.origins->record(stream.key, stream.origin, now_);
    open_.push_back(stream);
  }

  std::vector<Stream>::iterator interrupt(std::vector<Stream>::iterator stream) {
    if (stream->tries_left-- > 0) {
      returning_.emplace(now_ + uniform(5ms, 300ms), *stream);
    }
    return open_.erase(stream);
  }

  void break_some() {
    constexpr double kResetProbability = 0.002;
    for (auto stream = open_.begin(); stream != open_.end();) {
      if (now_ >= stream->ends_at) {
        stream = open_.erase(stream);
      } else {
        stream = chance(kResetProbability) ? interrupt(stream) : std::next(stream);
      }
    }
  }

  int node_to_return_to() {
    const Outage& outage = scenario_.outage;
    if (outage.nodes > 0 && outage_at(now_ - start_) && chance(kReturnsToOutOfStep)) {
      const int number = any_of(outage.nodes);
      if (nodes_.contains(number)) {
        return number;
      }
    }
    return live_node();
  }

  void return_callers() {
    while (!returning_.empty() && returning_.begin()->first <= now_) {
      Stream stream = returning_.begin()->second;
      returning_.erase(returning_.begin());
      if (nodes_.empty()) {
        continue;
      }
      if (!stream.waits) {
        stream.node = node_to_return_to();
      }
      if (suspended(stream.node)) {
        stream.waits = true;
        returning_.emplace(start_ + scenario_.outage.until, stream);
        continue;
      }
      stream.waits = false;
      Node& node = *nodes_.at(stream.node);
      node.origins->resolve(
          stream.key, StreamIdentity::kAttempt, "lm", now_,
          [this, stream](const OriginVerdict& verdict) { resumed(stream, verdict); });
    }
  }

  void resumed(Stream stream, const OriginVerdict& verdict) {
    const auto found = nodes_.find(stream.node);
    if (found == nodes_.end()) {
      return;  // The node was killed while it asked.
    }
    Node& node = *found->second;
    const bool servable = node.replicas.serves("lm", stream.origin.software_version);
    outcome_.hash_differs += hashed_version(stream.key, node) != stream.hashed_version ? 1 : 0;
    if (verdict.origin.unknown()) {
      ++(servable ? outcome_.refused : outcome_.unservable);
      return;
    }
    if (!node.replicas.serves("lm", verdict.origin.software_version)) {
      ++outcome_.unservable;
      return;
    }
    ++(verdict.origin == stream.origin ? outcome_.right : outcome_.mixed);
    node.origins->record(stream.key, verdict.origin, now_);
    open_.push_back(stream);
  }

  const Knobs& knobs_;
  const Scenario scenario_;
  std::mt19937_64 random_;
  const TimePoint start_ = TimePoint{} + 100s;
  TimePoint now_ = start_;
  std::vector<Member> members_;
  std::vector<Duration> view_delays_;
  std::map<int, std::unique_ptr<Node>> nodes_;
  std::map<int, TimePoint> dead_since_;
  std::set<ServedVersion> log_;  ///< Versions that the log names.
  std::multimap<TimePoint, Message> messages_;
  std::vector<Stream> open_;
  std::multimap<TimePoint, Stream> returning_;
  Outcome outcome_;
};

Outcome explore(const Knobs& knobs, const Scenario& scenario = {}, std::uint64_t seeds = 20) {
  Outcome total;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Outcome outcome = Exploration(seed, knobs, scenario).run();
    total.right += outcome.right;
    total.mixed += outcome.mixed;
    total.refused += outcome.refused;
    total.unservable += outcome.unservable;
    total.hash_differs += outcome.hash_differs;
    total.messages += outcome.messages;
    total.writes += outcome.writes;
    total.reads += outcome.reads;
    total.streams += outcome.streams;
  }
  BOOST_TEST_MESSAGE("witnesses " << knobs.stream_origin_witnesses << ": streams " << total.streams
                                  << " right " << total.right << " mixed " << total.mixed
                                  << " refused " << total.refused << " unservable "
                                  << total.unservable << " hashing alone differs "
                                  << total.hash_differs << " messages " << total.messages
                                  << " writes " << total.writes << " reads " << total.reads);
  return total;
}

const std::vector<Outage> kOutages{
    {OutOfStep::kCutOff, 1},
    {OutOfStep::kMembersLost, 1},
    {OutOfStep::kCutOff, 3},
    {OutOfStep::kCutOffTogether, 3},
    {OutOfStep::kCutOff, 5},
    {OutOfStep::kCutOffTogether, 5},
    {OutOfStep::kLogOutOfReach, 1},
    {OutOfStep::kLogOutOfReach, kNodes},
    {OutOfStep::kSuspended, 1, 5s, 9s},
    {OutOfStep::kSuspended, 1, 5900ms, 6500ms},
    {OutOfStep::kSuspended, 3, 5500ms, 7s},
    {OutOfStep::kSuspended, 8, 6150ms, 6600ms},
    {OutOfStep::kGroupLost, 3},
    {OutOfStep::kGroupLost, 5},
};

Scenario with_outage(const Outage& outage) {
  Scenario scenario;
  scenario.max_view_delay = 300ms;
  scenario.kills = false;
  scenario.outage = outage;
  return scenario;
}

std::ostream& operator<<(std::ostream& out, const Outage& outage) {
  return out << "kind " << static_cast<int>(outage.kind) << " nodes " << outage.nodes;
}

/// @return the outcome with the default settings, explored once.
const Outcome& default_outcome() {
  static const Outcome outcome = explore(Knobs{});
  return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_origins_exploration)

BOOST_AUTO_TEST_CASE(no_stream_is_resumed_at_another_software_version) {
  const Outcome& outcome = default_outcome();
  BOOST_TEST(outcome.mixed == 0);
  BOOST_TEST(outcome.resumed() > 1000);
}

BOOST_AUTO_TEST_CASE(few_streams_are_refused_though_they_could_be_resumed) {
  constexpr double kMaxRefusedShare = 0.05;
  const Outcome& outcome = default_outcome();
  BOOST_TEST(outcome.refused <= kMaxRefusedShare * outcome.resumed());
}

BOOST_AUTO_TEST_CASE(witnesses_know_more_streams_than_the_serving_node_alone) {
  Knobs alone;
  alone.stream_origin_witnesses = 0;
  const Outcome without = explore(alone);
  const Outcome& with = default_outcome();
  BOOST_TEST(without.mixed == 0);
  BOOST_TEST(with.refused < without.refused);
}

// A version's last replicas leave when all nodes are killed: no process has seen it.
BOOST_AUTO_TEST_CASE(no_stream_is_resumed_at_another_version_after_all_nodes_were_killed) {
  Scenario scenario;
  scenario.max_view_delay = 300ms;
  scenario.restart_time = 100ms;
  for (Duration time = 2s; time < kEnd; time += 1800ms) {
    scenario.kills_of_all.push_back(time);
  }
  scenario.kills_of_all.push_back(kFirstVersionGoneAt + 200ms);
  const Outcome with_records = explore(Knobs{}, scenario);
  BOOST_TEST(with_records.mixed == 0);
  BOOST_TEST(with_records.right > 1000);
  scenario.history = History::kAge;
  const Outcome by_age = explore(Knobs{}, scenario);
  BOOST_TEST(by_age.mixed == 0);
  BOOST_TEST(with_records.refused < by_age.refused);
  scenario.history = History::kNone;
  BOOST_TEST(explore(Knobs{}, scenario).mixed > 0);
}

// A node that hears nobody, or that has just stood still, knows the older version only.
BOOST_AUTO_TEST_CASE(no_stream_is_resumed_at_another_version_by_a_node_out_of_step) {
  constexpr std::uint64_t kSeeds = 5;
  constexpr int kMinRight = 1000;
  for (const Outage& outage : kOutages) {
    BOOST_TEST_CONTEXT(outage) {
      const Outcome outcome = explore(Knobs{}, with_outage(outage), kSeeds);
      BOOST_TEST(outcome.mixed == 0);
      BOOST_TEST(outcome.right > kMinRight);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
