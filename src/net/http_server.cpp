#include "net/http_server.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "dockpoint/core/address.hpp"
#include "net/clock.hpp"

namespace dockpoint::net {
namespace {

using ErrorCode = boost::system::error_code;

/// Pipelined bytes after which a connection is not read while a response is pending.
constexpr std::size_t kMaximumPipelinedBytes = 16 * 1024;

/// Bytes of responses that a client has not read after which its next request waits.
constexpr std::size_t kMaximumUnreadBytes = 64 * 1024;

/// Receive buffer of the kernel for each client, in bytes: while the process stands still, every
/// connection may fill its own.
constexpr int kReceiveBufferBytes = 16 * 1024;

/// Status code for a request that times out before it is complete.
constexpr int kRequestTimeoutStatus = 408;

/// Status code for a request that is refused because clients hold too much memory.
constexpr int kOverloadedStatus = 503;

/// Status code in place of a response that clients would refuse.
constexpr int kBadGatewayStatus = 502;

/// Retry-After of requests that clients' limits refuse, in seconds: stalled clients give way at
/// once.
constexpr const char* kOverloadedRetryAfter = "0.5";

/// A complete request is held here and copied for the replica.
constexpr std::uint64_t kRequestCopies = 2;

/// Time for which input is dropped after a refusal.
constexpr Duration kLingerTime = std::chrono::seconds(2);

/// Bytes that are dropped after a refusal; then the connection is not read until it is closed.
constexpr std::size_t kLingerBytes = 4 * 1024 * 1024;

/// Pause after a failure to accept a connection.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

const ErrorCode kNoSystemDescriptors(ENFILE, boost::system::system_category());

/// Listen backlog.
constexpr int kBacklog = 1024;

/// TCP_USER_TIMEOUT of client connections, in milliseconds.
constexpr int kClientUserTimeoutMs = 8'000;

/// Idle time before TCP keep-alive probes to a client, in seconds.
constexpr int kClientKeepaliveSeconds = 5;

/// Replaces a final response's head that clients would refuse: it was made from unchecked input.
/// @param target of the request, for the log.
/// @return whether it was replaced; the body must then be left out.
bool replace_malformed(ResponseHead& head, const std::string& target) {
  const bool provisional = head.status / 100 == 1;
  const std::optional<HeadFault> fault = provisional ? HeadFault::kStatus : find_fault(head);
  if (!fault) {
    return false;
  }
  spdlog::error("http: malformed response replaced target={} status={} fault={}", target,
                head.status, to_string(*fault));
  head = ResponseHead{kBadGatewayStatus, {}, {}};
  return true;
}

int status_of(ParseStatus status) {
  switch (status) {
    case ParseStatus::kHeaderTooLarge:
      return 431;
    case ParseStatus::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

}  // namespace

Exchange::Exchange(std::weak_ptr<ServerConnection> connection, RequestHead head, std::string body,
                   TimePoint received)
    : connection_(std::move(connection)),
      head_(std::move(head)),
      body_(std::move(body)),
      received_(received) {}

void Exchange::respond(int status, Headers headers, std::string_view body) {
  const auto connection = connection_.lock();
  if (answered_ || !connection) {
    return;
  }
  answered_ = true;
  ended_ = true;
  ResponseHead head{status, {}, std::move(headers)};
  if (replace_malformed(head, head_.target)) {
    body = {};
  }
  const bool keep = connection->keeps_alive();
  if (!keep) {
    head.headers.set("Connection", "close");
  }
  if (allows_body(head.status)) {
    head.headers.set("Content-Length", std::to_string(body.size()));
  } else {
    head.headers.erase("Content-Length");
    body = {};
  }
  std::string bytes = serialize(head);
  bytes += body;
  connection->send(bytes);
  connection->finish(keep);
}

void Exchange::begin(ResponseHead head, BodyFraming framing) {
  const auto connection = connection_.lock();
  if (answered_ || !connection) {
    return;
  }
  if (replace_malformed(head, head_.target)) {
    respond(head.status, std::move(head.headers), {});
    return;
  }
  answered_ = true;
  if (!allows_body(head.status)) {
    framing_ = BodyFraming::kNoBody;
  } else {
    framing_ = head_.http_1_0 ? BodyFraming::kUntilClose : framing;
  }
  if (!connection->keeps_alive() || framing_ == BodyFraming::kUntilClose) {
    head.headers.set("Connection", "close");
    connection->keep_alive_ = false;
  }
  if (framing_ == BodyFraming::kChunks) {
    head.headers.set("Transfer-Encoding", "chunked");
  }
  connection->send(serialize(head));
}

void Exchange::write(std::string_view bytes) {
  const auto connection = connection_.lock();
  if (!ended_ && connection && !bytes.empty() && framing_ != BodyFraming::kNoBody) {
    connection->send(framing_ == BodyFraming::kChunks ? as_chunk(bytes) : std::string(bytes));
  }
}

void Exchange::end() {
  const auto connection = connection_.lock();
  if (ended_ || !connection) {
    return;
  }
  ended_ = true;
  if (framing_ == BodyFraming::kChunks) {
    connection->send(as_chunk({}));
  }
  connection->finish(connection->keep_alive_);
}

void Exchange::abort() {
  const auto connection = connection_.lock();
  if (ended_ || !connection) {
    return;
  }
  answered_ = true;
  ended_ = true;
  connection->connection_->reset();
  connection->drop();
}

std::size_t Exchange::pending_output() const {
  const auto connection = connection_.lock();
  return connection ? connection->connection_->pending_output() : 0;
}

HttpServer::HttpServer(boost::asio::io_context& loop, Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      own_clients_(std::make_unique<ClientPool>(loop, ClientLimits{})),
      clients_(*own_clients_),
      acceptor_(loop),
      accept_timer_(loop) {}

HttpServer::HttpServer(boost::asio::io_context& loop, Handler handler, ClientPool& clients)
    : loop_(loop),
      handler_(std::move(handler)),
      clients_(clients),
      acceptor_(loop),
      accept_timer_(loop) {}

HttpServer::~HttpServer() {
  for (const auto& connection : std::exchange(connections_, {})) {
    connection->close();
  }
}

void HttpServer::listen(const std::string& address) {
  const std::optional<Address> parsed = Address::parse(address);
  const tcp::endpoint endpoint(boost::asio::ip::make_address(parsed ? parsed->host : std::string{}),
                               parsed ? parsed->port : std::uint16_t{0});
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  ErrorCode ignored;  // The kernel's default then holds.
  acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
  accept();
}

void HttpServer::stop_accepting() {
  ErrorCode ignored;
  acceptor_.close(ignored);
}

void HttpServer::accept() {
  acceptor_.async_accept(handlers_.wrap([this](const ErrorCode& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error == boost::asio::error::no_descriptors || error == boost::asio::error::no_memory ||
        error == boost::asio::error::no_buffer_space || error == kNoSystemDescriptors) {
      clients_.release_connection();
      pause_accepting();
      return;
    }
    if (!error && clients_.make_room()) {
      take(std::move(socket));
    }
    accept();
  }));
}

void HttpServer::take(tcp::socket socket) {
  set_user_timeout(socket, kClientUserTimeoutMs);
  set_keepalive(socket, kClientKeepaliveSeconds);
  auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->start();
}

void HttpServer::pause_accepting() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait(handlers_.wrap([this](const ErrorCode& error) {
    if (!error && acceptor_.is_open()) {
      accept();
    }
  }));
}

void HttpServer::remove(const std::shared_ptr<ServerConnection>& connection) {
  connections_.erase(connection);
}

void HttpServer::close_idle() {
  const auto connections = connections_;
  for (const auto& connection : connections) {
    if (connection->idle()) {
      connection->close();
    }
  }
}

void HttpServer::tick(TimePoint now) {
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->tick(now);
  }
}

void HttpServer::respond_to_pending(int status) {
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->respond_to_pending(status);
  }
}

