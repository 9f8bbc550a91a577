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

BOOST_AUTO_TEST_CASE(small_fleets_and_fleets_with_one_slice_have_no_cells) {
  const std::vector<Member> small = fleet_of(kUndividedLimit, 2);
  Cell cell("node-0", "zone-0");
  cell.update(pointers(small), 8, kUndividedLimit);
  BOOST_TEST(!cell.divided());
  const std::vector<Member> large = fleet_of(300, 3);
  cell.update(pointers(large), 1, kUndividedLimit);
  BOOST_TEST(!cell.divided());
}

// The datagrams per node and second depend on the size of its cell, not on that of the fleet.
BOOST_AUTO_TEST_CASE(cells_are_bounded_and_consistent_at_any_fleet_size) {
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

// During a rolling upgrade, relays of the older build would miss the digests sent within cells.
BOOST_AUTO_TEST_CASE(one_member_of_an_older_build_disables_cells) {
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
