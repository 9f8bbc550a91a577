/// Stand-ins for the review's scripts: a store, HTTP servers and clients on loopback, and the
/// processes of the project. Blocking sockets, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point kStart = Clock::now();

inline double seconds_since_start() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void sleep_ms(long milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Writes what was sent, answered and run into record.txt, and to standard output as well.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}

  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[4096];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard guard(mutex_);
    std::fprintf(file_, "%8.3f %s\n", seconds_since_start(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string header(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return {};
}

struct Message {
  std::string first;  ///< Request or status line.
  std::string method;
  std::string target;
  int status = 0;
  Headers headers;
  std::string body;
  bool whole = false;

  std::string get(const std::string& name) const { return header(headers, name); }
};

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A blocking connection that reads HTTP messages.
class Connection {
 public:
  explicit Connection(int handle) : handle_(handle) {
    const int on = 1;
    setsockopt(handle_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close_now(); }
  Connection(const Connection&) = delete;

  static std::unique_ptr<Connection> open(const std::string& ip, int port, int timeout_ms,
                                          int receive_buffer = 0) {
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in address = address_of(ip, port);
    if (connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      close(handle);
      return nullptr;
    }
    return std::make_unique<Connection>(handle);
  }

  bool write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t count =
          send(handle_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }

  bool fill() {
    char buffer[65536];
    const ssize_t count = recv(handle_, buffer, sizeof buffer, 0);
    if (count <= 0) {
      return false;
    }
    input_.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  /// @return whether the peer has closed or reset the connection.
  bool peer_gone() const {
    char byte = 0;
    const ssize_t count = recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  /// Reads one message; `whole` tells whether its end arrived.
  bool read(Message& message, bool request) {
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) {
        return false;
      }
    }
    parse_head(input_.substr(0, end), message, request);
    input_.erase(0, end + 4);
    if (!request && message.status / 100 == 1) {
      message = {};
      return read(message, request);
    }
    if (strcasecmp(message.get("Transfer-Encoding").c_str(), "chunked") == 0) {
      message.whole = read_chunks(message.body);
    } else if (!message.get("Content-Length").empty()) {
      const std::size_t length = std::strtoull(message.get("Content-Length").c_str(), nullptr, 10);
      while (input_.size() < length && fill()) {
      }
      message.whole = input_.size() >= length;
      message.body = input_.substr(0, length);
      input_.erase(0, length);
    } else {
      message.whole = true;
    }
    return true;
  }

  int handle() const { return handle_; }
  std::string& input() { return input_; }
  void close_now() {
    if (handle_ >= 0) {
      close(handle_);
      handle_ = -1;
    }
  }

 private:
  static void parse_head(const std::string& head, Message& message, bool request) {
    std::size_t start = 0;
    bool first = true;
    while (start <= head.size()) {
      std::size_t end = head.find("\r\n", start);
      end = end == std::string::npos ? head.size() : end;
      const std::string text = head.substr(start, end - start);
      if (first) {
        message.first = text;
        const std::size_t space = text.find(' ');
        const std::size_t next = text.find(' ', space + 1);
        if (request) {
          message.method = text.substr(0, space);
          message.target = text.substr(space + 1, next - space - 1);
        } else {
          message.status = std::atoi(text.c_str() + space + 1);
        }
        first = false;
      } else if (const std::size_t colon = text.find(':'); colon != std::string::npos) {
        std::string value = text.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(text.substr(0, colon), value);
      }
      start = end + 2;
    }
  }

  bool read_chunks(std::string& body) {
    while (true) {
      std::size_t end = 0;
      while ((end = input_.find("\r\n")) == std::string::npos) {
        if (!fill()) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(input_.c_str(), nullptr, 16);
      while (input_.size() < end + 2 + size + 2) {
        if (!fill()) {
          return false;
        }
      }
      body += input_.substr(end + 2, size);
      input_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int handle_;
  std::string input_;
};

inline std::string response(int status, const Headers& headers, const std::string& body) {
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    bytes += name + ": " + value + "\r\n";
  }
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string request(const std::string& method, const std::string& target,
                           const Headers& headers, const std::string& body) {
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    bytes += name + ": " + value + "\r\n";
  }
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One request on a connection of its own. @return a message with status 0 without an answer.
inline Message call(const std::string& ip, int port, const std::string& method,
                    const std::string& target, const Headers& headers = {},
                    const std::string& body = {}, int timeout_ms = 4000) {
  Message answer;
  const auto connection = Connection::open(ip, port, timeout_ms);
  if (connection && connection->write(request(method, target, headers, body))) {
    connection->read(answer, false);
  }
  return answer;
}

/// Serves requests on one address, a thread for each connection. The handler writes the answer and
/// returns whether the connection stays open.
class Server {
 public:
  using Handler = std::function<bool(Connection&, Message&)>;

  Server(const std::string& ip, int port, Handler handler) : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = address_of(ip, port);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener_, 512) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    std::thread([this] {
      while (true) {
        const int handle = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
          return;
        }
        std::thread([this, handle] {
          Connection connection(handle);
          Message message;
          while (connection.read(message, true) && message.whole &&
                 handler_(connection, message)) {
            message = {};
          }
        }).detach();
      }
    }).detach();
  }

 private:
  int listener_;
  Handler handler_;
};

/// @return ports that are free at all of the addresses.
inline std::vector<int> free_ports(const std::vector<std::string>& ips, std::size_t count) {
  std::vector<int> ports;
  int port = 20000 + static_cast<int>(getpid() * 37 % 20000);
  while (ports.size() < count) {
    ++port;
    bool open = true;
    for (const std::string& ip : ips) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int handle = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in address = address_of(ip, port);
        open = open && bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(handle);
      }
    }
    if (open) {
      ports.push_back(port);
    }
  }
  return ports;
}

inline std::string decode_percent(const std::string& text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
      index += 2;
    } else {
      decoded += text[index] == '+' ? ' ' : text[index];
    }
  }
  return decoded;
}

