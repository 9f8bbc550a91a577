#include "dockpoint/batch/group_member.hpp"

#include <boost/test/unit_test.hpp>

#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

/// A group member on an in-memory log, in simulated time.
struct Fixture : GroupMemberObserver {
  Knobs knobs;
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  GroupMember member{knobs, log, "group", "topic", "node", 7, *this};
  std::int64_t now = 0;
  int acquired = 0;
  int lost = 0;

  void run(std::int64_t milliseconds) {
    const std::int64_t end = now + milliseconds;
    for (; now < end; now += 10) {
      log.advance(at(now));
      member.tick(at(now));
    }
  }

  void on_acquired(int /*partition*/, std::uint64_t /*epoch*/) override { ++acquired; }
  void on_revoked(int partition) override { member.released(partition); }
  void on_ownership_uncertain(int /*partition*/) override {}
  void on_lost(int /*partition*/) override { ++lost; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(group_membership, Fixture)

// Regression test: a partition moved to another node and back while this node was disconnected.
// The node received the newest generation, verified its epoch and was fenced by the other node's
// epoch. It dropped the partition, but the next join returned the same generation, so it did not
// acquire the partition again. No node owned it, and twelve of its jobs never finished (0 of 5
// results). The log showed "batch: partition fenced by a newer owner partition=1".
BOOST_AUTO_TEST_CASE(a_fenced_member_reacquires_a_partition_still_assigned_to_it) {
  run(1'000);
  BOOST_TEST(acquired == 1);
  member.fenced(0);
  run(2'000);
  BOOST_TEST(lost == 1);
  BOOST_TEST(acquired == 2);
}

// Regression test: a node that had been cut off from the log, and whose partition another node had
// taken over, answered reads from its old state once the log was away for everybody.
BOOST_AUTO_TEST_CASE(a_member_cut_off_before_an_outage_serves_no_reads_during_it) {
  run(1'000);
  log.faults.down = true;
  for (int round = 0; round < 40; ++round) {
    member.set_others_reach_log(true, at(now));
    run(100);
  }
  BOOST_TEST(!member.may_serve_reads(at(now)));
  member.set_others_reach_log(false, at(now));
  BOOST_TEST(!member.may_serve_reads(at(now)));
}

BOOST_AUTO_TEST_CASE(a_member_serves_reads_during_an_outage_that_began_for_all_at_once) {
  run(1'000);
  member.set_others_reach_log(true, at(now));
  log.faults.down = true;
  run(1'500);
  member.set_others_reach_log(false, at(now));
  run(10'000);
  BOOST_TEST(!member.lease_valid(at(now)));
  BOOST_TEST(member.may_serve_reads(at(now)));
}

BOOST_AUTO_TEST_CASE(the_lease_is_expired_when_a_paused_node_resumes) {
  run(1'000);
  BOOST_TEST(member.lease_valid(at(now)));
  now += 10'000;
  BOOST_TEST(!member.lease_valid(at(now)));
}

BOOST_AUTO_TEST_SUITE_END()
