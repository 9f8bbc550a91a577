#include "gateway/replica_probe.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace dockpoint;

namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t kPort = 28'230;
constexpr Duration kTimeout = std::chrono::milliseconds(300);

struct Fixture {
  boost::asio::io_context loop{1};
  std::optional<tcp::acceptor> acceptor;

  void listen() {
    acceptor.emplace(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), kPort));
  }
  ProbeResult probe() {
    std::optional<ProbeResult> result;
    ReplicaProbe::start(loop, {"127.0.0.1", kPort}, kTimeout,
                        [&](ProbeResult reported) { result = reported; });
    while (!result) {
      loop.run_one();
    }
    return *result;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(replica_probe, Fixture)

BOOST_AUTO_TEST_CASE(a_process_that_keeps_the_connection_listens) {
  listen();
  BOOST_TEST((probe() == ProbeResult::kListens));
}

BOOST_AUTO_TEST_CASE(nobody_at_the_port_means_that_the_process_has_ended) {
  BOOST_TEST((probe() == ProbeResult::kEnded));
}

// The replica's listener outlived its connections by a moment, and the crash was not counted.
BOOST_AUTO_TEST_CASE(a_process_that_takes_the_connection_and_drops_it_is_not_known_to_listen) {
  listen();
  acceptor->async_accept([&](const boost::system::error_code& error, tcp::socket socket) {
    if (!error) {
      socket.close();
      acceptor.reset();
    }
  });
  BOOST_TEST((probe() == ProbeResult::kUnknown));
  BOOST_TEST((probe() == ProbeResult::kEnded));
}

BOOST_AUTO_TEST_SUITE_END()
