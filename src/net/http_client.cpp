#include "net/http_client.hpp"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "net/clock.hpp"

namespace dockpoint::net {
namespace {

using ErrorCode = boost::system::error_code;

/// Margin before the server's idle timeout at which a persistent connection is no longer reused.
constexpr Duration kIdleMargin = std::chrono::milliseconds(600);

/// Maximum number of idle persistent connections to one server.
constexpr std::size_t kMaximumIdle = 24;

/// Idle time before TCP keep-alive probes to a server, in seconds.
constexpr int kServerKeepaliveSeconds = 2;

/// @return the `timeout` of a `Keep-Alive` header.
std::optional<Duration> keep_alive_timeout(std::string_view value) {
  constexpr std::string_view kKey = "timeout=";
  const std::size_t start = value.find(kKey);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(start + kKey.size());
  const std::size_t end = std::min(digits.find_first_not_of("0123456789"), digits.size());
  unsigned seconds = 0;
  if (!Poco::NumberParser::tryParseUnsigned(std::string(digits.substr(0, end)), seconds)) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

Call::~Call() {
  cancel();
}

void Call::cancel() {
  observer_ = nullptr;
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->abandon();
  }
}

void Call::time_out() {
  if (connection_ && reused_) {
    // All open connections may have stopped responding together; later calls on them would time
    // out.
    connection_->abandon_idle_siblings();
  }
  cancel();
}

void Call::pause_reading() {
  if (connection_ && connection_->connection_) {
    connection_->connection_->pause();
  }
}

void Call::resume_reading() {
  if (connection_ && connection_->connection_) {
    connection_->connection_->resume();
  }
}

HttpClient::~HttpClient() {
  retain([](const Endpoint&) { return false; });
  connecting_.clear();
  for (ClientConnection* connection : std::exchange(connections_, {})) {
    connection->orphan();
  }
}

CallPtr HttpClient::start(const Endpoint& endpoint, std::string bytes, const CallOptions& options,
                          CallObserver& observer) {
  const TimePoint now = steady_now();
  ++counts_.calls;
  CallPtr call(new Call(observer, std::move(bytes)));
  while (const auto connection = take_idle(endpoint, now, options)) {
    if (connection->send(call)) {
      call->reused_ = true;
      return call;
    }
  }
  ++counts_.connections;
  const auto connection = std::make_shared<ClientConnection>(*this, endpoint, counts_.connections);
  connection->connect(options, call, now);
  return call;
}

std::shared_ptr<ClientConnection> HttpClient::take_idle(const Endpoint& endpoint, TimePoint now,
                                                        const CallOptions& options) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::shared_ptr<ClientConnection> taken;
  std::vector<std::shared_ptr<ClientConnection>> stale;
  std::vector<std::shared_ptr<ClientConnection>> avoided;
  auto& connections = found->second;
  while (!connections.empty() && !taken) {
    const auto candidate = connections.back();
    connections.pop_back();
    if (options.avoided_connections.contains(candidate->number_)) {
      avoided.push_back(candidate);
      continue;
    }
    const Duration limit =
        std::min(options.maximum_idle, candidate->server_idle_limit_ - kIdleMargin);
    if (now - candidate->idle_since_ <= limit && candidate->connection_->reusable()) {
      taken = candidate;
    } else {
      stale.push_back(candidate);
    }
  }
  connections.insert(connections.end(), avoided.rbegin(), avoided.rend());
  if (connections.empty()) {
    idle_.erase(found);
  }
  for (const auto& connection : stale) {
    connection->abandon();
  }
  return taken;
}

void HttpClient::keep(const std::shared_ptr<ClientConnection>& connection) {
  auto& connections = idle_[connection->endpoint()];
  if (connections.size() >= kMaximumIdle) {
    connection->abandon();
    return;
  }
  connection->idle_since_ = steady_now();
  connections.push_back(connection);
}

void HttpClient::forget(const std::shared_ptr<ClientConnection>& connection) {
  connecting_.erase(connection);
  const auto found = idle_.find(connection->endpoint());
  if (found != idle_.end()) {
    std::erase(found->second, connection);
    if (found->second.empty()) {
      idle_.erase(found);
    }
  }
}

std::set<ConnectionNumber> HttpClient::established(const Endpoint& endpoint,
                                                   ConnectionNumber newest) const {
  std::set<ConnectionNumber> numbers;
  for (const ClientConnection* connection : connections_) {
    const TcpConnection* tcp = connection->connection_.get();
    if (connection->number_ > newest || tcp == nullptr || !tcp->open() || tcp->paused()) {
      continue;
    }
    const Endpoint& other = connection->endpoint();
    if (!(other < endpoint) && !(endpoint < other)) {
      numbers.insert(connection->number_);
    }
  }
  return numbers;
}

void HttpClient::abandon_idle(const Endpoint& endpoint) {
  retain([&](const Endpoint& kept) { return kept < endpoint || endpoint < kept; });
}

void HttpClient::retain(const std::function<bool(const Endpoint&)>& keep) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    if (keep(entry->first)) {
      ++entry;
      continue;
    }
    const auto connections = std::move(entry->second);
    entry = idle_.erase(entry);
    for (const auto& connection : connections) {
      connection->abandon();
    }
  }
}

