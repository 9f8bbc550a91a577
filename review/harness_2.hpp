#pragma once

/// Stand-ins and helpers shared by the case drivers of the second review: the platform's store (the
/// project's own stand-in), replicas, clients, and nodes as separate processes. Everything listens
/// on loopback addresses; drivers run on the real clock.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform/stand_in_store.hpp"

namespace review {

using Json = nlohmann::json;
using namespace std::chrono_literals;

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// @return whether the case brings its disruption about; `TROUBLE=0` leaves it out.
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::int64_t elapsed_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
      .count();
}

/// Writes what was sent, answered and run, one line each, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << elapsed_ms() << " " << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// @return the path of the case's record.
inline std::string record_path() {
  const char* path = std::getenv("RECORD");
  return path == nullptr ? "record.txt" : path;
}

using HeaderMap = std::map<std::string, std::string>;

inline std::string lower(std::string text) {
  for (char& letter : text) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return text;
}

inline bool send_all(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

inline sockaddr_in socket_address(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

/// Reads one message: the first line, the headers and a body with a length or in chunks.
class MessageReader {
 public:
  explicit MessageReader(int socket) : socket_(socket) {}

  /// @return whether a whole head was read.
  bool read_head(std::string& first_line, HeaderMap& headers, std::int64_t deadline_ms) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(deadline_ms)) {
        return false;
      }
    }
    const std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    std::size_t start = head.find("\r\n");
    first_line = head.substr(0, start);
    while (start != std::string::npos) {
      const std::size_t next = head.find("\r\n", start + 2);
      const std::string field = head.substr(start + 2, next - start - 2);
      const std::size_t colon = field.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < field.size() && field[value] == ' ') {
          ++value;
        }
        headers[lower(field.substr(0, colon))] = field.substr(value);
      }
      start = next;
    }
    return true;
  }

  /// @return whether the whole body was read.
  bool read_body(const HeaderMap& headers, std::string& body, bool until_close,
                 std::int64_t deadline_ms) {
    const auto length = headers.find("content-length");
    if (length != headers.end()) {
      return read_bytes(std::strtoull(length->second.c_str(), nullptr, 10), body, deadline_ms);
    }
    const auto coding = headers.find("transfer-encoding");
    if (coding != headers.end() && lower(coding->second) == "chunked") {
      return read_chunks(body, deadline_ms);
    }
    while (until_close && fill(deadline_ms)) {
    }
    body.swap(buffer_);
    return !until_close || closed_;
  }

 private:
  bool read_bytes(std::size_t count, std::string& into, std::int64_t deadline_ms) {
    while (buffer_.size() < count) {
      if (!fill(deadline_ms)) {
        into += buffer_;
        return false;
      }
    }
    into += buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }

  bool read_chunks(std::string& body, std::int64_t deadline_ms) {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(deadline_ms)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      std::string line_end;
      if (!read_bytes(size, body, deadline_ms) || !read_bytes(2, line_end, deadline_ms)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  bool fill(std::int64_t deadline_ms) {
    const std::int64_t left = deadline_ms - elapsed_ms();
    pollfd waiting{socket_, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(socket_, bytes, sizeof(bytes), 0);
    closed_ = count == 0;
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int socket_;
  std::string buffer_;
  bool closed_ = false;
};

/// An answer as its client sees it.
struct Answer {
  int status = 0;  ///< 0: none came.
  HeaderMap headers;
  std::string body;
  bool whole = false;
};

struct Endpoint {
  std::string host;
  int port = 0;
};

/// Sends one request on a connection of its own and waits for the answer.
inline Answer call(const Endpoint& to, const std::string& method, const std::string& target,
                   const std::vector<std::pair<std::string, std::string>>& headers,
                   const std::string& body, int timeout_ms) {
  Answer answer;
  const std::int64_t deadline = elapsed_ms() + timeout_ms;
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = socket_address(to.host, to.port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    std::string bytes = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      bytes += name + ": " + value + "\r\n";
    }
    if (method != "GET") {
      bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    bytes += "\r\n" + body;
    std::string first_line;
    MessageReader reader(socket);
    if (send_all(socket, bytes) && reader.read_head(first_line, answer.headers, deadline)) {
      answer.status =
          std::atoi(first_line.substr(std::min<std::size_t>(9, first_line.size())).c_str());
      answer.whole = reader.read_body(answer.headers, answer.body, true, deadline);
    }
  }
  close(socket);
  return answer;
}

/// A request as a replica sees it.
struct Request {
  std::string method;
  std::string target;
  HeaderMap headers;
  std::string body;
  std::string header(const std::string& name) const {
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string{} : found->second;
  }
};

/// The connection on which a replica answers.
class Reply {
 public:
  explicit Reply(int socket) : socket_(socket) {}
  bool send(const std::string& bytes) { return send_all(socket_, bytes); }
  bool chunk(const std::string& bytes) {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return send(size + bytes + "\r\n");
  }
  bool last_chunk() { return send("0\r\n\r\n"); }

 private:
  int socket_;
};

/// A replica: an HTTP server with a thread a connection. It answers health checks and turns away
/// what names another instance; a handler answers the rest.
class Replica {
 public:
  /// @return whether the connection stays open.
  using Handler = std::function<bool(Replica&, const Request&, Reply&)>;

  Replica(std::string id, std::string service, int slots, Handler handler)
      : id_(std::move(id)),
        service_(std::move(service)),
        slots_(slots),
        handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = socket_address("127.0.0.1", 0);
    socklen_t size = sizeof(address);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(listener_, 256) != 0) {
      throw std::runtime_error("a replica cannot listen");
    }
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept_all(); });
  }
  ~Replica() { crash(); }

  /// Ends the replica as a crash of its process does: it closes its address and all connections.
  /// @param loss share of the packets that close connections that the link loses: they arrive when
  /// they are sent again.
  /// @return how many were lost.
  int crash(double loss = 0, std::chrono::milliseconds sent_again_after = 200ms) {
    held_ = true;  // From now on connections are closed only here, and at once.
    if (stopped_.exchange(true)) {
      held_ = false;
      return 0;
    }
    acceptor_.join();
    std::vector<int> late;
    {
      const std::lock_guard lock(mutex_);
      close(listener_);
      std::bernoulli_distribution lost(loss);
      for (const int socket : sockets_) {
        if (lost(random_)) {
          late.push_back(socket);
        } else {
          shutdown(socket, SHUT_RDWR);
        }
      }
    }
    if (!late.empty()) {
      std::this_thread::sleep_for(sent_again_after);
    }
    for (const int socket : late) {
      shutdown(socket, SHUT_RDWR);
    }
    held_ = false;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    return static_cast<int>(late.size());
  }

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  int port() const { return port_; }
  bool stopped() const { return stopped_; }
  int running() const { return running_; }
  int connections() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(sockets_.size());
  }
  int slots() const { return slots_; }
  /// The replica's record in the store.
  std::string record(const std::string& state = "ready") {
    return Json{{"service", service_},  {"address", "127.0.0.1:" + std::to_string(port_)},
                {"zone", "zone-a"},     {"version", "v1"},
                {"slots", slots_},      {"state", state},
                {"coldRemainingMs", 0}, {"sequence", ++sequence_}}
        .dump();
  }
  /// @return the head of a signed answer to `request`, up to the framing.
  std::string signed_head(const Request& request, int status, const char* reason) const {
    return "HTTP/1.1 " + std::to_string(status) + " " + reason +
           "\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nResponse-Signature: " + id_ +
           "." + request.header("Attempt-Id") + "\r\n" + load();
  }
  std::string load() const {
    return "Instance-Load: " + std::to_string(running_.load()) + ",0," + std::to_string(slots_) +
           "\r\n";
  }

 private:
  void accept_all() {
    while (!stopped_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, 20) <= 0) {
        continue;
      }
      const int socket = accept(listener_, nullptr, nullptr);
      if (socket < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(mutex_);
      sockets_.insert(socket);
      threads_.emplace_back([this, socket] { serve(socket); });
    }
  }

  void serve(int socket) {
    MessageReader reader(socket);
    Reply reply(socket);
    bool open = true;
    while (open && !stopped_) {
      Request request;
      std::string first_line;
      if (!reader.read_head(first_line, request.headers, elapsed_ms() + 3'600'000) ||
          !reader.read_body(request.headers, request.body, false, elapsed_ms() + 30'000)) {
        break;
      }
      const std::size_t space = first_line.find(' ');
      request.method = first_line.substr(0, space);
      request.target = first_line.substr(space + 1, first_line.rfind(' ') - space - 1);
      open = answer(request, reply);
    }
    while (held_) {
      std::this_thread::sleep_for(2ms);
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(socket);
    close(socket);
  }

  bool answer(const Request& request, Reply& reply) {
    const std::string target = request.header("Target-Instance");
    if (!target.empty() && target != id_) {
      return reply.send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ +
                        "\r\nContent-Length: 0\r\n\r\n");
    }
    if (request.target == "/healthz") {
      return reply.send("HTTP/1.1 200 OK\r\nInstance-Id: " + id_ + "\r\n" + load() +
                        "Content-Length: 0\r\n\r\n");
    }
    if (++running_ > slots_) {
      --running_;
      return reply.send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: " +
                        request.header("Attempt-Id") + "\r\n" + load() +
                        "Content-Length: 0\r\n\r\n");
    }
    const bool open = handler_(*this, request, reply);
    --running_;
    return open;
  }

  const std::string id_;
  const std::string service_;
  const int slots_;
  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  int sequence_ = 0;
  std::atomic<int> running_{0};
  std::atomic<bool> stopped_{false};
  std::atomic<bool> held_{false};
  std::mt19937 random_{std::random_device{}()};
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// Waits in short steps, so that a crash of the replica ends the wait.
inline bool work(Replica& replica, std::chrono::milliseconds time) {
  const std::int64_t end = elapsed_ms() + time.count();
  while (elapsed_ms() < end && !replica.stopped()) {
    std::this_thread::sleep_for(5ms);
  }
  return !replica.stopped();
}

