#include "dockpoint/membership/crash_report_spread.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "dockpoint/admission/good_run_memory.hpp"

using namespace dockpoint;

namespace {

constexpr RequestFingerprint kRequest{0x9c41d07be2a35f68, 0x3e1b07a260c9f2a4};
/// Time step of the simulation.
constexpr Duration kRound = std::chrono::milliseconds(50);

/// Longest time from the last crash until every connected node has quarantined the request.
constexpr Duration kSpreadLimit = std::chrono::seconds(3);

/// Message loss rate.
constexpr double kLoss = 0.3;
/// Maximum message delay.
constexpr Duration kLongestDelay = std::chrono::milliseconds(300);

/// Nodes that exchange crash reports over a network that loses and delays messages.
class Fleet {
 public:
  Fleet(std::size_t size, std::uint64_t seed, const Knobs& knobs = {})
      : knobs_(knobs), random_(seed) {
    for (std::size_t index = 0; index < size; ++index) {
      Member member;
      member.id = "n" + std::to_string(index);
      member.peer_address = std::to_string(index);
      member.capabilities = kAllCapabilities;
      members_.push_back(member);
    }
    for (std::size_t index = 0; index < size; ++index) {
      alive_.push_back(&members_[index]);
      nodes_.push_back(std::make_unique<Node>(knobs_, members_[index].id, random_()));
    }
  }

  std::size_t size() const { return nodes_.size(); }
  TimePoint now() const { return now_; }
  std::uint64_t bytes() const { return bytes_; }

  /// The node sees a replica crash under the request.
  void report_crash(std::size_t node, std::uint64_t replica) {
    apply(node, {{{kRequest, combine_hash(1, replica), now_}}, {}, false}, false);
  }
  /// The node sees a replica crash under a prompt part.
  void report_part_crash(std::size_t node, std::uint64_t replica) {
    const CrashEvidence crash{kRequest, combine_hash(1, replica), now_, false, true};
    apply(node, {{crash}, {}, false}, false);
  }
  /// A run with the part ends well at the node.
  void run_well(std::size_t node) {
    nodes_[node]->good_runs.record(kRequest, now_);
    nodes_[node]->quarantine.take(RequestClearance{kRequest, now_, true}, now_);
  }
  /// The node restarts without any state.
  void restart(std::size_t node) {
    nodes_[node] = std::make_unique<Node>(knobs_, members_[node].id, random_());
    nodes_[node]->spread.catch_up(now_);
  }
  void disconnect(std::size_t node) { disconnected_.insert(node); }
  /// Ends the partition; the nodes on both sides notice that they can reach each other.
  void reconnect(std::size_t node) {
    disconnected_.erase(node);
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != node && !disconnected_.contains(other)) {
        nodes_[other]->spread.answer(members_[node].peer_address);
        nodes_[node]->spread.answer(members_[other].peer_address);
      }
    }
  }

  void run_for(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kRound) {
      deliver();
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        for (const CrashReportSend& send : nodes_[node]->spread.next(alive_, now_)) {
          transmit(node, send);
        }
      }
    }
  }

  bool is_quarantined(std::size_t node) const {
    return nodes_[node]->quarantine.check(kRequest, now_).has_value();
  }
  std::size_t informed_nodes() const {
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      count += is_quarantined(node) ? 1 : 0;
    }
    return count;
  }

 private:
  struct Node {
    Node(const Knobs& knobs, const std::string& id, std::uint64_t seed)
        : quarantine(knobs), spread(knobs, quarantine, id, seed) {}
    RequestQuarantine quarantine;
    CrashReportSpread spread;
    GoodRunMemory good_runs{100};
  };
  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    CrashReport report;
  };

  void transmit(std::size_t from, const CrashReportSend& send) {
    const std::size_t size = encode(send.report, now_).size();
    for (const std::string& address : send.addresses) {
      const auto to = static_cast<std::size_t>(std::stoul(address));
      bytes_ += size;
      const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < kLoss;
      if (!lost && !disconnected_.contains(from) && !disconnected_.contains(to)) {
        const auto delay = Duration(random_() % static_cast<std::uint64_t>(kLongestDelay.count()));
        messages_.emplace(now_ + delay, Message{from, to, send.report});
      }
    }
  }

  void deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const Message message = messages_.begin()->second;
      messages_.erase(messages_.begin());
      apply(message.to, message.report, true);
      Node& receiver = *nodes_[message.to];
      receiver.spread.correct(
          std::to_string(message.from),
          receiver.good_runs.clearances_against(message.report, knobs_.crash_limit));
      if (message.report.reply_requested) {
        nodes_[message.to]->spread.answer(std::to_string(message.from));
      }
    }
  }

  /// Mirrors the gateway: applies evidence of its own (`received` is false) or from other nodes.
  void apply(std::size_t index, const CrashReport& report, bool received) {
    Node& node = *nodes_[index];
    for (const RequestClearance& clearance : report.clearances) {
      node.quarantine.take(clearance, now_);
    }
    for (const CrashEvidence& evidence : report.evidence) {
      const EvidenceEffect effect = node.quarantine.take(evidence, now_);
      const bool whole = received && report.evidence.size() >= knobs_.crash_limit;
      if (effect == EvidenceEffect::kQuarantined && !whole) {
        node.spread.send_to_all(evidence.request, now_);
      } else if (effect == EvidenceEffect::kCounted && !received) {
        node.spread.send_to_witnesses(evidence.request, now_);
      }
    }
  }

  const Knobs knobs_;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::vector<const Member*> alive_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::multimap<TimePoint, Message> messages_;
  std::set<std::size_t> disconnected_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t bytes_ = 0;
};

