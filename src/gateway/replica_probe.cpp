#include "gateway/replica_probe.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace dockpoint {
namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

ProbeResult result_of(const ErrorCode& error) {
  const bool refused = error == boost::asio::error::connection_refused ||
                       error == boost::asio::error::connection_reset;
  return refused ? ProbeResult::kEnded : ProbeResult::kUnknown;
}

}  // namespace

ReplicaProbe::ReplicaProbe(boost::asio::io_context& loop, const ProbeTimes& times, Done done)
    : socket_(loop), timer_(loop), times_(times), done_(std::move(done)) {}

void ReplicaProbe::start(boost::asio::io_context& loop, const Address& address,
                         const ProbeTimes& times, Done done) {
  const std::shared_ptr<ReplicaProbe> probe(new ReplicaProbe(loop, times, std::move(done)));
  ErrorCode error;
  const auto host = boost::asio::ip::make_address(address.host, error);
  probe->finish_after(times.connect, ProbeResult::kUnknown);
  probe->socket_.async_connect(tcp::endpoint(host, address.port),
                               [probe](const ErrorCode& failure) {
                                 if (failure) {
                                   probe->finish(result_of(failure));
                                 } else {
                                   probe->observe_connection();
                                 }
                               });
}

void ReplicaProbe::observe_connection() {
  finish_after(times_.observation, ProbeResult::kListens);
  socket_.async_read_some(boost::asio::buffer(buffer_),
                          [probe = shared_from_this()](const ErrorCode& closed, std::size_t) {
                            probe->finish(closed ? ProbeResult::kUnknown : ProbeResult::kListens);
                          });
}

void ReplicaProbe::finish_after(Duration time, ProbeResult result) {
  timer_.expires_after(time);
  timer_.async_wait([probe = shared_from_this(), result](const ErrorCode& cancelled) {
    if (!cancelled) {
      probe->finish(result);
    }
  });
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
