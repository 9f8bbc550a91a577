#include "gateway/peer_link.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "gateway/gateway_surroundings.hpp"
#include "net/clock.hpp"

using namespace dockpoint;
using dockpoint::test::GatewaySurroundings;

namespace {

constexpr const char* kLinkAddress = "127.0.0.1:28236";

struct Fixture : GatewaySurroundings {
  int datagrams = 0;
  std::unique_ptr<PeerLink> link = open_link();

  std::unique_ptr<PeerLink> open_link() {
    const auto count = [this](const auto&...) { ++datagrams; };
    auto opened = std::make_unique<PeerLink>(
        context, PeerAddresses{kLinkAddress, "127.0.0.1:28237", "127.0.0.1:28238"}, "zone-a", 1,
        count, count, count, count, count);
    opened->open();
    return opened;
  }

  /// Sends a report of a crash to the link; on loopback it can be received at once.
  void send_datagram() {
    using boost::asio::ip::udp;
    udp::socket socket(loop, udp::v4());
    const CrashReport report{{{{1, 2}, 3, net::steady_now(), false}}, {}, false};
    socket.send_to(boost::asio::buffer(encode(report, net::steady_now())),
                   udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 28'236));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_link, Fixture)

BOOST_AUTO_TEST_CASE(a_datagram_is_passed_to_the_owner) {
  send_datagram();
  loop.run_one();
  BOOST_TEST(datagrams == 1);
}

// Regression: the handler of a datagram that was already received used the destroyed link.
BOOST_AUTO_TEST_CASE(a_datagram_received_before_the_link_is_destroyed_is_dropped) {
  send_datagram();
  send_datagram();
  loop.run_one();  // Handles the first and receives the second, whose handler is now queued.
  link.reset();
  loop.poll();
  BOOST_TEST(datagrams == 1);
}

BOOST_AUTO_TEST_SUITE_END()
