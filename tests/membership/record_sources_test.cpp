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

using Step = RecordSources::Step;

constexpr Duration kBound = std::chrono::seconds(4);
const TopicPartition kReplicas{"replicas", 0};
const TopicPartition kConfiguration{"configuration", 0};

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

/// @return the first node that no other node reads from.
std::size_t leaf_of(const Fleet& fleet) {
  std::size_t leaf = 0;
  while (fleet.sources_of(leaf).passes_on()) {
    ++leaf;
  }
  return leaf;
}

/// Lets all sources refuse.
void exclude_all(RecordSources& sources, TimePoint now) {
  while (const auto source = sources.next(now)) {
    sources.failed(*source, true, now);
  }
}

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
  RecordSources sources = fleet.sources_of(leaf_of(fleet));
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
  const RelayBudget budget(kBound);
  std::size_t leaves = 0;
  std::size_t early = 0;
  std::size_t late = 0;
  for (std::size_t index = 0; index < 1'000; ++index) {
    RecordSources sources = fleet.sources_of(index);
    if (sources.passes_on()) {
      continue;
    }
    ++leaves;
    const auto reads_log_at = [&](Duration age) {
      return sources.next_step(kReplicas, age, at(10'000)).target == Step::Target::kLog;
    };
    const Duration tenth = (budget.longest_log_age() - budget.shortest_log_age()) / 10;
    BOOST_TEST(!reads_log_at(budget.shortest_log_age() - tenth));
    early += reads_log_at(budget.shortest_log_age() + 2 * tenth) ? 1 : 0;
    late += reads_log_at(budget.longest_log_age()) ? 1 : 0;
  }
  BOOST_TEST(early > leaves / 10);
  BOOST_TEST(early < leaves / 3);
  BOOST_TEST(late == leaves);
}

// One wait for both topics let an answer for the configuration postpone the read of the replicas.
BOOST_AUTO_TEST_CASE(answer_for_one_topic_does_not_postpone_the_log_read_of_another) {
  const Fleet fleet(300);
  RecordSources sources = fleet.sources_of(leaf_of(fleet));
  exclude_all(sources, at(1'000));
  sources.log_answered(kConfiguration);
  const Step step = sources.next_step(kReplicas, RelayBudget(kBound).longest_log_age(), at(1'000));
  BOOST_TEST((step.target == Step::Target::kLog));
}

// A zone must not depend on its two readers.
BOOST_AUTO_TEST_CASE(relay_whose_readers_refuse_reads_from_the_log_at_once) {
  const Fleet fleet(300);
  std::size_t relay = 0;
  while (!fleet.sources_of(relay).passes_on() || fleet.sources_of(relay).has_no_sources()) {
    ++relay;
  }
  RecordSources sources = fleet.sources_of(relay);
  exclude_all(sources, at(1'000));
  const Step step = sources.next_step(kReplicas, at(1'000) - at(900), at(1'000));
  BOOST_TEST((step.target == Step::Target::kLog));
}

BOOST_AUTO_TEST_CASE(read_without_a_source_waits_until_one_is_available_or_the_log_is_due) {
  const Fleet fleet(300);
  RecordSources sources = fleet.sources_of(leaf_of(fleet));
  exclude_all(sources, at(1'000));
  const Step early = sources.next_step(kReplicas, {}, at(1'000));
  BOOST_TEST((early.target == Step::Target::kPause));
  BOOST_TEST((early.until == at(1'000) + RecordSources::kRefusalRetryDelay));
  const Duration almost_due = sources.log_age() - std::chrono::milliseconds(10);
  const Step late = sources.next_step(kReplicas, almost_due, at(1'000));
  BOOST_TEST((late.until == at(1'010)));
}

// The log is away, or too slow for the limit: sources are asked in the meantime.
BOOST_AUTO_TEST_CASE(after_a_failure_of_the_log_sources_are_asked_until_its_pause_is_over) {
  const Fleet fleet(300);
  RecordSources sources = fleet.sources_of(leaf_of(fleet));
  const RelayBudget budget(kBound);
  const Duration age = budget.longest_log_age();
  sources.log_failed(kReplicas, at(1'000));
  BOOST_TEST((sources.next_step(kReplicas, age, at(1'000)).target == Step::Target::kSource));
  const TimePoint over = at(1'000) + budget.log_pause(1);
  BOOST_TEST((sources.next_step(kReplicas, age, over).target == Step::Target::kLog));
  BOOST_TEST((sources.next_step(kConfiguration, age, at(1'000)).target == Step::Target::kLog));
  for (int failures = 0; failures < 10; ++failures) {
    sources.log_failed(kReplicas, at(2'000));
  }
  BOOST_TEST(
      (sources.next_step(kReplicas, age, at(2'000) + kBound / 2).target == Step::Target::kLog));
}

// The end of a read at a source that does not answer leaves the time for the log.
// When a fleet of a thousand nodes began to relay, all of them loaded all records from the log,
// which then refused the nodes that the others were to read from.
BOOST_AUTO_TEST_CASE(leaf_leaves_the_log_to_its_sources_until_one_has_answered) {
  const Fleet fleet(200);
  RecordSources sources = fleet.sources_of(leaf_of(fleet));
  const TimePoint began = at(1'000);
  const TimePoint until = began + kBound;
  sources.begin(until);
  exclude_all(sources, began);
  BOOST_TEST((sources.next_step(kReplicas, kBound, began).target != Step::Target::kLog));
  exclude_all(sources, until);
  BOOST_TEST((sources.next_step(kReplicas, kBound, until).target == Step::Target::kLog));

  sources.begin(until + kBound);
  sources.source_answered();
  exclude_all(sources, until);
  BOOST_TEST((sources.next_step(kReplicas, kBound, until).target == Step::Target::kLog));
}

BOOST_AUTO_TEST_CASE(read_at_a_source_ends_before_the_log_is_due) {
  const Fleet fleet(300);
  RecordSources sources = fleet.sources_of(leaf_of(fleet));
  const RelayBudget budget(kBound);
  for (int percent = 0; percent < 50; percent += 5) {
    const Duration age = kBound * percent / 100;
    const Step step = sources.next_step(kReplicas, age, at(1'000));
    BOOST_TEST((step.target == Step::Target::kSource));
    const Duration latest = std::max(sources.log_age(), age + budget.source_limit());
    BOOST_TEST((age + step.wait + step.limit <= latest));
  }
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
