#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dockpoint/core/address.hpp"
#include "dockpoint/core/time.hpp"
#include "net/http_message.hpp"
#include "net/http_parser.hpp"
#include "net/tcp_connection.hpp"

/// Event-loop HTTP/1.1 client with persistent connections.
namespace dockpoint::net {

/// Reason why a call did not receive a complete response.
enum class CallFailure {
  kNotSent,      ///< No connection accepted any byte of the request: it did not run.
  kNoAnswer,     ///< The request was sent; the connection closed before a response head.
  kInterrupted,  ///< The connection closed in the middle of the response.
  kMalformed,    ///< The head of the response is not valid HTTP; no part of it was passed on.
  kOversized,    ///< The received bytes exceed a limit, see `ResponseLimits`.
};

/// What marked the end of a response.
enum class ResponseEnd {
  kFramed,            ///< Its length, its last chunk, or a status without a body: it is whole.
  kConnectionClosed,  ///< The server closed the connection in good order. A server that fails does
                      ///< so too, hence this does not prove that the response is whole.
};

/// Receives the response to a call. Callbacks run on the event loop, never from within `start`.
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  /// Called when a response head has arrived.
  /// @return whether the response belongs to this call; if not, the whole response is skipped.
  virtual bool on_head(const ResponseHead& head) = 0;
  virtual void on_body(std::string_view bytes) = 0;
  /// Called when the response has ended. The call has ended.
  virtual void on_complete(ResponseEnd end) = 0;
  /// Called when the call has ended without a complete response.
  virtual void on_failure(CallFailure failure) = 0;
};

/// Address and identity of a server.
struct Endpoint {
  Address address;
  std::string identity;  ///< Connections are reused only for the same address and identity.
  friend bool operator<(const Endpoint& left, const Endpoint& right) {
    return std::tie(left.address.host, left.address.port, left.identity) <
           std::tie(right.address.host, right.address.port, right.identity);
  }
};

/// Limits on what a server may send for one call. A server that fails may send without end.
struct ResponseLimits {
  /// Bytes that are no part of the response's body: heads, provisional responses, responses to
  /// other calls, chunk sizes and extensions, trailers.
  static constexpr std::uint64_t kOverheadBytes = 1024 * 1024;
  /// Additional overhead for each byte of the body, since chunks may be short.
  static constexpr std::uint64_t kOverheadPerBodyByte = 16;
  /// Body of a `SimpleCall`, in bytes.
  static constexpr std::size_t kSimpleBodyBytes = 16 * 1024 * 1024;
};

/// Numbers a client's connections, starting at 1.
using ConnectionNumber = std::uint64_t;

/// How a call uses its connection.
struct CallOptions {
  Duration connect_timeout = std::chrono::milliseconds(400);
  Duration maximum_idle = std::chrono::seconds(3);  ///< Connections idle for longer are not reused.
  int user_timeout_ms = 1'000;                      ///< TCP_USER_TIMEOUT for unacknowledged data.
  /// `SimpleCall` only: a response without length or chunks is not a failure. For servers whose
  /// bodies show by themselves whether they are whole.
  bool accepts_unframed = false;
  /// Connections that are not reused for the call: they carried a request with the same id, and a
  /// late second answer to it could not be told from the answer to this call.
  std::set<ConnectionNumber> avoided_connections{};
  /// Asked when a new connection is ready, up to `connect_timeout` after the call was started.
  /// @return whether to send the request; if not, the call fails as not sent. Empty: always.
  std::function<bool()> still_wanted{};
};

class HttpClient;
class ClientConnection;

/// A request in flight. Destroying or cancelling it closes its connection unless the response is
/// complete.
class Call {
 public:
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /// Cancels the call: closes the connection immediately and makes no further callbacks.
  void cancel();
  /// Cancels the call because the response timed out. If its connection was a reused one, the other
  /// persistent connections to that server are closed too.
  void time_out();
  /// Applies backpressure to the server until `resume_reading` is called.
  void pause_reading();
  void resume_reading();
  /// @return whether bytes of the request may have reached the server.
  bool sent() const { return sent_; }
  /// @return whether the call uses a connection that had been used before.
  bool reused() const { return reused_; }
  /// @return whether the server's machine refused the connection: no process listens there.
  bool connection_refused() const { return connection_refused_; }
  /// @return whether the request was not sent since it was no longer wanted.
  bool withdrawn() const { return withdrawn_; }
  /// @return the connection that carried the request, or 0 if none has yet.
  ConnectionNumber connection_number() const { return connection_number_; }

 private:
  friend class HttpClient;
  friend class ClientConnection;
  Call(CallObserver& observer, std::string bytes)
      : observer_(&observer), bytes_(std::move(bytes)) {}

  CallObserver* observer_;
  std::string bytes_;
  std::function<bool()> still_wanted_;
  std::shared_ptr<ClientConnection> connection_;
  bool sent_ = false;
  bool reused_ = false;
  bool connection_refused_ = false;
  bool withdrawn_ = false;
  ConnectionNumber connection_number_ = 0;
};

using CallPtr = std::shared_ptr<Call>;

/// Counters since the client was created.
struct ClientCounts {
  std::uint64_t connections = 0;
  std::uint64_t calls = 0;
};

