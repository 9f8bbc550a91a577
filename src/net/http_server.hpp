#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "dockpoint/core/time.hpp"
#include "net/http_message.hpp"
#include "net/http_parser.hpp"
#include "net/tcp_connection.hpp"

/// HTTP/1.1 server on the event loop.
namespace dockpoint::net {

/// Limits of what a client may send, and how long it may take.
struct ServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);  ///< From the first byte to the whole request.
  Duration idle_timeout = std::chrono::seconds(15);   ///< Between requests.
};

class ServerConnection;

/// One request and the way to answer it. Exactly one answer may be given; later calls, and calls
/// after the client has gone, do nothing.
class Exchange {
 public:
  Exchange(std::weak_ptr<ServerConnection> connection, RequestHead head, std::string body,
           TimePoint received);

  RequestHead& request() { return head_; }
  std::string& body() { return body_; }
  TimePoint received() const { return received_; }

  /// Gives a whole answer.
  void respond(int status, Headers headers, std::string_view body);
  /// Begins an answer in chunks.
  void begin(ResponseHead head);
  /// Adds to the answer that `begin` began.
  void write(std::string_view bytes);
  /// Ends the answer that `begin` began.
  void end();
  /// Breaks the connection, so that the answer does not look complete.
  void abort();

  /// @return whether an answer was begun or given.
  bool answered() const { return answered_; }
  /// @return bytes of the answer that the client has not taken yet.
  std::size_t pending_output() const;

  /// Called when the client closes the connection before the end of the answer.
  void on_client_gone(std::function<void()> callback) { client_gone_ = std::move(callback); }
  /// Called when `pending_output` has fallen to zero after having been above it.
  void on_drained(std::function<void()> callback) { drained_ = std::move(callback); }

 private:
  friend class ServerConnection;

  std::weak_ptr<ServerConnection> connection_;
  RequestHead head_;
  std::string body_;
  TimePoint received_;
  bool answered_ = false;
  bool ended_ = false;
  std::function<void()> client_gone_;
  std::function<void()> drained_;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Accepts connections and hands over each whole request. Single-threaded.
class HttpServer {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;

  HttpServer(boost::asio::io_context& loop, Handler handler);
  ~HttpServer();

  /// Begins to accept.
  /// @throws boost::system::system_error if the address cannot be bound.
  void listen(const std::string& address);
  void stop_accepting();

  void set_limits(const ServerLimits& limits) { limits_ = limits; }
  /// From now on every answer asks the client to leave its connection.
  void set_closing(bool closing) { closing_ = closing; }
  /// Closes connections on which no request is under way.
  void close_idle();
  /// Enforces timeouts; call a few times a second.
  void tick(TimePoint now);

  std::size_t connections() const { return connections_.size(); }
  /// @return connections with a request under way.
  std::size_t active() const;

 private:
  friend class ServerConnection;

  void accept();
  void remove(const std::shared_ptr<ServerConnection>& connection);

  boost::asio::io_context& loop_;
  Handler handler_;
  tcp::acceptor acceptor_;
  ServerLimits limits_;
  bool closing_ = false;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

/// One connection of a client. Requests are handled one after another; what the client sends ahead
/// is kept, up to a limit.
class ServerConnection : public TcpObserver, public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, tcp::socket socket);

  void start();
  void tick(TimePoint now);
  void close();
  bool busy() const { return exchange_ != nullptr; }
  /// @return whether no byte of a request has come since the last answer.
  bool idle() const { return !exchange_ && input_.empty() && !parser_->started(); }

  void on_bytes(std::string_view bytes) override;
  void on_closed(bool clean) override;
  void on_drained() override;

 private:
  friend class Exchange;

  void new_parser();
  void parse();
  void dispatch();
  void refuse(int status);
  bool send(std::string_view bytes);
  /// The answer to the current request is complete.
  void finish(bool keep_alive);
  /// @return whether the connection stays after the current answer.
  bool keeps_alive() const;
  void drop();

  HttpServer* server_;
  std::shared_ptr<TcpConnection> connection_;
  std::unique_ptr<RequestParser> parser_;
  std::string input_;
  ExchangePtr exchange_;
  bool keep_alive_ = true;
  bool continue_sent_ = false;
  bool parsing_ = false;
  TimePoint since_{};  ///< Of the first byte of the request, or of the last answer.
};

}  // namespace dockpoint::net
