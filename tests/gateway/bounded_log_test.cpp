#include "gateway/bounded_log.hpp"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace dockpoint;

namespace {

/// A pipe and a log that writes to it.
struct Fixture {
  Fixture() : descriptors(open_pipe()), log(descriptors[1]) {}
  ~Fixture() {
    close(descriptors[0]);
    close(descriptors[1]);
  }

  static std::array<int, 2> open_pipe() {
    std::array<int, 2> ends{};
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    return ends;
  }
  /// Logs a line with a timestamp of the given second.
  void add(std::int64_t second, const std::string& text) {
    spdlog::details::log_msg message(spdlog::log_clock::time_point(std::chrono::seconds(second)),
                                     {}, "dockpoint", spdlog::level::info, text);
    log.log(message);
  }
  /// Drains the log and reads the pipe until both are empty.
  std::string read_all() {
    std::string all;
    std::array<char, 4096> part{};
    log.drain();
    while (true) {
      const ssize_t length = read(descriptors[0], part.data(), part.size());
      all.append(part.data(), static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
      log.drain();
      if (length < static_cast<ssize_t>(part.size())) {
        return all;
      }
    }
  }

  std::array<int, 2> descriptors;
  BoundedLog log;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(bounded_log, Fixture)

BOOST_AUTO_TEST_CASE(lines_are_written_in_order) {
  add(1, "first");
  add(1, "second");
  const std::string text = read_all();
  BOOST_TEST(text.find("first") < text.find("second"));
  BOOST_TEST(log.dropped() == 0U);
}

BOOST_AUTO_TEST_CASE(burst_over_the_rate_limit_is_dropped_and_counted) {
  for (int line = 0; line < 1000; ++line) {
    add(1, "burst");
  }
  BOOST_TEST(log.dropped() > 0U);
  const std::string drop_message = "lines dropped count=" + std::to_string(log.dropped());
  BOOST_TEST(read_all().find(drop_message) != std::string::npos);
  const auto dropped = log.dropped();
  add(2, "the next second");
  BOOST_TEST(log.dropped() == dropped);
}

BOOST_AUTO_TEST_CASE(stalled_reader_does_not_block_logging) {
  const std::string line(1000, 'x');
  for (int second = 0; second < 10; ++second) {
    for (int count = 0; count < 200; ++count) {
      add(second, line);
    }
  }
  BOOST_TEST(log.dropped() > 0U);
  BOOST_TEST(read_all().find("lines dropped") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