/// Makes calls over persistent connections. Single-threaded. Destroying the client ends all calls
/// without further callbacks.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& loop) : loop_(loop) {}
  ~HttpClient();

  /// Starts a call.
  /// @param bytes the complete request: head and body.
  CallPtr start(const Endpoint& endpoint, std::string bytes, const CallOptions& options,
                CallObserver& observer);

  /// @param newest connections with a greater number are left out.
  /// @return the connections to an endpoint, in use or idle, that were open when their input was
  /// last read; those whose reading is paused are left out.
  std::set<ConnectionNumber> established(const Endpoint& endpoint, ConnectionNumber newest) const;
  /// Closes the idle persistent connections to an endpoint.
  void abandon_idle(const Endpoint& endpoint);
  /// Closes idle persistent connections to servers that are not in `keep`.
  void retain(const std::function<bool(const Endpoint&)>& keep);
  /// Enforces timeouts; call several times a second.
  void tick(TimePoint now);

  /// Called when a call ends because the head of its response is malformed, before its observer.
  using MalformedHandler = std::function<void(const Endpoint& server, HeadFault fault)>;
  void on_malformed(MalformedHandler handler) { malformed_handler_ = std::move(handler); }

  const ClientCounts& counts() const { return counts_; }

 private:
  friend class ClientConnection;

  std::shared_ptr<ClientConnection> take_idle(const Endpoint& endpoint, TimePoint now,
                                              const CallOptions& options);
  void keep(const std::shared_ptr<ClientConnection>& connection);
  void forget(const std::shared_ptr<ClientConnection>& connection);

  boost::asio::io_context& loop_;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> idle_;
  std::set<std::shared_ptr<ClientConnection>> connecting_;
  std::set<ClientConnection*> connections_;  ///< All existing connections.
  ClientCounts counts_;
  MalformedHandler malformed_handler_;
};

/// A connection to a server, used by one call at a time.
class ClientConnection : public TcpObserver, public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(HttpClient& client, Endpoint endpoint, ConnectionNumber number);
  ~ClientConnection() override;

  void connect(const CallOptions& options, const CallPtr& call, TimePoint now);
  /// Sends the request of `call` on an idle connection. @return false if no byte was accepted.
  bool send(const CallPtr& call);
  void abandon();
  /// Closes the idle persistent connections to the same endpoint.
  void abandon_idle_siblings();
  /// Ends the connection and its call without a callback, because the client is being destroyed.
  void orphan();

  void on_bytes(std::string_view bytes) override;
  void on_closed(bool clean) override;
  void on_drained() override {}

  const Endpoint& endpoint() const { return endpoint_; }

 private:
  friend class HttpClient;
  friend class Call;

  void on_connected(const boost::system::error_code& error);
  void fail_connect();
  void begin_response();
  void parse();
  void complete(ResponseEnd end);
  void fail(CallFailure failure);
  /// Ends the call because of bytes that the parser refused.
  void fail_refused(ParseStatus status);
  void update_keep_alive(const ResponseHead& head);
  /// @return whether the bytes received for the call exceed the limit on its overhead.
  bool overhead_exceeded() const;

  HttpClient* client_;
  Endpoint endpoint_;
  const ConnectionNumber number_;
  std::unique_ptr<tcp::socket> connecting_;
  std::shared_ptr<TcpConnection> connection_;
  CallPtr call_;
  std::unique_ptr<ResponseParser> parser_;
  std::string input_;
  std::uint64_t received_bytes_ = 0;  ///< For the current call.
  std::uint64_t body_bytes_ = 0;      ///< Of them, passed on to its observer.
  bool skipping_response_ = false;    ///< The current response belongs to another call.
  bool keep_alive_ = true;            ///< Whether the current response allows reuse.
  bool head_received_ = false;        ///< The response head of this call has arrived.
  bool parsing_ = false;
  TimePoint connect_deadline_{};
  TimePoint idle_since_{};
  Duration server_idle_limit_ = std::chrono::hours(1);  ///< From the `Keep-Alive` header.
};

/// Collects a complete response and delivers it once.
class SimpleCall : public CallObserver, public std::enable_shared_from_this<SimpleCall> {
 public:
  /// The response; `failure` is set if there is none.
  struct Outcome {
    std::optional<CallFailure> failure;
    bool connection_refused = false;  ///< No process listens at the address.
    ResponseHead head;
    std::string body;
  };
  using Done = std::function<void(Outcome)>;

  /// @param timeout for the whole call; `done` is called exactly once, unless cancelled.
  static std::shared_ptr<SimpleCall> start(HttpClient& client, boost::asio::io_context& loop,
                                           const Endpoint& endpoint, std::string bytes,
                                           const CallOptions& options, Duration timeout, Done done);
  void cancel();

  bool on_head(const ResponseHead& head) override;
  void on_body(std::string_view bytes) override;
  void on_complete(ResponseEnd end) override;
  void on_failure(CallFailure failure) override;

 private:
  SimpleCall(boost::asio::io_context& loop, bool accepts_unframed);
  void finish(std::optional<CallFailure> failure);

  struct Timer;
  std::shared_ptr<Timer> timer_;
  std::shared_ptr<SimpleCall> self_;  ///< Keeps this object alive until the call ends.
  const bool accepts_unframed_;
  CallPtr call_;
  Outcome outcome_;
  Done done_;
};

}  // namespace dockpoint::net
