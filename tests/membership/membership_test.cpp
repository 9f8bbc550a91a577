#include "dockpoint/membership/membership.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <set>

#include "dockpoint/core/codec.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using test::at;

namespace {

/// Members connected by a network without delay, from which members can be disconnected.
class Cluster {
 public:
  explicit Cluster(int size) {
    for (int index = 0; index < size; ++index) {
      add("n" + std::to_string(index), 100);
    }
  }

  void add(const std::string& name, std::uint64_t incarnation) {
    Member self;
    self.id = name;
    self.incarnation = incarnation;
    self.peer_address = name;
    auto node = std::make_unique<Node>(*this, name);
    node->membership = std::make_unique<Membership>(knobs_, self, nodes_.size() + 1, *node);
    node->membership->set_candidates({"n0", "n1"});
    nodes_[name] = std::move(node);
  }

  Membership& operator[](const std::string& name) { return *nodes_.at(name)->membership; }
  void disconnect(const std::string& name) { disconnected_.insert(name); }
  void reconnect(const std::string& name) { disconnected_.erase(name); }

  /// Advances the clock in steps of 100 ms.
  void run(int milliseconds) {
    for (int step = 0; step < milliseconds / 100; ++step) {
      now_ += 100;
      for (auto& [name, node] : nodes_) {
        if (!disconnected_.contains(name)) {
          node->membership->tick(at(now_));
        }
      }
      deliver();
    }
  }

 private:
  struct Node : PeerSender {
    Node(Cluster& owner, std::string own_name) : cluster(owner), name(std::move(own_name)) {}
    void send(const std::string& address, const PeerMessage& message) override {
      cluster.wire_.push_back({name, address, encode(message)});
    }
    Cluster& cluster;
    std::string name;
    std::unique_ptr<Membership> membership;
  };
  struct Datagram {
    std::string from;
    std::string to;
    std::string bytes;
  };

  void deliver() {
    while (!wire_.empty()) {
      const Datagram datagram = wire_.front();
      wire_.pop_front();
      const bool lost =
          disconnected_.contains(datagram.from) || disconnected_.contains(datagram.to);
      if (!lost && nodes_.contains(datagram.to)) {
        const auto message = decode_peer_message(datagram.bytes);
        BOOST_TEST_REQUIRE(message.has_value());
        nodes_.at(datagram.to)->membership->receive(*message, at(now_));
      }
    }
  }

  Knobs knobs_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::set<std::string> disconnected_;
  std::deque<Datagram> wire_;
  std::int64_t now_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(members_discover_each_other_through_the_seeds) {
  Cluster cluster(6);
  cluster.run(5'000);
  for (int index = 0; index < 6; ++index) {
    BOOST_TEST(cluster["n" + std::to_string(index)].alive().size() == 6U);
  }
}

BOOST_AUTO_TEST_CASE(a_disconnected_member_is_declared_dead_and_rejoins) {
  Cluster cluster(5);
  cluster.run(5'000);
  cluster.disconnect("n3");
  cluster.run(15'000);
  BOOST_TEST(!cluster["n0"].is_alive("n3"));
  BOOST_TEST(!cluster["n4"].is_alive("n3"));
  cluster.reconnect("n3");
  cluster.run(15'000);
  BOOST_TEST(cluster["n0"].is_alive("n3"));
  BOOST_TEST(cluster["n4"].is_alive("n3"));
  BOOST_TEST(cluster["n3"].alive().size() == 5U);
}

BOOST_AUTO_TEST_CASE(a_leave_is_final_within_its_incarnation) {
  Cluster cluster(4);
  cluster.run(5'000);
  const Member before = *cluster["n0"].find("n2");
  cluster["n2"].leave();
  cluster.run(2'000);
  BOOST_TEST((cluster["n1"].find("n2")->state == MemberState::kLeft));
  // A delayed datagram sent before the leave.
  PeerMessage late;
  late.type = PeerMessageType::kAck;
  late.sender = before;
  cluster["n1"].receive(late, at(100'000));
  BOOST_TEST((cluster["n1"].find("n2")->state == MemberState::kLeft));
  late.sender.incarnation += 1;  // A new process with the same name.
  cluster["n1"].receive(late, at(100'000));
  BOOST_TEST(cluster["n1"].is_alive("n2"));
}

// Guards against a stopping node that hands callers the addresses of nodes that stopped later.
BOOST_AUTO_TEST_CASE(a_node_that_has_left_hears_of_later_departures) {
  Cluster cluster(5);
  cluster.run(5'000);
  cluster["n2"].leave();
  cluster.run(1'000);
  cluster["n3"].leave();
  cluster.run(100);
  BOOST_TEST(!cluster["n2"].is_alive("n3"));
}

// Guards against a starting node that hands callers the address of a node that stopped before.
BOOST_AUTO_TEST_CASE(an_outdated_record_does_not_show_a_departed_node_as_alive) {
  Cluster cluster(4);
  cluster.run(5'000);
  const Member before = *cluster["n0"].find("n2");
  cluster["n2"].leave();
  cluster.run(100);
  cluster.add("n9", 100);
  PeerMessage departure;
  departure.type = PeerMessageType::kSyncResponse;
  departure.sender = *cluster["n0"].find("n0");
  departure.updates = {*cluster["n0"].find("n2")};
  cluster["n9"].receive(departure, at(5'200));
  PeerMessage outdated = departure;
  outdated.updates = {before};
  cluster["n9"].receive(outdated, at(5'200));
  BOOST_TEST(!cluster["n9"].is_alive("n2"));
}

BOOST_AUTO_TEST_CASE(a_suspected_member_refutes_the_suspicion) {
  Cluster cluster(3);
  cluster.run(5'000);
  Member accused = *cluster["n0"].find("n1");
  accused.state = MemberState::kSuspect;
  PeerMessage rumor;
  rumor.type = PeerMessageType::kSyncResponse;
  rumor.sender = cluster["n2"].self();
  rumor.updates = {accused};
  cluster["n0"].receive(rumor, at(5'000));
  cluster.run(4'000);
  BOOST_TEST((cluster["n0"].find("n1")->state == MemberState::kAlive));
  BOOST_TEST(cluster["n1"].self().incarnation > accused.incarnation);
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_ignored_and_other_versions_dropped) {
  PeerMessage message;
  message.sender.id = "a";
  const std::string bytes = encode(message);
  nlohmann::json fields = nlohmann::json::from_msgpack(bytes);
  fields.push_back("from a later version");
  std::string longer;
  nlohmann::json::to_msgpack(fields, longer);
  const auto decoded = decode_peer_message(longer);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->sender.id == "a");
  message.version = kProtocolVersion + 1;
  BOOST_TEST(!decode_peer_message(encode(message)).has_value());
  BOOST_TEST(!decode_peer_message("\xc1garbage").has_value());
  BOOST_TEST(!decode_peer_message(std::string(kMaximumDatagramBytes + 1, '\x90')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
