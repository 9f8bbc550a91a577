#include "dockpoint/core/knob_table.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace dockpoint;

BOOST_AUTO_TEST_SUITE(knob_table_suite)

BOOST_AUTO_TEST_CASE(each_knob_is_set_by_its_name) {
  std::set<std::string_view> names;
  for (const KnobInfo& info : knob_table()) {
    Knobs knobs;
    BOOST_TEST(set_knob(knobs, info.name, 7));
    BOOST_TEST(names.insert(info.name).second);
  }
  Knobs knobs;
  set_knob(knobs, "batch_fill", 0.25);
  set_knob(knobs, "log_hedge_calls", 1);
  set_knob(knobs, "removal_grace", 1'500);
  BOOST_TEST(knobs.batch_fill == 0.25);
  BOOST_TEST(knobs.log_hedge_calls == 1);
  BOOST_TEST((knobs.removal_grace == std::chrono::milliseconds(1'500)));
}

BOOST_AUTO_TEST_CASE(an_unknown_name_changes_nothing) {
  Knobs knobs;
  BOOST_TEST(!set_knob(knobs, "no_such_knob", 1));
}

BOOST_AUTO_TEST_SUITE_END()