/// A free port: free on all the given addresses, for TCP and UDP.
inline int free_port(const std::vector<std::string>& hosts) {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> given;
  for (int attempt = 0; attempt < 1000; ++attempt) {
    const int port = 20000 + static_cast<int>(random() % 12000);
    bool free = given.insert(port).second;
    for (const std::string& host : hosts) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int socket = ::socket(AF_INET, type, 0);
        const sockaddr_in address = socket_address(host, port);
        free =
            free && bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        close(socket);
      }
    }
    if (free) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

/// The platform's store, on a thread of its own. Its fault switches are left alone here.
class Store {
 public:
  explicit Store(int partitions)
      : port_(free_port({"127.0.0.1"})),
        store_(loop_, static_cast<std::uint16_t>(port_), partitions),
        timer_(loop_) {
    tick();
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~Store() {
    loop_.stop();
    thread_.join();
  }
  int port() const { return port_; }
  /// Writes a record as the operator or a replica does, and waits for its acknowledgement.
  void put(const std::string& topic, const std::string& key, const std::string& value) {
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
      store_.log.append({topic, 0}, {{key, value, 0}}, std::nullopt,
                        [&](const dockpoint::AppendOutcome&) { done.set_value(); });
    });
    done.get_future().wait();
  }
  void publish(Replica& replica, const std::string& state = "ready") {
    put("keyed.servers", replica.id(), replica.record(state));
  }
  void remove(const Replica& replica) { put("keyed.servers", replica.id(), ""); }
  void configure(const Json& configuration) { put("keyed.op", "config", configuration.dump()); }

 private:
  void tick() {
    store_.tick();
    timer_.expires_after(2ms);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        tick();
      }
    });
  }
  boost::asio::io_context loop_{1};
  const int port_;
  dockpoint::test::StandInStore store_;
  boost::asio::steady_timer timer_;
  std::thread thread_;
};

