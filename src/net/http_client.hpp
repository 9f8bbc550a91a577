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

/// HTTP/1.1 client with kept connections, on the event loop.
namespace dockpoint::net {

/// Why a call has no complete answer.
enum class CallFailure {
  kNotSent,      ///< No connection took a byte of the request: it did not run.
  kNoAnswer,     ///< It was sent, and the connection ended before a head came.
  kInterrupted,  ///< The connection ended within the answer.
  kMalformed,    ///< What came is no answer in the protocol.
};

/// Receives the answer of a call. Callbacks come from the event loop, never from within `start`.
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  /// A head came.
  /// @return whether it answers this call; otherwise that answer is skipped whole.
  virtual bool on_head(const ResponseHead& head) = 0;
  virtual void on_body(std::string_view bytes) = 0;
  /// The answer is complete. The call is over.
  virtual void on_complete() = 0;
  /// The call is over without a complete answer.
  virtual void on_failure(CallFailure failure) = 0;
};

/// How to reach a server.
struct Endpoint {
  Address address;
  std::string identity;  ///< Connections are shared only within one identity at the address.
  friend bool operator<(const Endpoint& left, const Endpoint& right) {
    return std::tie(left.address.host, left.address.port, left.identity) <
           std::tie(right.address.host, right.address.port, right.identity);
  }
};

/// Limits of a call's connection.
struct CallOptions {
  Duration connect_timeout = std::chrono::milliseconds(400);
  Duration maximum_idle = std::chrono::seconds(3);  ///< Older kept connections are not used.
  int user_timeout_ms = 1'000;  ///< Unacknowledged data breaks the connection after this time.
};

class HttpClient;
class ClientConnection;

/// One request on its way. Destroying or cancelling it closes its connection, unless the answer was
/// complete.
class Call {
 public:
  ~Call();
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  /// Gives up: the connection is closed at once and nothing is reported any more.
  void cancel();
  /// Gives up because no answer came in time. If the connection was a kept one, the others to that
  /// server are closed too.
  void time_out();
  /// Holds the server up until `resume_reading`.
  void pause_reading();
  void resume_reading();
  /// @return whether bytes of the request may have reached the server.
  bool sent() const { return sent_; }
  /// @return whether it runs on a connection that had been used before.
  bool reused() const { return reused_; }

 private:
  friend class HttpClient;
  friend class ClientConnection;
  Call(CallObserver& observer, std::string bytes)
      : observer_(&observer), bytes_(std::move(bytes)) {}

  CallObserver* observer_;
  std::string bytes_;
  std::shared_ptr<ClientConnection> connection_;
  bool sent_ = false;
  bool reused_ = false;
};

using CallPtr = std::shared_ptr<Call>;

/// Counts since the start.
struct ClientCounts {
  std::uint64_t connections = 0;
  std::uint64_t calls = 0;
};

/// Makes calls over kept connections. Single-threaded. Destroying it ends all calls; nothing is
/// reported of them any more.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& loop) : loop_(loop) {}
  ~HttpClient();

  /// Starts a call.
  /// @param bytes the whole request, head and body.
  CallPtr start(const Endpoint& endpoint, std::string bytes, const CallOptions& options,
                CallObserver& observer);

  /// Closes the kept connections of an endpoint.
  void abandon_idle(const Endpoint& endpoint);
  /// Closes kept connections to servers that `keep` does not name any more.
  void retain(const std::function<bool(const Endpoint&)>& keep);
  /// Enforces timeouts; call several times a second.
  void tick(TimePoint now);

  const ClientCounts& counts() const { return counts_; }

 private:
  friend class ClientConnection;

  std::shared_ptr<ClientConnection> take_idle(const Endpoint& endpoint, TimePoint now,
                                              Duration maximum_idle);
  void keep(const std::shared_ptr<ClientConnection>& connection);
  void forget(const std::shared_ptr<ClientConnection>& connection);

  boost::asio::io_context& loop_;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> idle_;
  std::set<std::shared_ptr<ClientConnection>> connecting_;
  std::set<ClientConnection*> connections_;  ///< All that exist.
  ClientCounts counts_;
};

/// A connection to a server, used by one call at a time.
class ClientConnection : public TcpObserver, public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(HttpClient& client, Endpoint endpoint);
  ~ClientConnection() override;

  void connect(const CallOptions& options, const CallPtr& call, TimePoint now);
  /// Sends the request of `call` on an idle connection. @return false if no byte was taken.
  bool send(const CallPtr& call);
  void abandon();
  /// Closes the kept connections to the same endpoint.
  void abandon_idle_siblings();
  /// Ends the connection and its call without a report: the client goes.
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
  void begin_answer();
  void parse();
  void complete();
  void fail(CallFailure failure);
  void note_keep_alive(const ResponseHead& head);

  HttpClient* client_;
  Endpoint endpoint_;
  std::unique_ptr<tcp::socket> connecting_;
  std::shared_ptr<TcpConnection> connection_;
  CallPtr call_;
  std::unique_ptr<ResponseParser> parser_;
  std::string input_;
  bool skipping_ = false;    ///< The answer under way belongs to another call.
  bool keep_alive_ = true;   ///< As the answer under way says.
  bool head_taken_ = false;  ///< The call's own head has come.
  bool parsing_ = false;
  TimePoint connect_deadline_{};
  TimePoint idle_since_{};
  Duration server_idle_limit_ = std::chrono::hours(1);  ///< From the `Keep-Alive` header.
};

/// Collects a whole answer and hands it over once.
class SimpleCall : public CallObserver, public std::enable_shared_from_this<SimpleCall> {
 public:
  /// The answer; `failure` is set if there is none.
  struct Outcome {
    std::optional<CallFailure> failure;
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
  void on_complete() override;
  void on_failure(CallFailure failure) override;

 private:
  explicit SimpleCall(boost::asio::io_context& loop);
  void finish(std::optional<CallFailure> failure);

  struct Timer;
  std::shared_ptr<Timer> timer_;
  std::shared_ptr<SimpleCall> self_;  ///< Keeps the call alive until it is over.
  CallPtr call_;
  Outcome outcome_;
  Done done_;
};

}  // namespace dockpoint::net
