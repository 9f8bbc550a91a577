#pragma once

#include <Poco/Base64Encoder.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "emulator/memory_log.hpp"
#include "net/clock.hpp"
#include "net/http_server.hpp"

/// Test server that implements the platform store's published protocol on top of `MemoryLog`.
namespace dockpoint::test {

class StandInStore {
 public:
  StandInStore(boost::asio::io_context& loop, std::uint16_t port, int partitions)
      : log({partitions, 256 * 1024, 2 * 1024 * 1024, std::chrono::seconds(1)}, 3),
        server_(loop, [this](const net::ExchangePtr& exchange) { serve(exchange); }) {
    server_.listen("127.0.0.1:" + std::to_string(port));
  }

  /// Sends the answers that are due.
  void tick() { log.advance(net::steady_now()); }

  /// Appends a record to partition 0 of `topic`, as the operator or a replica does.
  void put(const std::string& topic, const std::string& key, const std::string& value) {
    log.append({topic, 0}, {{key, value, 0}}, std::nullopt, [](const AppendOutcome&) {});
  }

  MemoryLog log;

 private:
  using Json = nlohmann::json;

  /// A read without an answer is dropped after this time, when its caller has long timed out.
  static constexpr Duration kAnswerLimit = std::chrono::seconds(1);

  static std::string number_bytes(std::uint64_t number, int bytes) {
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
      text += static_cast<char>((number >> shift) & 0xff);
    }
    return text;
  }

  static std::string record_bytes(const KeyedRecord& record) {
    return number_bytes(1 + record.key.size() + record.value.size(), 4) +
           static_cast<char>(record.key.size()) + record.key + record.value;
  }

  static std::vector<KeyedRecord> read_records(std::string_view bytes) {
    std::vector<KeyedRecord> records;
    while (bytes.size() >= 4) {
      std::size_t length = 0;
      for (int index = 0; index < 4; ++index) {
        length = (length << 8) | static_cast<unsigned char>(bytes[index]);
      }
      const std::string_view content = bytes.substr(4, length);
      const std::size_t key = static_cast<unsigned char>(content[0]);
      records.push_back(
          {std::string(content.substr(1, key)), std::string(content.substr(1 + key)), 0});
      bytes.remove_prefix(4 + length);
    }
    return records;
  }

  static std::string encode_base64(const std::string& bytes) {
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
  }

  static void reply(const net::ExchangePtr& exchange, int status, const Json& body) {
    exchange->respond(status, {{"Content-Type", "application/json"}}, body.dump());
  }

  /// Answers a refused call with 503.
  /// @return whether the call needs no further answer: it was refused, or its outcome is unknown.
  static bool refused(const net::ExchangePtr& exchange, LogStatus status) {
    if (status == LogStatus::kRefused) {
      reply(exchange, 503, Json::object());
      return true;
    }
    return status == LogStatus::kUnknown;  // The client gets no answer.
  }

  void serve(const net::ExchangePtr& exchange) {
    const net::Target target = net::Target::parse(exchange->request().target);
    const auto text = [&](const char* name) { return target.parameter(name).value_or(""); };
    const TopicPartition partition{text("topic"), std::atoi(text("part").c_str())};
    if (target.path == "/v1/log-append") {
      append(exchange, target, partition);
    } else if (target.path == "/v1/log-read") {
      const LogOffset from = std::strtoull(text("rangeStart").c_str(), nullptr, 10);
      const Duration wait = std::chrono::milliseconds(std::atoi(text("waitMs").c_str()));
      log.read(partition, from, {wait, kAnswerLimit}, [exchange](const ReadOutcome& outcome) {
        if (refused(exchange, outcome.status)) {
          return;
        }
        if (outcome.status == LogStatus::kCompacted) {
          reply(exchange, 410, {{"first", outcome.end}});
          return;
        }
        std::string bytes = number_bytes(outcome.end, 8) + number_bytes(0, 8);
        for (const KeyedRecord& record : outcome.records) {
          bytes += record_bytes(record);
        }
        exchange->respond(200, {}, bytes);
      });
    } else if (target.path == "/v1/log-newest") {
      log.newest(partition, text("sinceRevision"), [exchange](const NewestOutcome& outcome) {
        if (refused(exchange, outcome.status)) {
          return;
        }
        Json records = Json::array();
        for (const KeyedRecord& record : outcome.records) {
          records.push_back({{"key", record.key},
                             {"value", encode_base64(record.value)},
                             {"offset", record.offset}});
        }
        reply(exchange, 200,
              {{"requests", records}, {"hasMore", outcome.more}, {"end", outcome.end}});
      });
    } else if (target.path == "/v1/log-owners") {
      log.owners(text("group"), [exchange](const OwnersOutcome& outcome) {
        Json rows = Json::array();
        for (const auto& row : outcome.rows) {
          rows.push_back({row.partition.topic, row.partition.partition, row.member, 0});
        }
        reply(exchange, 200, {{"parts", rows}});
      });
    } else {
      serve_group(exchange, target.path);
    }
  }

  void append(const net::ExchangePtr& exchange, const net::Target& target,
              const TopicPartition& partition) {
    std::optional<ProducerPosition> position;
    if (const auto producer = target.parameter("producer")) {
      position = ProducerPosition{
          *producer, std::strtoull(target.parameter("epoch").value_or("0").c_str(), nullptr, 10),
          std::strtoull(target.parameter("sequence").value_or("0").c_str(), nullptr, 10)};
    }
    const auto answer = [exchange](const AppendOutcome& outcome) {
      if (refused(exchange, outcome.status)) {
        return;
      }
      if (outcome.status == LogStatus::kEndMoved) {
        reply(exchange, 412, {{"end", outcome.end}});
        return;
      }
      if (outcome.status == LogStatus::kOk) {
        reply(exchange, 200, {{"offset", outcome.first}, {"end", outcome.end}});
      } else if (outcome.status == LogStatus::kFenced) {
        reply(exchange, 409, {{"why", "fenced"}});
      } else {
        reply(exchange, 409, {{"why", "seq"}, {"sequence", outcome.due_sequence}});
      }
    };
    if (const auto end = target.parameter("timestamp")) {
      log.append_at(partition, std::strtoull(end->c_str(), nullptr, 10),
                    read_records(exchange->body()), answer);
    } else {
      log.append(partition, read_records(exchange->body()), position, answer);
    }
  }

  void serve_group(const net::ExchangePtr& exchange, const std::string& path) {
    const Json body = Json::parse(exchange->body(), nullptr, false);
    if (!body.is_object()) {
      reply(exchange, 400, Json::object());
    } else if (path == "/v1/log-join") {
      log.join(body["group"], body["member"], body["topics"],
               std::chrono::milliseconds(body["ttlMs"].get<int>()), body["generation"],
               [exchange](const JoinOutcome& outcome) {
                 if (refused(exchange, outcome.status)) {
                   return;
                 }
                 Json parts = Json::array();
                 for (const TopicPartition& partition : outcome.partitions) {
                   parts.push_back({partition.topic, partition.partition, 0});
                 }
                 reply(exchange, 200, {{"generation", outcome.generation}, {"parts", parts}});
               });
    } else if (path == "/v1/log-leave") {
      log.leave(body["group"], body["member"],
                [exchange](LogStatus) { reply(exchange, 200, Json::object()); });
    } else {
      reply(exchange, 404, Json::object());
    }
  }

  net::HttpServer server_;
};

}  // namespace dockpoint::test