/// Nodes: the program of the deploy file, one process each, with settings as the template makes
/// them for a small deployment.
class Nodes {
 public:
  Nodes(int count, int store_port, int partitions, std::string folder)
      : folder_(std::move(folder)), partitions_(partitions), store_port_(store_port) {
    for (int number = 0; number < count; ++number) {
      hosts_.push_back("127.0.0." + std::to_string(11 + number));
    }
    for (int& port : ports_) {
      port = free_port(hosts_);
    }
    for (int number = 0; number < count; ++number) {
      write_settings(number);
      pids_.push_back(-1);
      start(number);
    }
  }
  ~Nodes() {
    for (std::size_t number = 0; number < pids_.size(); ++number) {
      stop(static_cast<int>(number), SIGKILL);
    }
  }

  int count() const { return static_cast<int>(hosts_.size()); }
  Endpoint frontend(int number) const {
    return {hosts_[static_cast<std::size_t>(number % count())], ports_[0]};
  }
  Endpoint readiness(int number) const {
    return {hosts_[static_cast<std::size_t>(number)], ports_[1]};
  }
  void start(int number) {
    const std::string settings = folder_ + "/node-" + std::to_string(number) + ".json";
    const std::string output = folder_ + "/node-" + std::to_string(number) + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // A node ends with the driver, also if that is killed.
      const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(file, 1);
      dup2(file, 2);
      for (int descriptor = 3; descriptor < 1024; ++descriptor) {
        close(descriptor);
      }
      setenv("DOCKPOINT_SETTINGS", settings.c_str(), 1);
      execl("target/dockpoint-platform", "target/dockpoint-platform", nullptr);
      _exit(127);
    }
    pids_[static_cast<std::size_t>(number)] = pid;
  }
  void signal(int number, int signal) { kill(pids_[static_cast<std::size_t>(number)], signal); }
  void stop(int number, int signal) {
    pid_t& pid = pids_[static_cast<std::size_t>(number)];
    if (pid > 0) {
      kill(pid, signal);
      waitpid(pid, nullptr, 0);
      pid = -1;
    }
  }
  /// @return whether all nodes are ready within the time.
  bool wait_ready(int timeout_ms) {
    const std::int64_t deadline = elapsed_ms() + timeout_ms;
    for (int number = 0; number < count(); ++number) {
      while (call(readiness(number), "GET", "/v1/readyz", {{"Host", "x"}}, "", 500).status != 200) {
        if (elapsed_ms() > deadline) {
          return false;
        }
        std::this_thread::sleep_for(50ms);
      }
    }
    return true;
  }

 private:
  void write_settings(int number) {
    const std::string host = hosts_[static_cast<std::size_t>(number)];
    const auto at = [&](int port) { return host + ":" + std::to_string(port); };
    Json seeds = Json::array();
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, hosts_.size()); ++seed) {
      seeds.push_back(hosts_[seed] + ":" + std::to_string(ports_[3]));
    }
    const Json settings{{"node", "edge-" + std::to_string(number)},
                        {"zone", "zone-a"},
                        {"region", "region-a"},
                        {"seeds", seeds},
                        {"listen",
                         {{"frontend", at(ports_[0])},
                          {"readiness", at(ports_[1])},
                          {"resolver", at(ports_[2])},
                          {"control", at(ports_[3])},
                          {"datagrams", at(ports_[4])},
                          {"metrics", at(ports_[5])}}},
                        {"log",
                         {{"address", "127.0.0.1:" + std::to_string(store_port_)},
                          {"partitions", partitions_},
                          {"record_bytes", 262144},
                          {"call_bytes", 2097152},
                          {"minimum_lease_ms", 1000}}},
                        {"machine", {{"memory_mb", 290}, {"descriptors", 8200}}},
                        {"times",
                         {{"configuration_in_force_ms", 2000},
                          {"drain_known_ms", 2000},
                          {"address_lifetime_s", 5},
                          {"grace_s", 8}}},
                        {"tenants", {{"rate_overage", 0.1}}},
                        {"cold_replicas", Json::object()}};
    std::ofstream(folder_ + "/node-" + std::to_string(number) + ".json") << settings.dump(1);
  }

  const std::string folder_;
  const int partitions_;
  const int store_port_;
  std::vector<std::string> hosts_;
  int ports_[6] = {};
  std::vector<pid_t> pids_;
};

