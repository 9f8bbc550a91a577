#include "supervisor/supervisor.hpp"

#include <spdlog/spdlog.h>

#include <atomic>
#include <boost/test/unit_test.hpp>

#include "supervisor/task_pool.hpp"

using namespace dockpoint;
using namespace std::chrono_literals;

namespace {

/// Throws on the first `failures` starts, then runs until a stop is requested.
class FlakyPart : public Part {
 public:
  FlakyPart(std::string name, int failures, std::vector<std::string>* stopped)
      : Part(std::move(name)), failures_(failures), stopped_(stopped) {}

  void run(std::stop_token stop) override {
    if (++starts <= failures_) {
      throw std::runtime_error("made to fail");
    }
    wait_until_stopped(stop);
    stopped_->push_back(name());
  }

  std::atomic<int> starts{0};

 private:
  const int failures_;
  std::vector<std::string>* stopped_;
};

struct Fixture {
  Fixture() { spdlog::set_level(spdlog::level::off); }
  ~Fixture() { spdlog::set_level(spdlog::level::info); }
  std::vector<std::string> stopped;
};

void wait_until(const std::function<bool()>& condition) {
  while (!condition()) {
    std::this_thread::sleep_for(1ms);
  }
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(supervisor, Fixture)

BOOST_AUTO_TEST_CASE(only_the_failed_part_restarts_and_parts_stop_in_reverse_order) {
  auto first = std::make_shared<FlakyPart>("first", 0, &stopped);
  auto second = std::make_shared<FlakyPart>("second", 2, &stopped);
  Supervisor root("root", RestartLimits{5, 60'000ms, 1ms});
  root.add(first);
  root.add(second);
  std::jthread thread([&](std::stop_token stop) { root.run(stop); });
  wait_until([&] { return second->starts == 3; });
  thread.request_stop();
  thread.join();
  BOOST_TEST(first->starts == 1);
  BOOST_TEST((stopped == std::vector<std::string>{"second", "first"}));
}

BOOST_AUTO_TEST_CASE(exceeding_restart_limits_escalates_to_the_parent_supervisor) {
  auto steady = std::make_shared<FlakyPart>("steady", 0, &stopped);
  auto broken = std::make_shared<FlakyPart>("broken", 1000, &stopped);
  auto inner = std::make_shared<Supervisor>("inner", RestartLimits{2, 60'000ms, 1ms});
  inner->add(broken);
  Supervisor root("root", RestartLimits{1, 60'000ms, 1ms});
  root.add(steady);
  root.add(inner);
  std::stop_source never;
  BOOST_CHECK_THROW(root.run(never.get_token()), SupervisorGaveUp);
  // Three starts in the first run of the inner supervisor; its second run adds at least one.
  BOOST_TEST(broken->starts >= 4);
  BOOST_TEST((stopped == std::vector<std::string>{"steady"}));
}

BOOST_AUTO_TEST_CASE(task_pool_runs_tasks_and_rejects_them_when_the_queue_is_full) {
  TaskPool pool("pool", 2, 3);
  std::atomic<int> done{0};
  for (int task = 0; task < 3; ++task) {
    BOOST_TEST(pool.submit([&] { ++done; }));
  }
  BOOST_TEST(!pool.submit([&] { ++done; }));
  std::jthread thread([&](std::stop_token stop) { pool.run(stop); });
  wait_until([&] { return done == 3; });
  BOOST_TEST(pool.submit([] { throw std::runtime_error("a task may fail"); }));
  BOOST_TEST(pool.submit([&] { ++done; }));
  wait_until([&] { return done == 4; });
}

BOOST_AUTO_TEST_SUITE_END()
