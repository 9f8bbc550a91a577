#include "dockpoint/streaming/stream_pace.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

#include "support/fleet.hpp"

using namespace dockpoint;
using dockpoint::test::at;

namespace {

const std::string kEvent = "id: 1\r\ndata: a\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_pace)

BOOST_AUTO_TEST_CASE(mean_time_spans_the_first_to_the_last_event) {
  StreamPace pace;
  BOOST_TEST(!pace.begun());
  for (int event = 0; event <= 10; ++event) {
    pace.take(kEvent, at(500 + 30 * event));
  }
  BOOST_TEST(pace.begun());
  BOOST_TEST((pace.step() == std::chrono::milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(merged_and_split_events_are_counted_once) {
  StreamPace pace;
  pace.take(kEvent + kEvent, at(0));
  pace.take("id: 2\n", at(50));
  pace.take("data: b\n", at(60));
  pace.take("\n", at(60));
  pace.take("data: c\n\ndata: d\n\ndata: e\n\n", at(120));
  BOOST_TEST((pace.step() == std::chrono::milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(a_short_stream_has_no_mean_time) {
  StreamPace pace;
  pace.take(kEvent, at(0));
  pace.take(kEvent + kEvent, at(60));
  BOOST_TEST(!pace.step().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
