#include "gateway/replica_probe.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace dockpoint;

namespace {

using boost::asio::ip::tcp;

constexpr std::uint16_t kPort = 28'230;
constexpr Duration kTimeout = std::chrono::milliseconds(300);

/// Longer than an ending process keeps its connections.
constexpr Duration kObservation = std::chrono::milliseconds(200);

struct Fixture {
  boost::asio::io_context loop{1};
  std::optional<tcp::acceptor> acceptor;

  void listen() {
    acceptor.emplace(loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), kPort));
  }
  ProbeResult probe() {
    std::optional<ProbeResult> result;
    ReplicaProbe::start(loop, {"127.0.0.1", kPort}, {kTimeout, kObservation},
                        [&](ProbeResult reported) { result = reported; });
    while (!result) {
      loop.run_one();
    }
    return *result;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(replica_probe, Fixture)

BOOST_AUTO_TEST_CASE(an_open_connection_is_reported_as_listening) {
  listen();
  BOOST_TEST((probe() == ProbeResult::kListens));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_reported_as_ended) {
  BOOST_TEST((probe() == ProbeResult::kEnded));
}

// Regression: the listener of a crashing replica stayed open briefly after its connections were
// closed, so the probe saw a running process and the crash was not counted.
BOOST_AUTO_TEST_CASE(a_connection_closed_after_accept_is_reported_as_unknown) {
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