bool HttpServer::has_unsent_output() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->has_unsent_output(); });
}

std::size_t HttpServer::active() const {
  std::size_t count = 0;
  for (const auto& connection : connections_) {
    count += connection->idle() ? 0 : 1;
  }
  return count;
}

ServerConnection::ServerConnection(HttpServer& server, tcp::socket socket)
    : server_(&server),
      clients_(&server.clients_),
      id_(clients_->add(*this)),
      connection_(std::make_shared<TcpConnection>(std::move(socket), *this)),
      timeout_start_(steady_now()) {
  new_parser();
}

ServerConnection::~ServerConnection() {
  connection_->detach();
}

void ServerConnection::start() {
  connection_->start();
}

void ServerConnection::new_parser() {
  parser_ =
      std::make_unique<RequestParser>(server_->limits_.header_bytes, server_->limits_.body_bytes);
  continue_sent_ = false;
}

ClientState ServerConnection::state() const {
  if (phase_ == Phase::kLingering) {
    return ClientState::kRefused;
  }
  if (connection_->pending_output() > 0) {
    return ClientState::kReceiving;
  }
  if (exchange_) {
    return input_.empty() ? ClientState::kProcessing : ClientState::kPipelining;
  }
  if (!idle()) {
    return ClientState::kSending;
  }
  return served_ ? ClientState::kIdle : ClientState::kNew;
}

