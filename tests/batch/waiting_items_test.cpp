#include "dockpoint/batch/waiting_items.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace dockpoint;

namespace {

constexpr std::int64_t kNowMs = 1'000'000;
constexpr int kSlots = 20;

const Knobs kKnobs;

WaitingItem item(std::uint32_t number, std::int64_t due_ms) {
  return {false, {due_ms, 20'000}, {0, "job", number}, {}};
}

/// @return the share of a node that is alone with idle replicas of a service.
BatchShare whole_share() {
  FleetLoad load;
  load.slots = kSlots;
  load.own_items = 1;
  load.all_items = 1;
  return {kKnobs, load};
}

StartOutcome start_any(const WaitingItem&) {
  return StartOutcome::kStarted;
}

/// @return the items that a round offers, in order; `outcome` is that of each.
std::vector<std::uint32_t> offered(WaitingItems& items, const std::string& service,
                                   StartOutcome outcome) {
  std::vector<std::uint32_t> numbers;
  items.start_round(service, kKnobs, whole_share(), 0, kNowMs, [&](const WaitingItem& offer) {
    numbers.push_back(offer.ref.item);
    return outcome;
  });
  return numbers;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(waiting_items)

BOOST_AUTO_TEST_CASE(items_start_in_order_of_their_due_times_and_overdue_ones_last) {
  WaitingItems items;
  WaitingItem overdue = item(1, kNowMs - 1);
  overdue.overdue = true;
  items.add("lm", overdue);
  items.add("lm", item(2, kNowMs + 9'000));
  items.add("lm", item(3, kNowMs + 8'000));
  BOOST_TEST(offered(items, "lm", StartOutcome::kStarted) == (std::vector<std::uint32_t>{3, 2, 1}),
             boost::test_tools::per_element());
  BOOST_TEST(items.size() == 0U);
  BOOST_TEST(items.services().empty());
}

// Guards against rounds that grow with the items that cannot run.
BOOST_AUTO_TEST_CASE(a_round_without_room_offers_one_item_however_many_wait) {
  for (const std::uint32_t count : {1U, 1'000U, 50'000U}) {
    WaitingItems items;
    for (std::uint32_t number = 0; number < count; ++number) {
      items.add("lm", item(number, kNowMs + number));
    }
    BOOST_TEST(offered(items, "lm", StartOutcome::kNoRoom).size() == 1U);
    BOOST_TEST(items.size() == count);
  }
}

BOOST_AUTO_TEST_CASE(a_round_offers_no_more_items_than_the_share_allows) {
  WaitingItems items;
  constexpr std::uint32_t kCount = 1'000;
  for (std::uint32_t number = 0; number < kCount; ++number) {
    items.add("lm", item(number, kNowMs + 20'000));
  }
  const std::size_t allowed = whole_share().non_urgent();
  BOOST_TEST(offered(items, "lm", StartOutcome::kNotNow).size() == allowed);
  BOOST_TEST(items.size() == kCount - allowed);
  constexpr std::size_t kRunning = 3;
  std::size_t started = 0;
  items.start_round("lm", kKnobs, whole_share(), kRunning, kNowMs, [&](const WaitingItem&) {
    ++started;
    return StartOutcome::kStarted;
  });
  BOOST_TEST(started == allowed - kRunning);
}

// Guards against items that stand still behind those of a service without a free replica.
BOOST_AUTO_TEST_CASE(whatever_waits_for_other_services_a_service_with_room_runs_its_items) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    WaitingItems items;
    std::set<std::uint32_t> runnable;
    std::uint32_t blocked = 0;
    for (std::uint32_t number = 0; number < 200; ++number) {
      const bool runs = random() % 4 == 0;
      const auto due_ms = kNowMs + static_cast<std::int64_t>(random() % 40'000) - 20'000;
      items.add(runs ? "well" : "lost", item(number, due_ms));
      if (runs) {
        runnable.insert(number);
      } else {
        ++blocked;
      }
    }
    std::set<std::uint32_t> ran;
    for (int round = 0; round < 50; ++round) {
      for (const std::string& service : items.services()) {
        const bool no_room = items.start_round(service, kKnobs, whole_share(), 0, kNowMs,
                                               [&](const WaitingItem& offer) {
                                                 if (service == "lost") {
                                                   return StartOutcome::kNoRoom;
                                                 }
                                                 ran.insert(offer.ref.item);
                                                 return StartOutcome::kStarted;
                                               });
        BOOST_TEST(no_room == (service == "lost"));
      }
    }
    BOOST_TEST((ran == runnable), "seed " << seed);
    BOOST_TEST(items.size_of("lost") == blocked);
  }
}

BOOST_AUTO_TEST_CASE(removed_items_are_not_offered) {
  WaitingItems items;
  items.add("lm", item(1, kNowMs));
  items.add("lm", item(2, kNowMs));
  items.add("large", item(3, kNowMs));
  const auto removed =
      items.remove_if([](const WaitingItem& waiting) { return waiting.ref.item != 2; });
  BOOST_TEST(removed.size() == 2U);
  BOOST_TEST(items.size() == 1U);
  BOOST_TEST((items.services() == std::vector<std::string>{"lm"}));
  BOOST_TEST(!items.start_round("large", kKnobs, whole_share(), 0, kNowMs, start_any));
  BOOST_TEST(offered(items, "lm", StartOutcome::kStarted) == (std::vector<std::uint32_t>{2}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_item_expires_after_its_time_only) {
  WaitingItem waiting = item(1, kNowMs);
  BOOST_TEST(!waiting.expired(kNowMs));
  waiting.expires_ms = kNowMs;
  BOOST_TEST(!waiting.expired(kNowMs));
  BOOST_TEST(waiting.expired(kNowMs + 1));
}

BOOST_AUTO_TEST_SUITE_END()
