#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "dockpoint/core/address.hpp"
#include "dockpoint/core/time.hpp"

namespace dockpoint {

/// What an attempt to connect says about the process behind an address.
enum class ProbeResult {
  kListens,  ///< It takes connections and keeps them.
  kEnded,    ///< Its machine answers, and nobody listens there.
  kUnknown,  ///< No answer: the machine is down, or the way there is cut. Or the connection was
             ///< taken and closed: the process may be ending, or somebody takes them on its behalf.
};

/// Tries once to connect to an address, and holds the connection for a moment. Nothing is sent.
/// Single-threaded.
class ReplicaProbe : public std::enable_shared_from_this<ReplicaProbe> {
 public:
  using Done = std::function<void(ProbeResult)>;

  /// @param timeout for connecting. @param done called once, from the event loop.
  static void start(boost::asio::io_context& loop, const Address& address, Duration timeout,
                    Done done);

 private:
  ReplicaProbe(boost::asio::io_context& loop, Done done);
  void observe_connection();
  void finish_after(Duration time, ProbeResult result);
  void finish(ProbeResult result);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, 1> buffer_{};
  Done done_;
};

}  // namespace dockpoint