std::uint64_t ServerConnection::held_bytes() const {
  return input_.capacity() + connection_->output_memory() + parser_->held_bytes() + request_bytes_;
}

void ServerConnection::respond_to_pending(int status) {
  if (const ExchangePtr exchange = exchange_) {
    exchange->respond(status, {}, {});
  }
}

void ServerConnection::account() {
  clients_->update(id_, state(), held_bytes());
}

void ServerConnection::on_bytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (phase_ != Phase::kOpen) {
    drop_input(bytes.size());
    return;
  }
  if (idle()) {
    timeout_start_ = steady_now();
  }
  clients_->transferred(id_, bytes.size());
  input_.append(bytes);
  parse();
  account();
}

bool ServerConnection::waits() const {
  return exchange_ || connection_->pending_output() > kMaximumUnreadBytes;
}

void ServerConnection::parse() {
  if (parsing_) {
    return;  // `finish` was called from within the handler; the loop below continues.
  }
  parsing_ = true;
  while (!waits() && phase_ == Phase::kOpen && !input_.empty() && connection_->open()) {
    const ParseStatus status = parser_->feed(input_);
    if (status == ParseStatus::kDone) {
      dispatch();
      continue;
    }
    if (status != ParseStatus::kNeedMore) {
      refuse(status_of(status));
    } else if (parser_->has_head() && !continue_sent_ &&
               equal_names(parser_->head().headers.get("Expect"), "100-continue")) {
      continue_sent_ = true;
      send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    break;
  }
  parsing_ = false;
  if (input_.empty()) {
    std::string().swap(input_);
  }
  if (waits() && input_.size() > kMaximumPipelinedBytes) {
    connection_->pause();
  }
}

void ServerConnection::dispatch() {
  served_ = true;
  const std::uint64_t request_bytes = kRequestCopies * parser_->held_bytes();
  if (!clients_->may_process(request_bytes)) {
    refuse(kOverloadedStatus);
    return;
  }
  request_bytes_ = request_bytes;
  keep_alive_ = parser_->head().keep_alive;
  exchange_ = std::make_shared<Exchange>(weak_from_this(), std::move(parser_->head()),
                                         std::move(parser_->body()), steady_now());
  new_parser();
  account();
  const ExchangePtr exchange = exchange_;
  server_->handler_(exchange);
}

void ServerConnection::refuse(int status) {
  Headers headers{{"Connection", "close"}, {"Content-Length", "0"}};
  if (status == kOverloadedStatus) {
    headers.add("Retry-After", kOverloadedRetryAfter);
  }
  send(serialize(ResponseHead{status, {}, std::move(headers)}));
  close_after_output(true);
}

bool ServerConnection::send(std::string_view bytes) {
  const bool sent = connection_->send(bytes);
  account();
  return sent;
}

bool ServerConnection::keeps_alive() const {
  return keep_alive_ && !server_->closing_;
}

void ServerConnection::finish(bool keep_alive) {
  const auto self = shared_from_this();
  exchange_.reset();
  request_bytes_ = 0;
  timeout_start_ = steady_now();
  if (!keep_alive) {
    close_after_output(!input_.empty());
    return;
  }
  connection_->resume();
  parse();
  account();
}

void ServerConnection::close_after_output(bool linger) {
  phase_ = Phase::kClosing;
  lingers_ = linger;
  timeout_start_ = steady_now();
  new_parser();
  std::string().swap(input_);
  connection_->resume();
  if (connection_->pending_output() == 0) {
    on_drained();
  } else {
    account();
  }
}

void ServerConnection::linger() {
  phase_ = Phase::kLingering;
  connection_->shutdown_output();
  account();
}

void ServerConnection::drop_input(std::size_t bytes) {
  dropped_bytes_ += bytes;
  if (dropped_bytes_ > kLingerBytes) {
    connection_->pause();
  }
}

void ServerConnection::on_closed(bool /*clean*/) {
  const auto self = shared_from_this();
  const ExchangePtr exchange = std::exchange(exchange_, nullptr);
  drop();
  if (exchange && !exchange->ended_) {
    exchange->ended_ = true;
    exchange->answered_ = true;
    if (exchange->client_gone_) {
      exchange->client_gone_();
    }
  }
}

void ServerConnection::on_sent(std::size_t bytes) {
  clients_->transferred(id_, bytes);
  if (!exchange_) {
    timeout_start_ = steady_now();
  }
  account();
}

void ServerConnection::on_drained() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kClosing) {
    if (lingers_) {
      linger();
    } else {
      close();
    }
    return;
  }
  if (exchange_ && exchange_->drained_) {
    const ExchangePtr exchange = exchange_;
    exchange->drained_();
  }
  if (!exchange_ && phase_ == Phase::kOpen) {
    connection_->resume();
    parse();
  }
  account();
}

