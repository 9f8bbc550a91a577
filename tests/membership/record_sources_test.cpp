#include "dockpoint/membership/record_sources.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <vector>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

constexpr Duration kBound = std::chrono::seconds(4);

struct Fleet {
  explicit Fleet(std::size_t nodes, std::size_t zones = 1) {
    for (std::size_t index = 0; index < nodes; ++index) {
      Member member;
      member.id = "node-" + std::to_string(index);
      member.zone = "zone-" + std::to_string(index % zones);
      member.control_address = address_of(index);
      member.capabilities = kAllCapabilities;
      members.push_back(member);
    }
    for (const Member& member : members) {
      alive.push_back(&member);
    }
  }
  static std::string address_of(std::size_t index) {
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":80";
  }
  RecordSources sources_of(std::size_t index) const {
    RecordSources sources(members[index].id, members[index].zone, kBound);
    sources.update(alive);
    return sources;
  }

  std::vector<Member> members;
  std::vector<const Member*> alive;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(record_sources)

// The reads of the log grow with the number of zones only, and the readers per node are bounded.
BOOST_AUTO_TEST_CASE(two_nodes_per_zone_read_the_log_and_the_others_read_from_nodes_at_any_size) {
  for (const std::size_t nodes : {5, 100, 1'000, 2'000, 10'000}) {
    constexpr std::size_t kZones = 5;
    const Fleet fleet(nodes, kZones);
    std::size_t from_log = 0;
    std::map<std::string, std::size_t> readers;
    std::set<std::string> passing_on;
    for (std::size_t index = 0; index < nodes; ++index) {
      RecordSources sources = fleet.sources_of(index);
      const auto source = sources.next(at(0));
      from_log += source ? 0 : 1;
      if (source) {
        ++readers[*source];
      }
      if (sources.passes_on()) {
        passing_on.insert(fleet.members[index].control_address);
      }
    }
    BOOST_TEST(from_log == std::min(nodes, kZones * RecordSources::kReaders));
    for (const auto& [source, count] : readers) {
      BOOST_TEST(passing_on.contains(source));
      BOOST_TEST(count <= 2 * RecordSources::kFanOut, nodes << " nodes: " << count);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failed_source_is_excluded_for_a_while) {
  const Fleet fleet(300);
  std::size_t leaf = 0;
  while (fleet.sources_of(leaf).passes_on()) {
    ++leaf;
  }
  RecordSources sources = fleet.sources_of(leaf);
  const std::string first = sources.next(at(0)).value();
  sources.failed(first, false, at(0));
  const std::string second = sources.next(at(10)).value();
  BOOST_TEST(second != first);
  sources.failed(second, true, at(20));
  BOOST_TEST(sources.next(at(30)).value() != second);
  BOOST_TEST(sources.next(at(1'000)).value() == second);
  BOOST_TEST(sources.next(at(6'000)).value() == first);
}

// Guards against a self-sustaining overload: a slow log makes the sources slow, and if all their
// readers turned to the log at the same time, it would stay slow.
BOOST_AUTO_TEST_CASE(nodes_without_an_answer_fall_back_to_the_log_at_staggered_times) {
  const Fleet fleet(1'000);
  std::size_t leaves = 0;
  std::size_t early = 0;
  std::size_t late = 0;
  for (std::size_t index = 0; index < 1'000; ++index) {
    RecordSources sources = fleet.sources_of(index);
    if (sources.passes_on()) {
      continue;
    }
    ++leaves;
    sources.succeeded(at(10'000));
    BOOST_TEST(!sources.may_read_log(at(10'900)));
    early += sources.may_read_log(at(11'200)) ? 1 : 0;
    late += sources.may_read_log(at(12'000)) ? 1 : 0;
  }
  BOOST_TEST(early > leaves / 10);
  BOOST_TEST(early < leaves / 3);
  BOOST_TEST(late == leaves);
}

BOOST_AUTO_TEST_CASE(isolated_nodes_and_nodes_among_older_builds_read_from_the_log) {
  RecordSources alone("node-1", "zone-1", kBound);
  BOOST_TEST(!alone.next(at(0)).has_value());
  BOOST_TEST(alone.passes_on());
  Fleet fleet(100);
  for (Member& member : fleet.members) {
    member.capabilities = 0;
  }
  RecordSources sources = fleet.sources_of(3);
  BOOST_TEST(!sources.next(at(0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