void HttpClient::tick(TimePoint now) {
  const auto connecting = connecting_;
  for (const auto& connection : connecting) {
    if (now >= connection->connect_deadline_) {
      connection->fail_connect();
    }
  }
  std::vector<std::shared_ptr<ClientConnection>> expired;
  for (const auto& [endpoint, connections] : idle_) {
    for (const auto& connection : connections) {
      if (now - connection->idle_since_ > connection->server_idle_limit_ - kIdleMargin) {
        expired.push_back(connection);
      }
    }
  }
  for (const auto& connection : expired) {
    forget(connection);
    connection->abandon();
  }
}

ClientConnection::ClientConnection(HttpClient& client, Endpoint endpoint, ConnectionNumber number)
    : client_(&client), endpoint_(std::move(endpoint)), number_(number) {
  client.connections_.insert(this);
}

ClientConnection::~ClientConnection() {
  if (connection_) {
    connection_->detach();
    connection_->close();
  }
  if (client_ != nullptr) {
    client_->connections_.erase(this);
  }
}

void ClientConnection::orphan() {
  const auto self = shared_from_this();
  client_ = nullptr;
  if (call_) {
    call_->observer_ = nullptr;
    call_->connection_.reset();
  }
  abandon();
}

void ClientConnection::connect(const CallOptions& options, const CallPtr& call, TimePoint now) {
  call_ = call;
  call->connection_ = shared_from_this();
  call->still_wanted_ = options.still_wanted;
  connect_deadline_ = now + options.connect_timeout;
  connecting_ = std::make_unique<tcp::socket>(client_->loop_);
  ErrorCode error;
  connecting_->open(tcp::v4(), error);
  const auto address = boost::asio::ip::make_address(endpoint_.address.host, error);
  set_user_timeout(*connecting_, options.user_timeout_ms);
  set_keepalive(*connecting_, kServerKeepaliveSeconds);
  client_->connecting_.insert(shared_from_this());
  connecting_->async_connect(
      tcp::endpoint(address, endpoint_.address.port),
      [self = shared_from_this()](const ErrorCode& result) { self->on_connected(result); });
}

void ClientConnection::on_connected(const ErrorCode& error) {
  if (!connecting_) {
    return;  // The call was cancelled in the meantime.
  }
  if (error) {
    call_->connection_refused_ = error == boost::asio::error::connection_refused;
    fail_connect();
    return;
  }
  client_->connecting_.erase(shared_from_this());
  connection_ = std::make_shared<TcpConnection>(std::move(*connecting_), *this);
  connecting_.reset();
  const CallPtr call = std::exchange(call_, nullptr);
  connection_->start();
  call->withdrawn_ = call->still_wanted_ && !call->still_wanted_();
  if (call->withdrawn_ || !send(call)) {
    call_ = call;
    fail(CallFailure::kNotSent);
  }
}