/// A replica crashes while it runs several prompt parts.
void report_crash_of(std::size_t parts, RequestQuarantine& quarantine, CrashReportSpread& spread,
                     TimePoint now) {
  for (std::uint64_t part = 1; part <= parts; ++part) {
    const RequestFingerprint suspect{part, part};
    quarantine.take(CrashEvidence{suspect, 1, now, false, true}, now);
    spread.send_to_witnesses(suspect, now);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_report_spread)

BOOST_AUTO_TEST_CASE(
    three_crashes_seen_by_three_nodes_quarantine_the_request_on_all_nodes_in_time) {
  for (const std::size_t size : {3, 10, 40, 295}) {
    for (std::uint64_t seed = 1; seed <= (size > 100 ? 5U : 100U); ++seed) {
      Fleet fleet(size, seed);
      for (std::uint64_t replica = 0; replica < 3; ++replica) {
        fleet.report_crash(replica % size, replica);
        fleet.run_for(200ms);
      }
      fleet.run_for(kSpreadLimit - 200ms);
      BOOST_TEST(fleet.informed_nodes() == size, "size " << size << " seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_repeated_request_crashes_no_replica_after_the_spread_limit) {
  constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
  int most = 0;
  for (const std::size_t size : {10, 40}) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      Fleet fleet(size, seed);
      std::mt19937_64 random(seed);
      std::vector<TimePoint> ends;
      for (int round = 0; round < 100; ++round) {
        const std::size_t node = random() % size;
        if (!fleet.is_quarantined(node)) {
          fleet.report_crash(node, ends.size());
          ends.push_back(fleet.now());
        }
        fleet.run_for(kRequestInterval);
      }
      BOOST_REQUIRE(ends.size() >= 3U);
      BOOST_TEST((ends.back() <= ends[2] + kSpreadLimit), "size " << size << " seed " << seed);
      most = std::max(most, static_cast<int>(ends.size()));
    }
  }
  BOOST_TEST_MESSAGE("maximum crashes of one request at ten attempts per second: " << most);
}

BOOST_AUTO_TEST_CASE(two_crashes_quarantine_nothing_on_any_node) {
  Fleet fleet(10, 1);
  fleet.report_crash(0, 1);
  fleet.report_crash(1, 2);
  fleet.report_crash(2, 2);
  fleet.run_for(10s);
  BOOST_TEST(fleet.informed_nodes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_reconnected_or_restarted_node_learns_the_quarantine_in_time) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Fleet fleet(10, seed);
    for (std::size_t node = 5; node < 10; ++node) {
      fleet.disconnect(node);
    }
    for (std::uint64_t replica = 0; replica < 3; ++replica) {
      fleet.report_crash(replica, replica);
    }
    fleet.run_for(20s);
    BOOST_TEST(!fleet.is_quarantined(7));
    for (std::size_t node = 5; node < 10; ++node) {
      fleet.reconnect(node);
    }
    fleet.restart(0);
    fleet.run_for(kSpreadLimit);
    BOOST_TEST(fleet.informed_nodes() == 10U, "seed " << seed);
  }
}

// Regression: nodes that had missed the clearance of a prompt part kept its earlier crashes, and
// quarantined it for minutes at the next one, while it ran well at all others.
BOOST_AUTO_TEST_CASE(
    a_node_that_missed_a_clearance_is_corrected_by_those_where_the_part_runs_well) {
  constexpr Duration kRunInterval = std::chrono::milliseconds(500);
  for (const std::size_t size : {3, 10, 40, 295}) {
    for (std::uint64_t seed = 1; seed <= (size > 100 ? 5U : 50U); ++seed) {
      Fleet fleet(size, seed);
      for (std::uint64_t replica = 0; replica < 3; ++replica) {
        fleet.report_part_crash(0, replica);
        fleet.run_for(200ms);
      }
      BOOST_TEST(fleet.is_quarantined(0));
      for (int run = 0; run < 6; ++run) {
        for (std::size_t node = 1; node < size; ++node) {
          fleet.run_well(node);
        }
        fleet.run_for(kRunInterval);
      }
      BOOST_TEST(fleet.informed_nodes() == 0U, "size " << size << " seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_correction_goes_once_to_the_node_whose_evidence_is_outdated) {
  const Knobs knobs;
  const TimePoint now{1h};
  GoodRunMemory good_runs(10);
  CrashReport report;
  for (std::uint64_t replica = 0; replica < 3; ++replica) {
    report.evidence.push_back({kRequest, replica, now + std::chrono::seconds(replica)});
  }
  BOOST_TEST(good_runs.clearances_against(report, 3).empty());
  good_runs.record(kRequest, now);
  BOOST_TEST(good_runs.clearances_against(report, 3).empty());
  good_runs.record(kRequest, now + 1ms);
  BOOST_TEST(good_runs.clearances_against(report, 4).empty());
  const std::vector<RequestClearance> clearances = good_runs.clearances_against(report, 3);
  BOOST_REQUIRE(clearances.size() == 1U);
  BOOST_TEST((clearances.front().cleared_at == now + 1ms));
  BOOST_TEST(clearances.front().by_run);

  RequestQuarantine quarantine(knobs);
  CrashReportSpread spread(knobs, quarantine, "n0", 1);
  spread.correct("a", clearances);
  spread.correct("a", clearances);
  spread.correct("b", {});
  const std::vector<CrashReportSend> sends = spread.next({}, now);
  BOOST_REQUIRE(sends.size() == 1U);
  BOOST_TEST((sends.front().addresses == std::vector<std::string>{"a"}));
  BOOST_TEST(sends.front().report.clearances.size() == 1U);
  BOOST_TEST(spread.next({}, now).empty());
}

BOOST_AUTO_TEST_CASE(crashes_seen_on_both_sides_of_a_partition_add_up_after_it) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Fleet fleet(10, seed);
    fleet.disconnect(9);
    fleet.report_crash(0, 1);
    fleet.report_crash(1, 2);
    fleet.report_crash(9, 3);
    fleet.run_for(20s);
    BOOST_TEST(fleet.informed_nodes() == 0U);
    fleet.reconnect(9);
    // The request is sent once more; its crash completes the evidence.
    fleet.report_crash(9, 4);
    fleet.run_for(kSpreadLimit);
    BOOST_TEST(fleet.informed_nodes() == 10U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(the_cost_of_a_crash_does_not_depend_on_the_fleet_size) {
  const auto bytes_of = [](std::size_t size, std::size_t witnesses) {
    Knobs knobs;
    knobs.crash_witnesses = witnesses;
    Fleet fleet(size, 1, knobs);
    fleet.report_crash(0, 1);
    fleet.run_for(5s);
    return fleet.bytes();
  };
  const std::size_t witnesses = Knobs{}.crash_witnesses;
  for (const std::size_t size : {40, 295, 986}) {
    BOOST_TEST_MESSAGE(size << " nodes, bytes per crash: " << bytes_of(size, witnesses)
                            << " to witnesses, " << bytes_of(size, size) << " to all");
  }
  BOOST_TEST(bytes_of(986, witnesses) <= bytes_of(40, witnesses) * 11 / 10);
}

BOOST_AUTO_TEST_CASE(the_cost_of_a_quarantine_per_node_does_not_depend_on_the_fleet_size) {
  const auto bytes_of_node = [](std::size_t size) {
    Fleet fleet(size, 1);
    for (std::uint64_t replica = 0; replica < 3; ++replica) {
      fleet.report_crash(0, replica);
    }
    fleet.run_for(2s);
    return fleet.bytes() / size;
  };
  BOOST_TEST(bytes_of_node(986) <= bytes_of_node(100) * 12 / 10);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_without_crashes) {
  Fleet fleet(10, 1);
  fleet.run_for(60s);
  BOOST_TEST(fleet.bytes() == 0U);
}

// A node that knew of a crash under one part of a prompt first released a quarantined part that was
// there too, until the next message arrived.
BOOST_AUTO_TEST_CASE(a_crash_is_reported_under_all_its_suspects_in_one_message) {
  const Knobs knobs;
  constexpr std::size_t kSuspects = 3;
  RequestQuarantine quarantine(knobs);
  CrashReportSpread spread(knobs, quarantine, "sender", 1);
  std::vector<Member> members(kSuspects);
  std::vector<const Member*> alive;
  for (Member& member : members) {
    member.id = "n" + std::to_string(alive.size());
    member.peer_address = member.id;
    member.capabilities = kAllCapabilities;
    alive.push_back(&member);
  }
  const TimePoint now{1h};
  report_crash_of(kSuspects, quarantine, spread, now);
  const std::vector<CrashReportSend> sends = spread.next(alive, now);
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(sends.front().report.evidence.size() == kSuspects);
  BOOST_TEST(sends.front().addresses.size() == alive.size());
}

BOOST_AUTO_TEST_CASE(no_message_reports_more_requests_than_a_page_of_gossip) {
  const Knobs knobs;
  RequestQuarantine quarantine(knobs);
  CrashReportSpread spread(knobs, quarantine, "sender", 1);
  Member member;
  member.id = "n";
  member.peer_address = "a";
  member.capabilities = kAllCapabilities;
  const TimePoint now{1h};
  const std::size_t suspects = 2 * knobs.crash_gossip_requests + 1;
  report_crash_of(suspects, quarantine, spread, now);
  std::size_t reported = 0;
  for (const CrashReportSend& send : spread.next({&member}, now)) {
    BOOST_TEST(send.report.evidence.size() <= knobs.crash_gossip_requests);
    reported += send.report.evidence.size();
  }
  BOOST_TEST(reported == suspects);
}

BOOST_AUTO_TEST_CASE(members_of_an_older_build_receive_no_reports) {
  const Knobs knobs;
  RequestQuarantine quarantine(knobs);
  CrashReportSpread spread(knobs, quarantine, "new", 1);
  Member newer;
  newer.id = "newer";
  newer.peer_address = "a";
  newer.capabilities = kAllCapabilities;
  Member older = newer;
  older.id = "older";
  older.peer_address = "b";
  older.capabilities = static_cast<std::uint32_t>(Capability::kCells);
  const TimePoint now{1h};
  quarantine.take(CrashEvidence{kRequest, 1, now}, now);
  spread.send_to_witnesses(kRequest, now);
  spread.send_to_all({1, 1}, now);
  for (const CrashReportSend& send : spread.next({&newer, &older}, now)) {
    BOOST_TEST((send.addresses == std::vector<std::string>{"a"}));
  }
}

BOOST_AUTO_TEST_SUITE_END()
