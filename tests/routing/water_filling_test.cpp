#include "dockpoint/routing/water_filling.hpp"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace dockpoint;

namespace {

double sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(water_filling)

BOOST_AUTO_TEST_CASE(few_unseen_requests_are_expected_at_the_least_loaded_replicas) {
  const std::array<SlotLoad, 3> replicas{{{1, 8}, {3, 8}, {6, 8}}};
  const WaterFilling filling(replicas, 2);
  BOOST_TEST(filling.expected()[0] == 2.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(filling.expected()[1] == 0.0);
  BOOST_TEST(filling.expected()[2] == 0.0);
}

BOOST_AUTO_TEST_CASE(many_unseen_requests_raise_all_replicas_to_a_common_level) {
  const std::array<SlotLoad, 3> replicas{{{1, 8}, {3, 8}, {6, 8}}};
  const WaterFilling filling(replicas, 11);
  BOOST_TEST(filling.expected()[0] == 6.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(filling.expected()[1] == 4.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(filling.expected()[2] == 1.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(replicas_of_unequal_size_are_filled_to_the_same_level) {
  const std::array<SlotLoad, 2> replicas{{{0, 4}, {0, 12}}};
  const WaterFilling filling(replicas, 8);
  BOOST_TEST(filling.expected()[0] == 2.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(filling.expected()[1] == 6.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(all_unseen_requests_are_distributed_and_draws_are_proportional) {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> load(0, 12);
  for (int round = 0; round < 200; ++round) {
    std::vector<SlotLoad> replicas;
    for (int index = 0; index < 1 + round % 9; ++index) {
      replicas.push_back({load(random), 1.0 + index});
    }
    const double unseen = 0.1 + load(random);
    const WaterFilling filling(replicas, unseen);
    BOOST_TEST(sum(filling.expected()) == unseen, boost::test_tools::tolerance(1e-6));
    const std::vector<double> preference(replicas.size(), 1.0);
    for (const std::size_t index : filling.draw(3, preference, random)) {
      BOOST_TEST(filling.expected()[index] > 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(preferred_replicas_are_drawn_more_often_and_without_replacement) {
  const std::array<SlotLoad, 3> replicas{{{0, 8}, {0, 8}, {9, 8}}};
  const WaterFilling filling(replicas, 2);
  const std::array<double, 3> preference{3, 1, 100};
  std::mt19937_64 random(3);
  int first = 0;
  for (int round = 0; round < 1'000; ++round) {
    first += filling.draw(1, preference, random).front() == 0 ? 1 : 0;
  }
  BOOST_TEST(first > 700);
  BOOST_TEST(first < 800);
  std::vector<std::size_t> all = filling.draw(3, preference, random);
  std::sort(all.begin(), all.end());
  BOOST_TEST(all == (std::vector<std::size_t>{0, 1}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