inline std::string path_of(const std::string& target) { return target.substr(0, target.find('?')); }

inline std::map<std::string, std::string> query_of(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t start = target.find('?');
  while (start != std::string::npos && start + 1 < target.size()) {
    const std::size_t end = std::min(target.find('&', start + 1), target.size());
    const std::string pair = target.substr(start + 1, end - start - 1);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    query[pair.substr(0, equals)] =
        equals < pair.size() ? decode_percent(pair.substr(equals + 1)) : "";
    start = end < target.size() ? end : std::string::npos;
  }
  return query;
}

inline std::string encode_base64(const std::string& bytes) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    const std::size_t left = std::min<std::size_t>(3, bytes.size() - index);
    unsigned group = 0;
    for (std::size_t offset = 0; offset < 3; ++offset) {
      group = group << 8 | (offset < left ? static_cast<unsigned char>(bytes[index + offset]) : 0);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += digit <= left ? digits[group >> (18 - 6 * digit) & 63] : '=';
    }
  }
  return text;
}

/// The platform's store as the pages describe it: a log of keyed topics and a group that deals
/// partitions out. It answers soundly; nothing here fails.
class Store {
 public:
  static constexpr int kPartitions = 12;
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;

  Store(const std::string& ip, int port)
      : server_(ip, port, [this](Connection& connection, Message& message) {
          sleep_ms(2);
          return serve(connection, message);
        }) {
    std::thread([this] {
      while (true) {
        sleep_ms(20);
        expire_leases();
      }
    }).detach();
  }

