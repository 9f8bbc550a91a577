#include "gateway/version_log.hpp"

#include <boost/test/unit_test.hpp>

#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

/// A node that keeps all records of versions.
struct Node {
  Knobs knobs;
  ReplicaDirectory replicas{knobs};
  SoftwareVersions versions{knobs};
  VersionLog version_log;

  explicit Node(PartitionedLog& log)
      : version_log(knobs, log, "versions", 7, versions,
                    [](const ServedVersion&) { return true; }) {
    version_log.load();
  }
  void add(const std::string& version) {
    ReplicaRecord record{version, "lm", {}, "zone", 8, false, {}};
    record.software_version = version;
    replicas.upsert(record, at(0));
  }
};

struct Fixture {
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  std::int64_t now = 0;

  void run(Node& node, std::int64_t milliseconds) {
    const std::int64_t end = now + milliseconds;
    for (; now < end; now += 10) {
      log.advance(at(now));
      node.versions.observe(node.replicas, at(now));
      node.version_log.tick(false, at(now));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(version_log, Fixture)

BOOST_AUTO_TEST_CASE(a_node_that_starts_learns_of_versions_that_left_before) {
  {
    Node node(log);
    node.add("v1");
    run(node, 5000);
    BOOST_TEST((node.versions.sole("lm") == "v1"));
  }
  Node node(log);
  node.add("v2");
  run(node, 5000);
  BOOST_TEST(node.versions.several("lm"));
  BOOST_TEST(!node.versions.sole("lm").has_value());
}

// The records are not loaded a second time: only new ones are read.
BOOST_AUTO_TEST_CASE(a_node_that_was_suspended_claims_a_sole_version_again) {
  Node node(log);
  node.add("v1");
  run(node, 5000);
  node.version_log.load();
  BOOST_TEST(!node.versions.sole("lm").has_value());
  run(node, 2000);
  BOOST_TEST((node.versions.sole("lm") == "v1"));
}

BOOST_AUTO_TEST_CASE(nothing_is_claimed_while_the_log_does_not_answer) {
  log.faults.down = true;
  Node node(log);
  node.add("v1");
  run(node, 5000);
  BOOST_TEST(!node.versions.sole("lm").has_value());
  log.faults.down = false;
  run(node, 5000);
  BOOST_TEST((node.versions.sole("lm") == "v1"));
}

BOOST_AUTO_TEST_SUITE_END()
