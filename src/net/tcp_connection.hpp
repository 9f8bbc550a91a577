#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

/// A TCP connection on the event loop.
namespace dockpoint::net {

using boost::asio::ip::tcp;

/// Receives the events of a connection.
class TcpObserver {
 public:
  virtual ~TcpObserver() = default;
  /// Called when bytes have arrived. The view is valid only during the call.
  virtual void on_bytes(std::string_view bytes) = 0;
  /// The peer closed its side (`clean`) or the connection broke. Called once, and not after a
  /// local `close` or `reset`.
  virtual void on_closed(bool clean) = 0;
  /// Output that was held up has been written; `pending_output` has fallen to zero.
  virtual void on_drained() = 0;
};

/// Non-blocking reads and writes of one socket. Reads need no memory while nothing arrives; output
/// that the peer does not take is queued, and the observer is told when it is gone.
///
/// Single-threaded: used on the thread of its event loop only. Its observer must outlive it or
/// call `detach`.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  TcpConnection(tcp::socket socket, TcpObserver& observer);

  /// Starts reading and reporting received bytes.
  void start();
  /// Stops reading until `resume`; TCP flow control eventually blocks the peer.
  void pause();
  void resume();

  /// Sends bytes, at once as far as the socket takes them.
  /// @return whether the connection still stands; if not, none of `bytes` was taken.
  bool send(std::string_view bytes);

  /// Closes the connection once all output is written.
  void close_after_output();
  /// Closes the connection at once.
  void close();
  /// Closes the connection with a reset, so that the peer sees an error.
  void reset();

  /// Stops all further callbacks to the observer.
  void detach() { observer_ = nullptr; }

  bool open() const { return socket_.is_open(); }
  /// @return whether the connection stands and nothing has arrived that was not read yet.
  bool quiet();
  std::size_t pending_output() const { return output_.size(); }

 private:
  void wait_for_input();
  void on_readable();
  void wait_for_output();
  void on_writable();
  void fail(bool clean);

  tcp::socket socket_;
  TcpObserver* observer_;
  std::string output_;
  bool paused_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool closing_ = false;
};

/// Time after which data that the peer's machine does not acknowledge breaks the connection.
void set_user_timeout(tcp::socket& socket, int milliseconds);

/// Probes of an idle connection: after `idle_seconds`, then every second, three times.
void set_keepalive(tcp::socket& socket, int idle_seconds);

}  // namespace dockpoint::net
