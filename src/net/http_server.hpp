#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "dockpoint/core/life.hpp"
#include "dockpoint/core/time.hpp"
#include "net/client_pool.hpp"
#include "net/http_message.hpp"
#include "net/http_parser.hpp"
#include "net/tcp_connection.hpp"

/// Event-loop HTTP/1.1 server.
namespace dockpoint::net {

/// Size limits and timeouts for client requests.
struct ServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_timeout =
      std::chrono::seconds(3);  ///< From the first byte to the complete request.
  Duration idle_timeout = std::chrono::seconds(15);  ///< Between requests.
};

class ServerConnection;

/// How the end of a response's body is marked.
enum class BodyFraming {
  kChunks,      ///< By a last chunk. HTTP/1.0 has no chunks: such clients get `kUntilClose`.
  kUntilClose,  ///< By the end of the connection.
  kNoBody,      ///< By the end of the head: the status allows no body.
};

/// A request and its response. Only one response can be sent; later calls, and calls after the
/// client has disconnected, have no effect.
class Exchange {
 public:
  Exchange(std::weak_ptr<ServerConnection> connection, RequestHead head, std::string body,
           TimePoint received);

  RequestHead& request() { return head_; }
  std::string& body() { return body_; }
  TimePoint received() const { return received_; }

  /// Sends a complete response.
  void respond(int status, Headers headers, std::string_view body);
  /// Starts a response whose length is not known yet.
  void begin(ResponseHead head, BodyFraming framing = BodyFraming::kChunks);
  /// Appends to the response started by `begin`.
  void write(std::string_view bytes);
  /// Ends the response started by `begin`.
  void end();
  /// Resets the connection, so that the client does not take the response as complete.
  void abort();

  /// @return whether a response was started or sent.
  bool answered() const { return answered_; }
  /// @return number of response bytes still queued for sending.
  std::size_t pending_output() const;

  /// Called when the client closes the connection before the end of the response.
  void on_client_gone(std::function<void()> callback) { client_gone_ = std::move(callback); }
  /// Called when `pending_output` drops from above zero to zero.
  void on_drained(std::function<void()> callback) { drained_ = std::move(callback); }

 private:
  friend class ServerConnection;

  std::weak_ptr<ServerConnection> connection_;
  RequestHead head_;
  std::string body_;
  TimePoint received_;
  bool answered_ = false;
  bool ended_ = false;
  BodyFraming framing_ = BodyFraming::kChunks;
  std::function<void()> client_gone_;
  std::function<void()> drained_;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Accepts connections and passes each complete request to the handler. Single-threaded.
class HttpServer {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;

  /// A server whose clients share no limits with those of others.
  HttpServer(boost::asio::io_context& loop, Handler handler);
  /// @param clients borrowed; servers with the same pool share its limits.
  HttpServer(boost::asio::io_context& loop, Handler handler, ClientPool& clients);
  ~HttpServer();

  /// Starts accepting connections.
  /// @throws boost::system::system_error if the address cannot be bound.
  void listen(const std::string& address);
  void stop_accepting();

  void set_limits(const ServerLimits& limits) { limits_ = limits; }
  /// From now on, every response asks the client to close its connection.
  void set_closing(bool closing) { closing_ = closing; }
  /// Closes connections without a request in progress.
  void close_idle();
  /// Enforces timeouts; call a few times a second.
  void tick(TimePoint now);

  /// Responds to all requests in progress that have no response yet.
  void respond_to_pending(int status);
  /// @return whether a connection has output that its client has not taken yet.
  bool has_unsent_output() const;

  std::size_t connections() const { return connections_.size(); }
  /// @return number of connections with a request in progress.
  std::size_t active() const;

 private:
  friend class ServerConnection;

  void accept();
  void take(tcp::socket socket);
  /// Accepts again after a pause: without free descriptors, accepting fails at once each time.
  void pause_accepting();
  void remove(const std::shared_ptr<ServerConnection>& connection);

  boost::asio::io_context& loop_;
  Handler handler_;
  const std::unique_ptr<ClientPool> own_clients_;  ///< Null if the pool is shared.
  ClientPool& clients_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  ServerLimits limits_;
  bool closing_ = false;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  HandlerGuard handlers_;
};

/// A client connection. Requests are handled sequentially; pipelined input is buffered up to a
/// limit. After a refusal, further input is read and dropped for a while before the connection is
/// closed: closing it with unread input would reset it, and the client might lose the answer.
class ServerConnection : public TcpObserver, public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, tcp::socket socket);
  ~ServerConnection() override;

  void start();
  void tick(TimePoint now);
  void close();
  /// Frees what the connection holds: refuses a request that is not complete, else closes.
  void give_way();
  /// Closes the connection for a new one; a request that is not complete is refused.
  void evict();
  /// @return whether no request byte has arrived since the last response.
  bool idle() const { return !exchange_ && input_.empty() && !parser_->started(); }
  ClientState state() const;
  /// @return memory that requests and answers of the connection occupy, in bytes.
  std::uint64_t held_bytes() const;
  /// Responds to the request in progress if it has no response yet.
  void respond_to_pending(int status);
  bool has_unsent_output() const { return connection_->pending_output() > 0; }

  void on_bytes(std::string_view bytes) override;
  void on_closed(bool clean) override;
  void on_drained() override;
  void on_sent(std::size_t bytes) override;

 private:
  friend class Exchange;

  /// What remains to be done on the connection.
  enum class Phase {
    kOpen,       ///< Requests are served.
    kClosing,    ///< The last response is being sent.
    kLingering,  ///< The last response is sent; input is dropped.
  };

  void new_parser();
  void parse();
  void dispatch();
  /// Responds without passing the request on, and ends the connection.
  void refuse(int status);
  bool send(std::string_view bytes);
  /// Called when the response to the current request is complete.
  void finish(bool keep_alive);
  /// Ends the connection after the output queued so far. @param linger whether the client may still
  /// be sending.
  void close_after_output(bool linger);
  void linger();
  void drop_input(std::size_t bytes);
  /// @return whether input is left until the current request is answered, or answers are read.
  bool waits() const;
  /// @return whether the connection stays open after the current response.
  bool keeps_alive() const;
  /// Resets the connection and tells the handler of the request in progress.
  void abort();
  void drop();
  /// Reports what the connection holds to the pool.
  void account();

  HttpServer* server_;
  ClientPool* clients_;
  const ClientId id_;
  std::shared_ptr<TcpConnection> connection_;
  std::unique_ptr<RequestParser> parser_;
  std::string input_;
  ExchangePtr exchange_;
  std::uint64_t request_bytes_ = 0;  ///< Memory of the request in progress and its copies.
  Phase phase_ = Phase::kOpen;
  bool lingers_ = false;  ///< Whether phase `kClosing` is followed by `kLingering`.
  std::size_t dropped_bytes_ = 0;
  bool served_ = false;  ///< A request was complete before.
  bool keep_alive_ = true;
  bool continue_sent_ = false;
  bool parsing_ = false;
  TimePoint timeout_start_{};  ///< Time of the first request byte or of the last response.
};

}  // namespace dockpoint::net