  void put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard guard(mutex_);
    add(partitions_[{topic, 0}], key, value);
    changed_.notify_all();
  }

  /// The next append of records to `partition` of results that is ahead of the sequence is done late,
  /// if its condition holds then, and never answered.
  void lose_next_append_ahead(int partition, int late_ms) {
    const std::lock_guard guard(mutex_);
    late_partition_ = partition;
    late_ms_ = late_ms;
  }

  /// Called, without the lock, for each append of a producer that is done.
  std::function<void(int partition, std::uint64_t sequence, std::size_t records)> on_append;
  std::function<void(const std::string& what)> on_note = [](const std::string&) {};
  /// The partition that stays with its owner when others are dealt anew, if it may.
  std::atomic<int> keeps{-1};

  /// @return the members of the group, with the partitions that each one holds.
  std::map<std::string, std::set<int>> holders() {
    const std::lock_guard guard(mutex_);
    std::map<std::string, std::set<int>> holders;
    for (auto& [name, group] : groups_) {
      for (const auto& [id, row] : group.rows) {
        if (!row.owner.empty()) {
          holders[row.owner].insert(id.second);
        }
      }
    }
    return holders;
  }

 private:
  using Id = std::pair<std::string, int>;
  struct KeyedValue {
    std::string key;
    std::string value;
  };
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    bool begun = false;  ///< Records were appended under this epoch.
    std::deque<std::pair<std::uint64_t, Json>> recent;
  };
  struct Partition {
    std::vector<KeyedValue> records;
    std::map<std::string, std::uint64_t> newest;  ///< Offset of the newest record of each key.
    std::map<std::string, Producer> producers;
  };
  struct Row {
    std::string owner;
    std::string next_owner;
  };
  struct Group {
    std::uint64_t generation = 0;
    std::map<std::string, Clock::time_point> members;
    std::map<Id, Row> rows;
  };

  static std::string number(std::uint64_t value, int bytes) {
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
      text += static_cast<char>(value >> shift & 0xff);
    }
    return text;
  }

  static void add(Partition& partition, const std::string& key, const std::string& value) {
    if (value.empty()) {
      partition.newest.erase(key);
    } else {
      partition.newest[key] = partition.records.size();
    }
    partition.records.push_back({key, value});
  }

  static bool reply(Connection& connection, int status, const Json& body) {
    return connection.write(
        response(status, {{"Content-Type", "application/json"}}, body.dump()));
  }

  bool serve(Connection& connection, Message& message) {
    const std::string path = path_of(message.target);
    auto query = query_of(message.target);
    const Id id{query["topic"], std::atoi(query["part"].c_str())};
    if (path == "/v1/log-append") {
      return append(connection, message, id, query);
    }
    if (path == "/v1/log-read") {
      return read(connection, id, query);
    }
    if (path == "/v1/log-newest") {
      return newest(connection, id, query["sinceRevision"]);
    }
    if (path == "/v1/log-owners") {
      return owners(connection, query["group"]);
    }
    const Json body = Json::parse(message.body, nullptr, false);
    if (path == "/v1/log-join" && body.is_object()) {
      return join(connection, body);
    }
    if (path == "/v1/log-leave" && body.is_object()) {
      return leave(connection, body);
    }
    return reply(connection, 404, Json::object());
  }

  bool append(Connection& connection, const Message& message, const Id& id,
              std::map<std::string, std::string>& query) {
    std::vector<KeyedValue> records;
    std::string_view bytes = message.body;
    if (bytes.size() > kCallBytes) {
      return reply(connection, 413, Json::object());
    }
    while (bytes.size() >= 4) {
      std::size_t length = 0;
      for (int index = 0; index < 4; ++index) {
        length = length << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(index)]);
      }
      if (length > kRecordBytes) {
        return reply(connection, 413, Json::object());
      }
      const std::string_view content = bytes.substr(4, length);
      const std::size_t key = static_cast<unsigned char>(content[0]);
      records.push_back({std::string(content.substr(1, key)), std::string(content.substr(1 + key))});
      bytes.remove_prefix(4 + length);
    }
    bool late = false;
    {
      const std::lock_guard guard(mutex_);
      const auto known = partitions_[id].producers.find(query["producer"]);
      late = id.second == late_partition_ && !records.empty() &&
             known != partitions_[id].producers.end() &&
             std::strtoull(query["sequence"].c_str(), nullptr, 10) > known->second.next;
      late_partition_ = late ? -1 : late_partition_;
    }
    if (late) {
      on_note("store: the answer to an append to partition " + query["part"] + ", sequence " +
              query["sequence"] + ", is lost; it is done " + std::to_string(late_ms_) +
              " ms later if its condition holds then");
      std::thread([this, id, query, records]() mutable {
        sleep_ms(late_ms_);
        const auto [status, answer] = apply(id, query, records);
        on_note("store: the late append, sequence " + query["sequence"] + ": " +
                std::to_string(status) + " " + answer.dump());
      }).detach();
      while (!connection.peer_gone()) {
        sleep_ms(5);
      }
      return false;
    }
    const auto [status, answer] = apply(id, query, records);
    return reply(connection, status, answer);
  }

  std::pair<int, Json> apply(const Id& id, std::map<std::string, std::string>& query,
                             const std::vector<KeyedValue>& records) {
    const std::lock_guard guard(mutex_);
    Partition& partition = partitions_[id];
    if (query.contains("timestamp") &&
        std::strtoull(query["timestamp"].c_str(), nullptr, 10) != partition.records.size()) {
      return {412, {{"end", partition.records.size()}}};
    }
    Producer* producer = nullptr;
    const std::uint64_t epoch = std::strtoull(query["epoch"].c_str(), nullptr, 10);
    const std::uint64_t sequence = std::strtoull(query["sequence"].c_str(), nullptr, 10);
    if (query.contains("producer")) {
      const bool known = partition.producers.contains(query["producer"]);
      producer = &partition.producers[query["producer"]];
      if (known && epoch < producer->epoch) {
        return {409, {{"why", "fenced"}}};
      }
      if (!known || epoch > producer->epoch) {
        *producer = {epoch, sequence, false, {}};
      }
      for (const auto& [answered, answer] : producer->recent) {
        if (answered == sequence) {
          return {200, answer};
        }
      }
      // An empty body appends nothing: it takes no place in the sequence.
      if (!records.empty() && producer->begun && sequence != producer->next) {
        return {409, {{"why", "seq"}, {"sequence", producer->next}}};
      }
    }
    Json answer{{"offset", partition.records.size()}};
    for (const KeyedValue& record : records) {
      add(partition, record.key, record.value);
    }
    answer["end"] = partition.records.size();
    if (producer != nullptr && !records.empty()) {
      producer->begun = true;
      producer->next = sequence + 1;
      producer->recent.emplace_back(sequence, answer);
      if (producer->recent.size() > 5) {
        producer->recent.pop_front();
      }
    }
    changed_.notify_all();
    if (producer != nullptr && on_append) {
      on_append(id.second, sequence, records.size());
    }
    return {200, answer};
  }

  bool read(Connection& connection, const Id& id, std::map<std::string, std::string>& query) {
    const std::uint64_t from = std::strtoull(query["rangeStart"].c_str(), nullptr, 10);
    const auto until = Clock::now() + std::chrono::milliseconds(std::atoi(query["waitMs"].c_str()));
    std::string bytes;
    {
      std::unique_lock guard(mutex_);
      Partition& partition = partitions_[id];
      changed_.wait_until(guard, until, [&] { return partition.records.size() > from; });
      bytes = number(partition.records.size(), 8) + number(0, 8);
      for (std::uint64_t offset = from; offset < partition.records.size(); ++offset) {
        const KeyedValue& record = partition.records[offset];
        if (offset > from && bytes.size() + record.value.size() > 1024 * 1024) {
          break;
        }
        bytes += number(1 + record.key.size() + record.value.size(), 4) +
                 static_cast<char>(record.key.size()) + record.key + record.value;
      }
    }
    return connection.write(response(200, {}, bytes));
  }

  bool newest(Connection& connection, const Id& id, const std::string& after) {
    std::string text = "{\"requests\":[";
    {
      const std::lock_guard guard(mutex_);
      const Partition& partition = partitions_[id];
      bool more = false;
      std::size_t count = 0;
      for (auto entry = partition.newest.upper_bound(after); entry != partition.newest.end();
           ++entry, ++count) {
        const std::string& value = partition.records[entry->second].value;
        if (count == 500 || (count > 0 && text.size() + value.size() * 4 / 3 > 1024 * 1024)) {
          more = true;
          break;
        }
        text += (count > 0 ? "," : "") + std::string("{\"key\":") + Json(entry->first).dump() +
                ",\"value\":\"" + encode_base64(value) +
                "\",\"offset\":" + std::to_string(entry->second) + "}";
      }
      text += std::string("],\"hasMore\":") + (more ? "true" : "false") +
              ",\"end\":" + std::to_string(partition.records.size()) + "}";
    }
    return connection.write(response(200, {{"Content-Type", "application/json"}}, text));
  }

  /// Deals the partitions out evenly; as many as may stay with their owners.
  void deal(Group& group) {
    ++group.generation;
    std::map<std::string, std::size_t> held;
    for (const auto& [name, until] : group.members) {
      held[name] = 0;
    }
    if (held.empty()) {
      for (auto& [id, row] : group.rows) {
        row = {};
      }
      return;
    }
    const std::size_t even = (group.rows.size() + held.size() - 1) / held.size();
    std::vector<Row*> rows;
    for (auto& [id, row] : group.rows) {
      rows.insert(id.second == keeps ? rows.begin() : rows.end(), &row);
    }
    std::vector<Row*> moved;
    for (Row* row : rows) {
      if (!row->owner.empty() && held[row->owner] < even) {
        ++held[row->owner];
        row->next_owner.clear();
      } else {
        moved.push_back(row);
      }
    }
    for (Row* row : moved) {
      const auto least = std::min_element(held.begin(), held.end(), [](const auto& one, const auto& other) {
        return one.second < other.second;
      });
      ++least->second;
      (row->owner.empty() ? row->owner : row->next_owner) = least->first;
    }
  }

  bool join(Connection& connection, const Json& body) {
    const std::lock_guard guard(mutex_);
    Group& group = groups_[body["group"]];
    const std::string member = body["member"];
    const bool added = !group.members.contains(member);
    group.members[member] = Clock::now() + std::chrono::milliseconds(body["ttlMs"].get<int>());
    if (added) {
      for (const std::string topic : body["topics"]) {
        for (int part = 0; part < kPartitions; ++part) {
          group.rows.try_emplace({topic, part});
        }
      }
      deal(group);
    }
    for (auto& [id, row] : group.rows) {
      if (row.owner == member && !row.next_owner.empty() &&
          body["generation"].get<std::uint64_t>() >= group.generation) {
        row.owner = std::exchange(row.next_owner, {});
        ++group.generation;
      }
    }
    Json parts = Json::array();
    for (const auto& [id, row] : group.rows) {
      if (row.owner == member && row.next_owner.empty()) {
        parts.push_back({id.first, id.second, 0});
      }
    }
    return reply(connection, 200, {{"generation", group.generation}, {"parts", parts}});
  }

  void remove(Group& group, const std::string& member) {
    group.members.erase(member);
    for (auto& [id, row] : group.rows) {
      row.owner = row.owner == member ? "" : row.owner;
    }
  }

  bool leave(Connection& connection, const Json& body) {
    const std::lock_guard guard(mutex_);
    Group& group = groups_[body["group"]];
    if (group.members.contains(body["member"])) {
      remove(group, body["member"]);
      deal(group);
    }
    return reply(connection, 200, Json::object());
  }

  void expire_leases() {
    const std::lock_guard guard(mutex_);
    for (auto& [name, group] : groups_) {
      std::vector<std::string> silent;
      for (const auto& [member, until] : group.members) {
        if (Clock::now() > until) {
          silent.push_back(member);
        }
      }
      for (const std::string& member : silent) {
        remove(group, member);
      }
      if (!silent.empty()) {
        deal(group);
      }
    }
  }

  bool owners(Connection& connection, const std::string& name) {
    const std::lock_guard guard(mutex_);
    Json rows = Json::array();
    for (const auto& [id, row] : groups_[name].rows) {
      rows.push_back({id.first, id.second, row.owner, 0});
    }
    return reply(connection, 200, {{"parts", rows}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int late_partition_ = -1;
  int late_ms_ = 0;
  std::map<Id, Partition> partitions_;
  std::map<std::string, Group> groups_;
  Server server_;
};

/// One machine of the system: its settings, and the process of the deploy file's role.
class Node {
 public:
  struct Ports {
    int frontend, readiness, resolver, control, datagrams, metrics;
  };

  Node(int number, const Ports& ports, const std::vector<std::string>& seeds,
       const std::string& store, const std::string& folder)
      : name("edge-" + std::to_string(number)),
        ip(ip_of(number)),
        ports_(ports),
        settings_(folder + "/" + name + ".json"),
        log_(folder + "/" + name + ".log") {
    const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
    Json seed_list = Json::array();
    for (const std::string& seed : seeds) {
      seed_list.push_back(seed + ":" + std::to_string(ports.control));
    }
    // As deploy/settings.json.template gives it, with the bounds of the site.
    const Json settings{
        {"node", name},
        {"zone", "piraeus-hall"},
        {"region", "attica"},
        {"seeds", seed_list},
        {"listen",
         {{"frontend", at(ports.frontend)},
          {"readiness", at(ports.readiness)},
          {"resolver", at(ports.resolver)},
          {"control", at(ports.control)},
          {"datagrams", at(ports.datagrams)},
          {"metrics", at(ports.metrics)}}},
        {"log",
         {{"address", store},
          {"partitions", Store::kPartitions},
          {"record_bytes", Store::kRecordBytes},
          {"call_bytes", Store::kCallBytes},
          {"minimum_lease_ms", 1000}}},
        {"times",
         {{"configuration_in_force_ms", 2000},
          {"drain_known_ms", 2000},
          {"address_lifetime_s", 5},
          {"grace_s", 8}}},
        {"tenants", {{"rate_overage", 0.1}}},
        {"cold_replicas", Json::object()}};
    std::ofstream(settings_) << settings.dump(2);
  }
  ~Node() { kill_now(); }

  static std::string ip_of(int number) { return "127.0.0." + std::to_string(10 + number); }

  void start() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("DOCKPOINT_SETTINGS", settings_.c_str(), 1);
      execl("target/dockpoint-platform", "target/dockpoint-platform", nullptr);
      _exit(127);
    }
  }

  bool ready() const { return call(ip, ports_.readiness, "GET", "/v1/readyz").status == 200; }
  void signal_process(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  /// @return whether the process has ended, waiting up to a time.
  bool ended_within(int milliseconds) {
    for (int waited = 0; pid_ > 0 && waited <= milliseconds; waited += 5) {
      if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
      } else {
        sleep_ms(5);
      }
    }
    return pid_ <= 0;
  }
  void kill_now() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  std::string control() const { return ip + ":" + std::to_string(ports_.control); }
  int frontend() const { return ports_.frontend; }
  pid_t pid() const { return pid_; }

  const std::string name;
  const std::string ip;

 private:
  const Ports ports_;
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = -1;
};

