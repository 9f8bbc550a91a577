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

/// State of the process behind an address, as shown by a connection attempt.
enum class ProbeResult {
  kListens,  ///< It accepts connections and keeps them open.
  kEnded,    ///< The machine refuses the connection: no process listens there.
  kUnknown,  ///< No answer: the machine is down or unreachable. Or the connection was accepted
             ///< and closed: the process may be ending, or a proxy accepts on its behalf.
};

/// Time limits of a probe.
struct ProbeTimes {
  Duration connect{};  ///< For the connection attempt.
  /// For which an accepted connection must stay open: a process that is ending may still accept a
  /// connection and then close it with the others.
  Duration observation{};
};

/// Connects to an address once and observes whether the connection stays open. Sends nothing.
/// Single-threaded.
class ReplicaProbe : public std::enable_shared_from_this<ReplicaProbe> {
 public:
  using Done = std::function<void(ProbeResult)>;

  /// @param done called once, from the event loop.
  static void start(boost::asio::io_context& loop, const Address& address, const ProbeTimes& times,
                    Done done);

 private:
  ReplicaProbe(boost::asio::io_context& loop, const ProbeTimes& times, Done done);
  void observe_connection();
  void finish_after(Duration time, ProbeResult result);
  void finish(ProbeResult result);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const ProbeTimes times_;
  std::array<char, 1> buffer_{};
  Done done_;
};

}  // namespace dockpoint