void ClientConnection::fail_connect() {
  if (connecting_) {
    ErrorCode ignored;
    connecting_->close(ignored);
    connecting_.reset();
  }
  fail(CallFailure::kNotSent);
}

bool ClientConnection::send(const CallPtr& call) {
  if (!connection_ || !input_.empty() || !connection_->send(call->bytes_)) {
    abandon();
    return false;
  }
  call_ = call;
  call->connection_ = shared_from_this();
  call->sent_ = true;
  call->connection_number_ = number_;
  std::string().swap(call->bytes_);
  head_received_ = false;
  received_bytes_ = 0;
  body_bytes_ = 0;
  begin_response();
  return true;
}

void ClientConnection::begin_response() {
  skipping_response_ = false;
  keep_alive_ = true;
  parser_ = std::make_unique<ResponseParser>(
      [this](const ResponseHead& head) {
        update_keep_alive(head);
        const CallPtr call = call_;
        skipping_response_ = !call || call->observer_ == nullptr || !call->observer_->on_head(head);
        head_received_ = head_received_ || !skipping_response_;
      },
      [this](std::string_view bytes) {
        const CallPtr call = call_;
        if (!skipping_response_ && call && call->observer_ != nullptr) {
          body_bytes_ += bytes.size();
          call->observer_->on_body(bytes);
        }
      });
}

void ClientConnection::update_keep_alive(const ResponseHead& head) {
  keep_alive_ = head.keep_alive;
  if (const auto limit = keep_alive_timeout(head.headers.get("Keep-Alive"))) {
    server_idle_limit_ = *limit;
  }
}

void ClientConnection::on_bytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!call_) {
    // Unexpected bytes without a pending call: the connection must not be reused.
    abandon();
    return;
  }
  received_bytes_ += bytes.size();
  input_.append(bytes);
  parse();
  if (call_ && overhead_exceeded()) {
    fail(CallFailure::kOversized);
  }
}

bool ClientConnection::overhead_exceeded() const {
  const std::uint64_t allowed =
      ResponseLimits::kOverheadBytes + ResponseLimits::kOverheadPerBodyByte * body_bytes_;
  return received_bytes_ - body_bytes_ > allowed;
}

void ClientConnection::parse() {
  while (call_ && parser_ && !input_.empty()) {
    const ParseStatus status = parser_->feed(input_);
    if (!call_) {
      return;  // Cancelled by its observer.
    }
    if (status == ParseStatus::kNeedMore) {
      return;
    }
    if (status != ParseStatus::kDone) {
      fail_refused(status);
      return;
    }
    if (!skipping_response_ && parser_->head().status / 100 != 1) {
      complete(ResponseEnd::kFramed);
      return;
    }
    if (!keep_alive_) {
      fail(CallFailure::kNoAnswer);
      return;
    }
    begin_response();
  }
}

void ClientConnection::fail_refused(ParseStatus status) {
  const std::optional<HeadFault> fault = parser_->fault();
  if (fault && client_ != nullptr && client_->malformed_handler_) {
    client_->malformed_handler_(endpoint_, *fault);
  }
  if (fault || !head_received_) {
    fail(CallFailure::kMalformed);
  } else {
    fail(status == ParseStatus::kHeaderTooLarge ? CallFailure::kOversized
                                                : CallFailure::kInterrupted);
  }
}

void ClientConnection::complete(ResponseEnd end) {
  const auto self = shared_from_this();
  const CallPtr call = std::exchange(call_, nullptr);
  call->connection_.reset();
  if (keep_alive_ && input_.empty() && connection_ && connection_->open()) {
    client_->keep(self);
  } else {
    abandon();
  }
  if (call->observer_ != nullptr) {
    std::exchange(call->observer_, nullptr)->on_complete(end);
  }
}

