#include "dockpoint/membership/load_relay.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

using namespace dockpoint;

namespace {

/// Three zones of nodes that send digests directly or through their relays.
class Fleet {
 public:
  explicit Fleet(int nodes_a_zone) {
    for (const char* zone : {"a", "b", "c"}) {
      for (int number = 0; number < nodes_a_zone; ++number) {
        Member member;
        member.id = std::string(zone) + std::to_string(number);
        member.zone = zone;
        member.peer_address = "at-" + member.id;
        members_.push_back(member);
      }
    }
    for (const Member& member : members_) {
      relays_.try_emplace(member.peer_address, member.id, member.zone);
    }
    set_members({});
  }

  void set_members(const std::set<std::string>& dead) {
    std::vector<const Member*> alive;
    for (const Member& member : members_) {
      if (!dead.contains(member.id)) {
        alive.push_back(&member);
      }
    }
    for (auto& [address, relay] : relays_) {
      relay.set_members(alive);
    }
  }

  /// Simulates one interval: every node sends its digest, then relays send their collections.
  /// @return the nodes whose digests each address has received.
  std::map<std::string, std::set<std::string>> run_interval(const std::set<std::string>& dead) {
    std::map<std::string, std::set<std::string>> heard;
    std::map<std::string, std::set<std::string>> collected;
    for (const Member& member : members_) {
      if (dead.contains(member.id)) {
        continue;
      }
      LoadRelay& relay = relays_.at(member.peer_address);
      const auto recipients = relay.next_digest_recipients();
      for (const std::string& address : recipients) {
        send(heard[address], {member.id}, address, dead);
        collected[address].insert(member.id);
      }
      if (recipients.empty()) {
        collected[member.peer_address].insert(member.id);
      }
    }
    for (const Member& member : members_) {
      LoadRelay& relay = relays_.at(member.peer_address);
      if (dead.contains(member.id) || relay.direct() || !relay.relays()) {
        continue;
      }
      for (const std::string& address : relay.next_collection_recipients()) {
        const std::set<std::string>& digests = collected[member.peer_address];
        send(heard[address], digests, address, dead);
        if (zone_of(address) != member.zone) {
          for (const std::string& next : relays_.at(address).zone_recipients()) {
            send(heard[next], digests, next, dead);
          }
        }
      }
    }
    return heard;
  }

  std::string relay_of(const std::string& zone) {
    for (const Member& member : members_) {
      if (member.zone == zone && relays_.at(member.peer_address).relays()) {
        return member.id;
      }
    }
    return {};
  }
  const std::deque<Member>& members() const { return members_; }
  std::size_t sent() const { return sent_; }

 private:
  void send(std::set<std::string>& heard, const std::set<std::string>& digests,
            const std::string& address, const std::set<std::string>& dead) {
    ++sent_;
    if (!dead.contains(address.substr(3))) {
      heard.insert(digests.begin(), digests.end());
    }
  }
  std::string zone_of(const std::string& address) const { return address.substr(3, 1); }

  std::deque<Member> members_;
  std::map<std::string, LoadRelay> relays_;
  std::size_t sent_ = 0;
};

/// @return how many digests of live nodes are missing in `heard`, summed over all live nodes.
std::size_t missing(const Fleet& fleet, const std::set<std::string>& dead,
                    std::map<std::string, std::set<std::string>> heard) {
  std::size_t count = 0;
  for (const Member& member : fleet.members()) {
    for (const Member& other : fleet.members()) {
      const bool matters = !dead.contains(member.id) && !dead.contains(other.id);
      const bool received = member.id == other.id || heard[member.peer_address].contains(other.id);
      count += matters && !received ? 1 : 0;
    }
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(load_relay)

BOOST_AUTO_TEST_CASE(a_small_fleet_sends_digests_directly) {
  Fleet fleet(5);
  BOOST_TEST(missing(fleet, {}, fleet.run_interval({})) == 0U);
  BOOST_TEST(fleet.sent() == 15U * 14U);
}

BOOST_AUTO_TEST_CASE(relays_deliver_every_digest_each_interval_in_a_large_fleet) {
  Fleet fleet(30);
  for (int round = 0; round < 4; ++round) {
    BOOST_TEST(missing(fleet, {}, fleet.run_interval({})) == 0U);
  }
  // Each interval, every node sends one digest, and each of the two relays per zone sends its
  // collection to its own zone and to one relay of each of the two others, which forwards it.
  BOOST_TEST(fleet.sent() < 4U * 700U);
}

BOOST_AUTO_TEST_CASE(a_dead_relay_loses_every_second_digest_until_it_is_replaced) {
  Fleet fleet(30);
  const std::set<std::string> dead{fleet.relay_of("a")};
  auto heard = fleet.run_interval(dead);
  for (const auto& [address, digests] : fleet.run_interval(dead)) {
    heard[address].insert(digests.begin(), digests.end());
  }
  BOOST_TEST(missing(fleet, dead, heard) == 0U);
  fleet.set_members(dead);
  BOOST_TEST(missing(fleet, dead, fleet.run_interval(dead)) == 0U);
}

BOOST_AUTO_TEST_CASE(a_zone_with_one_node_and_an_empty_fleet_are_supported) {
  LoadRelay alone("a", "x");
  BOOST_TEST(alone.next_digest_recipients().empty());
  BOOST_TEST(!alone.relays());
  std::deque<Member> members;
  std::vector<const Member*> all;
  for (int number = 0; number < 25; ++number) {
    Member member;
    member.id = "n" + std::to_string(number);
    member.zone = number == 0 ? "x" : "y";
    member.peer_address = member.id;
    all.push_back(&members.emplace_back(member));
  }
  LoadRelay only("n0", "x");
  only.set_members(all);
  BOOST_TEST(only.relays());
  BOOST_TEST(only.next_digest_recipients().empty());
  BOOST_TEST(only.next_collection_recipients().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
