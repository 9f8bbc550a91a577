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
  /// Called once when the peer has closed its side (`clean`) or the connection has failed; not
  /// called after a local `close` or `reset`.
  virtual void on_closed(bool clean) = 0;
  /// Called when all queued output has been written and `pending_output` is zero again.
  virtual void on_drained() = 0;
  /// Called when queued output has been written.
  virtual void on_sent(std::size_t /*bytes*/) {}
};

/// Non-blocking reads and writes on one socket. An idle connection holds no read buffer; output
/// that the socket does not accept is queued, and the observer is notified when the queue is empty.
///
/// Single-threaded: used only on the thread of its event loop. The observer must outlive the
/// connection or call `detach`.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  TcpConnection(tcp::socket socket, TcpObserver& observer);

  /// Starts reading and reporting received bytes.
  void start();
  /// Stops reading until `resume`; TCP flow control eventually blocks the peer.
  void pause();
  void resume();

  /// Writes as many bytes as the socket accepts and queues the rest.
  /// @return whether the connection is still open; if not, none of `bytes` was accepted.
  bool send(std::string_view bytes);

  /// Ends the output, so that the peer sees its end; input is still read. All output must have been
  /// written.
  void shutdown_output();
  /// Closes the connection immediately.
  void close();
  /// Closes the connection with a reset, so that the peer sees an error.
  void reset();

  /// Stops all further callbacks to the observer.
  void detach() { observer_ = nullptr; }

  bool open() const { return socket_.is_open(); }
  /// @return whether input is not read at the moment, so that an end of it would not be noticed.
  bool paused() const { return paused_; }
  /// @return whether the connection is open and has no unread input.
  bool reusable();
  std::size_t pending_output() const { return output_.size(); }
  /// @return bytes of memory that queued output occupies.
  std::size_t output_memory() const { return output_.empty() ? 0 : output_.capacity(); }

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
};

/// Sets TCP_USER_TIMEOUT: the connection fails if sent data stays unacknowledged for this time.
void set_user_timeout(tcp::socket& socket, int milliseconds);

/// Enables TCP keep-alive: probes after `idle_seconds` of idleness, then every second, three times.
void set_keepalive(tcp::socket& socket, int idle_seconds);

}  // namespace dockpoint::net
