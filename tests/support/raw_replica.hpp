#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "dockpoint/routing/replica_directory.hpp"

namespace dockpoint::test {

/// How a `RawReplica` ends its answer.
enum class AnswerEnding {
  kKeepsOpen,  ///< Leaves the connection open.
  kCloses,     ///< Closes the connection in good order (FIN).
  kResets,     ///< Resets the connection (RST).
  kCrashes,    ///< Its process ends: the listener and all connections close in good order.
  kRestarts,   ///< Its process ends, and another one, under another name, has its address at once.
};

/// A replica that answers each request with given bytes, without any framing of its own. It answers
/// health checks itself and does not count them as requests.
class RawReplica {
 public:
  /// The bytes of one answer, and what follows them.
  struct Answer {
    std::string bytes;
    AnswerEnding ending = AnswerEnding::kKeepsOpen;
  };
  /// @param request head and body. @return the answer.
  using Handler = std::function<Answer(const std::string& request)>;

  /// Whether each answer is sent again, where the next one on its connection is due.
  bool repeats_answers = false;
  /// Whether health checks are answered; a frozen process accepts connections only.
  bool answers_health_checks = true;

  RawReplica(boost::asio::io_context& loop, std::string id, std::uint16_t port, Handler handler)
      : id_(std::move(id)),
        port_(port),
        handler_(std::move(handler)),
        acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), port}) {
    accept();
  }
  ~RawReplica() { crash(); }

  ReplicaRecord record(const std::string& service) const {
    return {id_, service, {"127.0.0.1", port_}, "zone-a", 4, false, {}};
  }
  int requests() const { return requests_; }
  bool running() const { return acceptor_.is_open(); }

 private:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::string input;
    std::string last_answer;
    std::array<char, 4096> buffer{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    acceptor_.async_accept(
        [this, life = std::weak_ptr(life_)](ErrorCode error, Tcp::socket socket) {
          if (error || life.expired()) {
            return;
          }
          const auto connection = std::make_shared<Connection>(std::move(socket));
          connections_.insert(connection);
          read(connection);
          accept();
        });
  }

  void read(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buffer),
        [this, life = std::weak_ptr(life_), connection](ErrorCode error, std::size_t count) {
          if (life.expired()) {
            return;
          }
          if (error) {
            connections_.erase(connection);
            return;
          }
          connection->input.append(connection->buffer.data(), count);
          if (is_complete(connection->input)) {
            answer(connection);
          } else {
            read(connection);
          }
        });
  }

  static bool is_complete(const std::string& request) {
    const std::size_t head = request.find("\r\n\r\n");
    if (head == std::string::npos) {
      return false;
    }
    const std::string name = "Content-Length: ";
    const std::size_t length = request.find(name);
    const std::size_t body =
        length < head ? std::stoul(request.substr(length + name.size())) : std::size_t{0};
    return request.size() >= head + 4 + body;
  }

  /// @return whether the request is a health check, which is answered or left without an answer.
  bool handle_health_check(const ConnectionPtr& connection) {
    if (!connection->input.starts_with("GET /healthz ")) {
      return false;
    }
    connection->input.clear();
    if (answers_health_checks) {
      const std::string name = restarted_ ? id_ + "-restarted" : id_;
      ErrorCode ignored;
      boost::asio::write(connection->socket,
                         boost::asio::buffer("HTTP/1.1 200 OK\r\nInstance-Id: " + name +
                                             "\r\nContent-Length: 0\r\n\r\n"),
                         ignored);
    }
    read(connection);
    return true;
  }

  void answer(const ConnectionPtr& connection) {
    if (handle_health_check(connection)) {
      return;
    }
    ++requests_;
    const Answer answer = handler_(std::exchange(connection->input, {}));
    const std::string repeated = std::exchange(connection->last_answer, answer.bytes);
    const std::string bytes = (repeats_answers ? repeated : std::string()) + answer.bytes;
    ErrorCode ignored;
    boost::asio::write(connection->socket, boost::asio::buffer(bytes), ignored);
    switch (answer.ending) {
      case AnswerEnding::kKeepsOpen:
        read(connection);
        return;
      case AnswerEnding::kResets:
        connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        [[fallthrough]];
      case AnswerEnding::kCloses:
        connections_.erase(connection);
        connection->socket.close(ignored);
        return;
      case AnswerEnding::kCrashes:
        crash();
        return;
      case AnswerEnding::kRestarts:
        restarted_ = true;
        close_connections();
        return;
    }
  }

  void crash() {
    ErrorCode ignored;
    acceptor_.close(ignored);
    close_connections();
  }

  void close_connections() {
    ErrorCode ignored;
    for (const ConnectionPtr& connection : std::exchange(connections_, {})) {
      connection->socket.close(ignored);
    }
  }

  const std::string id_;
  const std::uint16_t port_;
  const Handler handler_;
  Tcp::acceptor acceptor_;
  std::set<ConnectionPtr> connections_;
  int requests_ = 0;
  bool restarted_ = false;
  const std::shared_ptr<int> life_ = std::make_shared<int>();
};

}  // namespace dockpoint::test
