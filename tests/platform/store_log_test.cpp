#include "platform/store_log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

using namespace dockpoint;

namespace {

constexpr std::uint16_t kSilentPort = 28'401;

}  // namespace

BOOST_AUTO_TEST_SUITE(store_log)

BOOST_AUTO_TEST_CASE(a_call_under_way_is_not_answered_once_its_log_is_gone) {
  boost::asio::io_context loop(1);
  // Connections are taken and never answered.
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                                kSilentPort);
  const boost::asio::ip::tcp::acceptor silent(loop, endpoint);
  net::HttpClient client(loop);
  int answers_of_gone = 0;
  int answers_of_kept = 0;
  const auto ask = [](platform::StoreLog& log, int& answers) {
    log.owners("group", [&](const OwnersOutcome&) { ++answers; });
  };
  platform::StoreLog kept(loop, client, {"127.0.0.1", kSilentPort}, LogLimits{});
  auto gone = std::make_unique<platform::StoreLog>(loop, client, Address{"127.0.0.1", kSilentPort},
                                                   LogLimits{});
  ask(*gone, answers_of_gone);
  gone.reset();
  ask(kept, answers_of_kept);  // Its time limit comes after the other's.
  while (answers_of_kept == 0) {
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(answers_of_kept == 1);
  BOOST_TEST(answers_of_gone == 0);
}

BOOST_AUTO_TEST_SUITE_END()