/// A store and some machines of the system, on free ports of loopback addresses.
class Deployment {
 public:
  explicit Deployment(int nodes) {
    char folder[] = "/tmp/dockpoint-review-XXXXXX";
    folder_ = mkdtemp(folder);
    std::vector<std::string> ips{"127.0.0.1"};
    std::vector<std::string> seeds;
    for (int number = 1; number <= nodes; ++number) {
      ips.push_back(Node::ip_of(number));
      seeds.push_back(Node::ip_of(number));
    }
    seeds.resize(std::min<std::size_t>(seeds.size(), 3));
    ports = free_ports(ips, 30);
    store = std::make_unique<Store>("127.0.0.1", ports[0]);
    for (int number = 1; number <= nodes; ++number) {
      this->nodes.push_back(std::make_unique<Node>(
          number, Node::Ports{ports[1], ports[2], ports[3], ports[4], ports[5], ports[6]}, seeds,
          "127.0.0.1:" + std::to_string(ports[0]), folder_));
    }
  }

  /// Ports that the stand-ins of replicas may take.
  int replica_port(int number) const { return ports[static_cast<std::size_t>(10 + number)]; }

  void put_replica(const std::string& id, const std::string& service, int number, int slots) {
    const Json entry{{"service", service},
                     {"address", "127.0.0.1:" + std::to_string(replica_port(number))},
                     {"zone", "piraeus-hall"},
                     {"version", "v1"},
                     {"slots", slots},
                     {"state", "ready"},
                     {"coldRemainingMs", 0},
                     {"sequence", 1}};
    store->put("keyed.servers", id, entry.dump());
  }

  /// Starts the first machines and waits until they are ready and share the partitions.
  bool start(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      nodes[index]->start();
    }
    for (int tries = 0; tries < 200; ++tries) {
      sleep_ms(100);
      bool ready = true;
      for (std::size_t index = 0; index < count; ++index) {
        ready = ready && nodes[index]->ready();
      }
      if (ready && store->holders().size() == count) {
        sleep_ms(3000);
        return true;
      }
    }
    return false;
  }

  bool start() { return start(nodes.size()); }

  void remove_folder() const { std::filesystem::remove_all(folder_); }

  std::vector<int> ports;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Node>> nodes;

 private:
  std::string folder_;
};

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Runs a case with a number of machines, ends their processes, and ends without waiting for the
/// threads of the stand-ins.
inline int run_case(int argc, char** argv, int nodes,
                    const std::function<int(Record&, Deployment&)>& run) {
  signal(SIGPIPE, SIG_IGN);
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  Deployment deployment(nodes);
  const int result = run(record, deployment);
  for (const auto& node : deployment.nodes) {
    node->kill_now();
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    deployment.remove_folder();
  }
  std::fflush(nullptr);
  std::_Exit(result);
}

}  // namespace review
