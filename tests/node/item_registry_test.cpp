#include "node/item_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

ItemDispatch make_item(ItemIndex index) {
  ItemDispatch item;
  item.partition = 3;
  item.job = "job";
  item.item = index;
  return item;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(item_registry)

BOOST_AUTO_TEST_CASE(an_item_cancelled_while_queued_is_never_sent) {
  ItemRegistry items;
  BOOST_TEST(items.add(make_item(1)));
  BOOST_TEST(!items.cancel(3, "job", 1));
  BOOST_TEST(!items.mark_sent(make_item(1), {"engine", "id"}));
  BOOST_TEST(items.finish(make_item(1)));
}

BOOST_AUTO_TEST_CASE(cancelling_an_item_in_flight_returns_its_engine_request) {
  ItemRegistry items;
  items.add(make_item(1));
  BOOST_TEST(items.mark_sent(make_item(1), {"engine", "id"}));
  const auto sent = items.cancel(3, "job", 1);
  BOOST_REQUIRE(sent);
  BOOST_TEST(sent->engine_address == "engine");
  BOOST_TEST(sent->request_id == "id");
  BOOST_TEST(items.finish(make_item(1)));
}

BOOST_AUTO_TEST_CASE(a_registered_item_cannot_be_added_again_until_it_finishes) {
  ItemRegistry items;
  BOOST_TEST(items.add(make_item(1)));
  BOOST_TEST(!items.add(make_item(1)));
  BOOST_TEST(items.add(make_item(2)));
  BOOST_TEST(!items.finish(make_item(1)));
  BOOST_TEST(items.add(make_item(1)));
  BOOST_TEST(!items.cancel(3, "other", 1));
}

BOOST_AUTO_TEST_SUITE_END()
