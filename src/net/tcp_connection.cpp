#include "net/tcp_connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <utility>

namespace dockpoint::net {
namespace {

using ErrorCode = boost::system::error_code;

/// Maximum number of bytes per read.
constexpr std::size_t kReadBytes = 64 * 1024;

/// Read buffer shared by all connections of the event loop.
std::array<char, kReadBytes>& read_buffer() {
  thread_local std::array<char, kReadBytes> buffer;
  return buffer;
}

bool would_block(const ErrorCode& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

}  // namespace

TcpConnection::TcpConnection(tcp::socket socket, TcpObserver& observer)
    : socket_(std::move(socket)), observer_(&observer) {
  ErrorCode ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
}

void TcpConnection::start() {
  wait_for_input();
}

void TcpConnection::pause() {
  paused_ = true;
}

void TcpConnection::resume() {
  if (paused_) {
    paused_ = false;
    wait_for_input();
  }
}

void TcpConnection::wait_for_input() {
  if (reading_ || paused_ || !socket_.is_open()) {
    return;
  }
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    self->reading_ = false;
    if (!error) {
      self->on_readable();
    }
  });
}

void TcpConnection::on_readable() {
  if (!socket_.is_open() || paused_) {
    return;
  }
  ErrorCode error;
  const std::size_t count = socket_.read_some(boost::asio::buffer(read_buffer()), error);
  if (would_block(error)) {
    wait_for_input();
    return;
  }
  if (error) {
    fail(error == boost::asio::error::eof);
    return;
  }
  if (observer_ != nullptr) {
    observer_->on_bytes({read_buffer().data(), count});
  }
  wait_for_input();
}

bool TcpConnection::send(std::string_view bytes) {
  if (!socket_.is_open()) {
    return false;
  }
  if (!output_.empty()) {
    output_.append(bytes);
    return true;
  }
  ErrorCode error;
  const std::size_t written =
      socket_.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (error && !would_block(error)) {
    return false;
  }
  bytes.remove_prefix(error ? 0 : written);
  if (!bytes.empty()) {
    output_.assign(bytes);
    wait_for_output();
  }
  return true;
}

void TcpConnection::wait_for_output() {
  if (writing_ || !socket_.is_open()) {
    return;
  }
  writing_ = true;
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const ErrorCode& error) {
    self->writing_ = false;
    if (!error) {
      self->on_writable();
    }
  });
}

void TcpConnection::on_writable() {
  if (!socket_.is_open()) {
    return;
  }
  ErrorCode error;
  const std::size_t written = socket_.write_some(boost::asio::buffer(output_), error);
  if (error && !would_block(error)) {
    fail(false);
    return;
  }
  output_.erase(0, error ? 0 : written);
  if (!output_.empty()) {
    wait_for_output();
  } else {
    output_.shrink_to_fit();
  }
  if (observer_ != nullptr) {
    observer_->on_sent(error ? 0 : written);
  }
  if (observer_ != nullptr && socket_.is_open() && output_.empty()) {
    observer_->on_drained();
  }
}

bool TcpConnection::reusable() {
  if (!socket_.is_open()) {
    return false;
  }
  char byte = 0;
  const ssize_t count = recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void TcpConnection::shutdown_output() {
  ErrorCode ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void TcpConnection::close() {
  ErrorCode ignored;
  socket_.close(ignored);
  output_.clear();
}

void TcpConnection::reset() {
  ErrorCode ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  close();
}

void TcpConnection::fail(bool clean) {
  const std::shared_ptr<TcpConnection> self = shared_from_this();
  close();
  if (observer_ != nullptr) {
    std::exchange(observer_, nullptr)->on_closed(clean);
  }
}

void set_user_timeout(tcp::socket& socket, int milliseconds) {
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
             sizeof(milliseconds));
}

void set_keepalive(tcp::socket& socket, int idle_seconds) {
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 3;
  ErrorCode ignored;
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int handle = socket.native_handle();
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds, sizeof(kIntervalSeconds));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

}  // namespace dockpoint::net
