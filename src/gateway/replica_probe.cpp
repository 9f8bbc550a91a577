#include "gateway/replica_probe.hpp"

#include <utility>

namespace dockpoint {
namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

ProbeResult result_of(const ErrorCode& error) {
  if (!error) {
    return ProbeResult::kListens;
  }
  const bool refused = error == boost::asio::error::connection_refused ||
                       error == boost::asio::error::connection_reset;
  return refused ? ProbeResult::kEnded : ProbeResult::kUnknown;
}

}  // namespace

ReplicaProbe::ReplicaProbe(boost::asio::io_context& loop, Done done)
    : socket_(loop), timer_(loop), done_(std::move(done)) {}

void ReplicaProbe::start(boost::asio::io_context& loop, const Address& address, Duration timeout,
                         Done done) {
  const std::shared_ptr<ReplicaProbe> probe(new ReplicaProbe(loop, std::move(done)));
  ErrorCode error;
  const auto host = boost::asio::ip::make_address(address.host, error);
  probe->timer_.expires_after(timeout);
  probe->timer_.async_wait([probe](const ErrorCode& cancelled) {
    if (!cancelled) {
      probe->finish(ProbeResult::kUnknown);
    }
  });
  probe->socket_.async_connect(
      tcp::endpoint(host, address.port),
      [probe](const ErrorCode& connected) { probe->finish(result_of(connected)); });
}

void ReplicaProbe::finish(ProbeResult result) {
  if (!done_) {
    return;
  }
  const Done done = std::exchange(done_, nullptr);
  ErrorCode ignored;
  socket_.close(ignored);
  timer_.cancel();
  done(result);
}

}  // namespace dockpoint
