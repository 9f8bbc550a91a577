#include "dockpoint/log/read_barrier.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "emulator/memory_log.hpp"
#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

struct Fixture {
  Knobs knobs;
  MemoryLog log{LogLimits{1, 4096, 65536, std::chrono::seconds(1)}, 1};
  const TopicPartition partition{"replicas", 0};
  LogOffset position = 0;  ///< Of the view.
  std::vector<TimePoint> passed;
  ReadBarrier barrier{knobs, log, partition, [this] { return position; },
                      [this](TimePoint as_of) { passed.push_back(as_of); }};
  std::int64_t now = 1000;

  void append() {
    log.append(partition, {{"replica", "record", 0}}, std::nullopt, [](const AppendOutcome&) {});
    run(50);
  }
  void run(std::int64_t milliseconds) {
    for (const std::int64_t end = now + milliseconds; now < end; now += 10) {
      log.advance(at(now));
      barrier.tick();
    }
  }
  /// Requests a confirmation as of the present until it comes or the time is over.
  void request_for(std::int64_t milliseconds) {
    const TimePoint as_of = at(now);
    for (const std::int64_t end = now + milliseconds; now < end; now += 10) {
      log.advance(at(now));
      barrier.tick();
      if (!passed.empty() && passed.back() >= as_of) {
        return;
      }
      barrier.request(as_of, at(now));
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(read_barrier, Fixture)

BOOST_AUTO_TEST_CASE(a_view_at_the_end_is_confirmed_as_of_the_read) {
  append();
  position = 1;
  const TimePoint as_of = at(now);
  request_for(200);
  BOOST_REQUIRE(passed.size() == 1);
  BOOST_TEST((passed.back() == as_of));
  BOOST_TEST(log.reads() == 1);
}

BOOST_AUTO_TEST_CASE(a_view_that_lacks_a_record_is_not_confirmed_until_it_has_it) {
  append();
  request_for(300);
  BOOST_TEST(passed.empty());
  const std::size_t reads = log.reads();
  position = 1;
  run(20);
  BOOST_TEST(passed.size() == 1);
  BOOST_TEST(log.reads() == reads);
}

BOOST_AUTO_TEST_CASE(nothing_is_confirmed_while_the_log_does_not_answer) {
  log.faults.down = true;
  request_for(1000);
  BOOST_TEST(passed.empty());
  log.faults.down = false;
  request_for(1000);
  BOOST_TEST(passed.size() == 1);
}

BOOST_AUTO_TEST_CASE(one_read_serves_all_requests_of_before_it_began) {
  const TimePoint earlier = at(now - 30);
  barrier.request(earlier, at(now));
  barrier.request(earlier, at(now));
  run(100);
  BOOST_TEST(log.reads() == 1);
  BOOST_TEST(passed.size() == 1);
}

// The pending read may have begun before a record was appended of which the later request is to
// know.
BOOST_AUTO_TEST_CASE(a_request_is_not_served_by_a_read_that_began_before_it) {
  barrier.request(at(now), at(now));
  now += 10;
  const TimePoint later = at(now);
  request_for(500);
  BOOST_TEST(log.reads() == 2);
  BOOST_REQUIRE(!passed.empty());
  BOOST_TEST((passed.back() >= later));
}

BOOST_AUTO_TEST_SUITE_END()
