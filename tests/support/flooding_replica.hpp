#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "dockpoint/routing/replica_directory.hpp"

namespace dockpoint::test {

/// A replica that begins each answer with given bytes and then sends pieces without end, until its
/// caller closes the connection.
class FloodingReplica {
 public:
  /// @return the piece with a number, from 0 on.
  using Pieces = std::function<std::string(std::uint64_t number)>;

  FloodingReplica(boost::asio::io_context& loop, std::string id, std::uint16_t port,
                  std::string beginning, Pieces pieces)
      : id_(std::move(id)),
        port_(port),
        beginning_(std::move(beginning)),
        pieces_(std::move(pieces)),
        acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), port}) {
    accept();
  }

  ReplicaRecord record(const std::string& service) const {
    return {id_, service, {"127.0.0.1", port_}, "zone-a", 4, false, {}};
  }
  int requests() const { return requests_; }
  /// @return the number of floods that the caller has not ended.
  int open_floods() const { return open_floods_; }
  /// @return the bytes that callers and the sockets between have accepted.
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::array<char, 4096> input{};
    std::string output;
    std::uint64_t number = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    acceptor_.async_accept(
        [this, life = std::weak_ptr(life_)](ErrorCode error, Tcp::socket socket) {
          if (error || life.expired()) {
            return;
          }
          read(std::make_shared<Connection>(std::move(socket)));
          accept();
        });
  }

  /// Takes the first bytes for the whole request, which is short in these tests.
  void read(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->input),
        [this, life = std::weak_ptr(life_), connection](ErrorCode error, std::size_t) {
          if (!error && !life.expired()) {
            ++requests_;
            ++open_floods_;
            connection->output = beginning_;
            write(connection);
          }
        });
  }

  void write(const ConnectionPtr& connection) {
    constexpr std::size_t kWriteBytes = 16 * 1024;
    while (connection->output.size() < kWriteBytes && connection->number < kPiecesPerWrite) {
      connection->output += pieces_(next_piece_++);
      ++connection->number;
    }
    connection->number = 0;
    boost::asio::async_write(
        connection->socket, boost::asio::buffer(connection->output),
        [this, life = std::weak_ptr(life_), connection](ErrorCode error, std::size_t count) {
          if (life.expired()) {
            return;
          }
          bytes_sent_ += count;
          if (error) {
            --open_floods_;
            return;
          }
          connection->output.clear();
          write(connection);
        });
  }

  static constexpr std::uint64_t kPiecesPerWrite = 512;

  const std::string id_;
  const std::uint16_t port_;
  const std::string beginning_;
  const Pieces pieces_;
  Tcp::acceptor acceptor_;
  int requests_ = 0;
  int open_floods_ = 0;
  std::uint64_t next_piece_ = 0;
  std::uint64_t bytes_sent_ = 0;
  const std::shared_ptr<int> life_ = std::make_shared<int>();
};

}  // namespace dockpoint::test
