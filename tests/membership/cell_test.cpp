#include "dockpoint/membership/cell.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

using namespace dockpoint;

namespace {

constexpr std::size_t kUndividedLimit = 20;

std::vector<Member> fleet_of(std::size_t nodes, std::size_t zones) {
  std::vector<Member> members;
  for (std::size_t index = 0; index < nodes; ++index) {
    Member member;
    member.id = "node-" + std::to_string(index);
    member.zone = "zone-" + std::to_string(index % zones);
    member.capabilities = static_cast<std::uint32_t>(Capability::kCells);
    members.push_back(member);
  }
  return members;
}

std::vector<const Member*> pointers(const std::vector<Member>& members) {
  std::vector<const Member*> list;
  for (const Member& member : members) {
    list.push_back(&member);
  }
  return list;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cell)

BOOST_AUTO_TEST_CASE(a_small_fleet_and_one_whose_replicas_are_not_divided_have_no_cells) {
  const std::vector<Member> small = fleet_of(kUndividedLimit, 2);
  Cell cell("node-0", "zone-0");
  cell.update(pointers(small), 8, kUndividedLimit);
  BOOST_TEST(!cell.divided());
  const std::vector<Member> large = fleet_of(300, 3);
  cell.update(pointers(large), 1, kUndividedLimit);
  BOOST_TEST(!cell.divided());
}

// Datagrams a node and second: its cell, whatever the fleet.
BOOST_AUTO_TEST_CASE(cells_stay_small_and_agree_at_any_size) {
  for (const auto& [nodes, slices] :
       std::map<std::size_t, std::size_t>{{100, 2}, {300, 4}, {1'000, 8}, {2'000, 16}}) {
    const std::vector<Member> members = fleet_of(nodes, 5);
    const std::vector<const Member*> alive = pointers(members);
    std::map<std::string, std::set<std::string>> cells;
    for (const Member& member : members) {
      Cell cell(member.id, member.zone);
      cell.update(alive, slices, kUndividedLimit);
      BOOST_TEST_REQUIRE(cell.divided());
      for (const Member* other : cell.others()) {
        BOOST_TEST(other->zone == member.zone);
        cells[member.id].insert(other->id);
      }
      BOOST_TEST(cells[member.id].size() < Cell::kMaximumMembers);
    }
    for (const auto& [node, others] : cells) {
      for (const std::string& other : others) {
        BOOST_TEST(cells[other].contains(node));
      }
    }
  }
}

// While builds are replaced, relays of the older one would wait for digests that go to cells.
BOOST_AUTO_TEST_CASE(one_member_of_an_older_build_keeps_the_fleet_together) {
  std::vector<Member> members = fleet_of(300, 3);
  members[77].capabilities = 0;
  Cell cell("node-0", "zone-0");
  cell.update(pointers(members), 4, kUndividedLimit);
  BOOST_TEST(!cell.divided());
  members[77].capabilities = static_cast<std::uint32_t>(Capability::kCells);
  cell.update(pointers(members), 4, kUndividedLimit);
  BOOST_TEST(cell.divided());
}

BOOST_AUTO_TEST_SUITE_END()