void ServerConnection::tick(TimePoint now) {
  if (exchange_) {
    return;
  }
  const Duration age = now - timeout_start_;
  const ServerLimits& limits = server_->limits_;
  if (phase_ == Phase::kLingering) {
    if (age > kLingerTime) {
      close();
    }
    return;
  }
  if (idle() || waits()) {
    if (age > limits.idle_timeout) {
      close();
    }
    return;
  }
  // A body may take longer than a head, but its time is limited too.
  const Duration body_time = parser_->has_head() ? limits.idle_timeout : Duration{};
  if (age > limits.header_timeout + body_time) {
    refuse(kRequestTimeoutStatus);
  }
}

void ServerConnection::give_way() {
  const auto self = shared_from_this();
  if (state() == ClientState::kSending) {
    refuse(kOverloadedStatus);
  } else {
    abort();
  }
}

void ServerConnection::evict() {
  const auto self = shared_from_this();
  give_way();
  if (connection_->open()) {
    close();
  }
}

void ServerConnection::abort() {
  if (exchange_ || connection_->pending_output() > 0) {
    connection_->reset();
  } else {
    connection_->close();
  }
  on_closed(false);
}

void ServerConnection::close() {
  const auto self = shared_from_this();
  connection_->close();
  drop();
}

void ServerConnection::drop() {
  const auto self = shared_from_this();
  connection_->detach();
  exchange_.reset();
  clients_->remove(id_);
  server_->remove(self);
}

}  // namespace dockpoint::net