/// A temporary folder, removed at the end unless `KEEP=1`.
class Folder {
 public:
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    path_ = name;
  }
  ~Folder() {
    const char* keep = std::getenv("KEEP");
    if (keep == nullptr || std::string(keep) != "1") {
      std::error_code ignored;
      std::filesystem::remove_all(path_, ignored);
    } else {
      std::cerr << "kept " << path_ << "\n";
    }
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// What a case's client knows of its batch jobs.
struct Job {
  std::string id;
  std::string path;
  std::vector<std::string> items;
  std::int64_t accepted_ms = -1;
};

inline Json limits() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 4194304},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

inline Json model_service(const std::string& name, int slots) {
  return {{"name", name},
          {"healthPath", "/healthz"},
          {"maxConns", 200},
          {"engine", {{"slots", slots}, {"kvCacheTokens", 147261}}}};
}

inline Json batch_route(const std::string& name, const std::string& prefix,
                        const std::string& service) {
  return {{"name", name},
          {"host", "review.example"},
          {"pathPrefix", prefix},
          {"type", "batch"},
          {"timeoutMs", 30000},
          {"targetMs", 400},
          {"completionTargetMs", 20000},
          {"retentionS", 60},
          {"priority", 2},
          {"service", service},
          {"attempts", 3}};
}