void ClientConnection::on_closed(bool clean) {
  const auto self = shared_from_this();
  if (!call_) {
    abandon();
    return;
  }
  if (clean && parser_ && parser_->feed_end() && !skipping_response_) {
    keep_alive_ = false;
    complete(ResponseEnd::kConnectionClosed);
    return;
  }
  fail(head_received_ ? CallFailure::kInterrupted : CallFailure::kNoAnswer);
}

void ClientConnection::fail(CallFailure failure) {
  const auto self = shared_from_this();
  const CallPtr call = std::exchange(call_, nullptr);
  abandon();
  if (!call) {
    return;
  }
  call->connection_.reset();
  if (call->observer_ != nullptr) {
    std::exchange(call->observer_, nullptr)->on_failure(failure);
  }
}

void ClientConnection::abandon_idle_siblings() {
  if (client_ != nullptr) {
    client_->abandon_idle(endpoint_);
  }
}

void ClientConnection::abandon() {
  const auto self = shared_from_this();
  if (connecting_) {
    ErrorCode ignored;
    connecting_->close(ignored);
    connecting_.reset();
  }
  if (connection_) {
    connection_->detach();
    connection_->close();
  }
  call_.reset();
  if (client_ != nullptr) {
    client_->forget(self);
  }
}

/// Ends a simple call that exceeds its timeout.
struct SimpleCall::Timer {
  explicit Timer(boost::asio::io_context& loop) : timer(loop) {}
  boost::asio::steady_timer timer;
};

SimpleCall::SimpleCall(boost::asio::io_context& loop, bool accepts_unframed)
    : timer_(std::make_shared<Timer>(loop)), accepts_unframed_(accepts_unframed) {}

std::shared_ptr<SimpleCall> SimpleCall::start(HttpClient& client, boost::asio::io_context& loop,
                                              const Endpoint& endpoint, std::string bytes,
                                              const CallOptions& options, Duration timeout,
                                              Done done) {
  std::shared_ptr<SimpleCall> simple(new SimpleCall(loop, options.accepts_unframed));
  simple->self_ = simple;
  simple->done_ = std::move(done);
  simple->timer_->timer.expires_after(timeout);
  simple->timer_->timer.async_wait([weak = std::weak_ptr(simple)](const ErrorCode& error) {
    const auto self = weak.lock();
    if (!error && self) {
      const bool sent = self->call_ && self->call_->sent();
      if (self->call_) {
        self->call_->time_out();
      }
      self->finish(sent ? CallFailure::kNoAnswer : CallFailure::kNotSent);
    }
  });
  simple->call_ = client.start(endpoint, std::move(bytes), options, *simple);
  return simple;
}

void SimpleCall::cancel() {
  done_ = nullptr;
  if (call_) {
    call_->cancel();
  }
  finish(std::nullopt);
}

bool SimpleCall::on_head(const ResponseHead& head) {
  const bool provisional = head.status / 100 == 1;
  if (!provisional) {
    outcome_.head = head;
  }
  return true;
}

void SimpleCall::on_body(std::string_view bytes) {
  if (outcome_.body.size() + bytes.size() <= ResponseLimits::kSimpleBodyBytes) {
    outcome_.body.append(bytes);
    return;
  }
  if (call_) {
    call_->cancel();
  }
  finish(CallFailure::kOversized);
}

void SimpleCall::on_complete(ResponseEnd end) {
  const bool whole = end == ResponseEnd::kFramed || accepts_unframed_;
  finish(whole ? std::nullopt : std::optional(CallFailure::kInterrupted));
}

void SimpleCall::on_failure(CallFailure failure) {
  outcome_.connection_refused = call_ && call_->connection_refused();
  finish(failure);
}

void SimpleCall::finish(std::optional<CallFailure> failure) {
  const auto self = std::exchange(self_, nullptr);
  timer_->timer.cancel();
  outcome_.failure = failure;
  if (const Done done = std::exchange(done_, nullptr)) {
    done(std::move(outcome_));
  }
}

}  // namespace dockpoint::net
