#include "dockpoint/routing/software_versions.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow = TimePoint{} + 1000s;

struct Fixture {
  Knobs knobs;
  ReplicaDirectory replicas{knobs};
  SoftwareVersions versions{knobs};

  void add(const std::string& id, const std::string& version, bool draining = false) {
    ReplicaRecord record{id, "lm", {}, "zone", 8, draining, {}};
    record.software_version = version;
    replicas.upsert(record, kNow);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(software_versions, Fixture)

BOOST_AUTO_TEST_CASE(a_single_version_is_the_sole_one) {
  add("a", "v1");
  add("b", "v1");
  versions.observe(replicas, kNow);
  BOOST_TEST((versions.sole("lm") == "v1"));
  BOOST_TEST(!versions.several("lm"));
  BOOST_TEST(!versions.sole("other").has_value());
}

BOOST_AUTO_TEST_CASE(a_version_counts_while_streams_that_began_there_may_return) {
  add("a", "v1");
  add("b", "v2");
  versions.observe(replicas, kNow);
  replicas.remove("a");
  versions.observe(replicas, kNow + 1s);
  BOOST_TEST(versions.several("lm"));
  BOOST_TEST(!versions.sole("lm").has_value());
  versions.observe(replicas, kNow + knobs.stream_origin_lifetime + 1s);
  BOOST_TEST((versions.sole("lm") == "v2"));
}

// A node that was out of step reads the record of a replica and its removal at once.
BOOST_AUTO_TEST_CASE(a_version_whose_replica_came_and_went_between_two_observations_counts) {
  add("a", "v1");
  versions.observe(replicas, kNow);
  add("b", "v2");
  replicas.remove("b");
  versions.observe(replicas, kNow + 1s);
  BOOST_TEST(versions.several("lm"));
  BOOST_TEST(!versions.sole("lm").has_value());
}

BOOST_AUTO_TEST_CASE(draining_replicas_count) {
  add("a", "v1", true);
  add("b", "v2");
  versions.observe(replicas, kNow);
  BOOST_TEST(versions.several("lm"));
  BOOST_TEST(!replicas.serves("lm", "v1"));
  BOOST_TEST(replicas.serves("lm", "v2"));
}

BOOST_AUTO_TEST_CASE(no_version_is_the_sole_one_until_earlier_ones_are_known) {
  versions.await_history();
  add("a", "v2");
  versions.observe(replicas, kNow);
  BOOST_TEST(!versions.sole("lm").has_value());
  versions.restore({}, kNow);
  BOOST_TEST((versions.sole("lm") == "v2"));
}

BOOST_AUTO_TEST_CASE(a_version_that_served_before_the_start_counts) {
  versions.await_history();
  add("a", "v2");
  versions.observe(replicas, kNow);
  versions.restore({{"lm", "v1"}, {"lm", "v2"}, {"other", "v7"}}, kNow);
  BOOST_TEST(!versions.sole("lm").has_value());
  BOOST_TEST(versions.several("lm"));
  versions.observe(replicas, kNow + knobs.stream_origin_lifetime + 1s);
  BOOST_TEST((versions.sole("lm") == "v2"));
}

BOOST_AUTO_TEST_SUITE_END()