/// Submits a job, at one node after another until it is accepted.
inline bool submit(Job& job, const Nodes& nodes, int first_node, Record& record) {
  Json entries = Json::array();
  for (const std::string& item : job.items) {
    entries.push_back(
        {{"id", item},
         {"path", job.path + item},
         {"headers",
          {{"Model", "m"}, {"Token-Usage", "540,100"}, {"Prompt-Prefix", "9c2e41:300,5d07b8:240"}}},
         {"body", "q83vEjRWeJA="},
         {"tokenCount", 640}});
  }
  const std::string body = Json{{"requests", entries}}.dump();
  for (int attempt = 0; attempt < 8; ++attempt) {
    const Answer answer = call(
        nodes.frontend(first_node + attempt), "POST", job.path + job.id,
        {{"Host", "review.example"}, {"Attempt-Id", job.id}, {"Content-Type", "application/json"}},
        body, 4000);
    record.line("client: submit job " + job.id + " (" + std::to_string(job.items.size()) +
                " items) answered " + std::to_string(answer.status));
    if (answer.status == 202) {
      job.accepted_ms = elapsed_ms();
      return true;
    }
    std::this_thread::sleep_for(300ms);
  }
  return false;
}

/// Reads all results listed so far, at one node after another until an answer comes.
inline bool read_results(const Job& job, const Nodes& nodes, Json& results, int attempts = 10) {
  results = Json::array();
  std::size_t position = 0;
  int failures = 0;
  while (failures < attempts) {
    const Answer answer = call(nodes.frontend(failures), "GET",
                               "/v1/lots/" + job.id + "?sinceRevision=" + std::to_string(position),
                               {{"Host", "review.example"}}, "", 3000);
    const Json page = Json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !answer.whole || !page.is_object()) {
      ++failures;
      std::this_thread::sleep_for(300ms);
      continue;
    }
    for (const Json& result : page["results"]) {
      results.push_back(result);
    }
    if (page["results"].empty()) {
      return true;
    }
    position = page["nextToken"];
  }
  return false;
}

/// Runs the case. A problem of its surroundings ends it as one that could not run.
inline int run_case(const std::function<int()>& body) {
  elapsed_ms();
  ::signal(SIGPIPE, SIG_IGN);
  try {
    return body();
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace review
