#include "http/answer_body.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "http/engine_stream.hpp"
#include "http/http_server.hpp"
#include "http/http_session.hpp"
#include "support/raw_replica.hpp"

using namespace dockpoint;
using dockpoint::test::AnswerEnding;
using dockpoint::test::RawReplica;

namespace {

constexpr std::uint16_t kServerPort = 28'261;
constexpr std::uint16_t kRelayPort = 28'262;
const std::string kServer = "127.0.0.1:28261";
const std::string kRelay = "127.0.0.1:28262";
const std::string kJson = R"({"choices":[{"text":"four words and more"}]})";

enum class Framing { kLength, kChunks, kLastConnectionChunks, kConnection };
constexpr std::array kFramings{Framing::kLength, Framing::kChunks, Framing::kLastConnectionChunks,
                               Framing::kConnection};

std::string as_chunk(std::string_view bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + std::string(bytes) + "\r\n";
}

std::string in_chunks(std::string_view body) {
  constexpr std::size_t kChunk = 7;
  std::string chunks;
  for (; !body.empty(); body.remove_prefix(std::min(kChunk, body.size()))) {
    chunks += as_chunk(body.substr(0, kChunk));
  }
  return chunks + as_chunk({});
}

std::string head_of(Framing framing, const std::string& type, std::size_t length) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n";
  switch (framing) {
    case Framing::kLength:
      return head + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    case Framing::kChunks:
      return head + "Transfer-Encoding: chunked\r\n\r\n";
    case Framing::kLastConnectionChunks:
      return head + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    case Framing::kConnection:
      return head + "Connection: close\r\n\r\n";
  }
  return {};
}

bool is_chunked(Framing framing) {
  return framing == Framing::kChunks || framing == Framing::kLastConnectionChunks;
}

struct RawAnswer {
  std::string head;
  std::string body;
};

RawAnswer raw_answer(Framing framing, const std::string& type, const std::string& body) {
  return {head_of(framing, type, body.size()), is_chunked(framing) ? in_chunks(body) : body};
}

/// A server that answers each request with the given bytes and closes the connection, or keeps it.
class Server {
 public:
  Server()
      : replica_(loop_, "server", kServerPort,
                 [this](const std::string&) {
                   const std::lock_guard<std::mutex> lock(mutex_);
                   return answer_;
                 }),
        thread_([this] { loop_.run(); }) {}
  ~Server() {
    loop_.stop();
    thread_.join();
  }

  void answer_with(std::string bytes, AnswerEnding ending) {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer_ = {std::move(bytes), ending};
  }

 private:
  std::mutex mutex_;
  RawReplica::Answer answer_;
  boost::asio::io_context loop_;
  RawReplica replica_;
  std::thread thread_;
};

HttpExchange request_to(const std::string& address) {
  HttpExchange request;
  request.address = address;
  request.method = "POST";
  request.path = "/";
  return request;
}

/// What a caller gets that reads until the connection ends.
std::string read_to_end(const std::string& address) {
  Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  std::string received;
  std::array<char, 4'096> buffer{};
  for (int count = 1; count > 0;) {
    count = socket.receiveBytes(buffer.data(), buffer.size());
    received.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_body)

BOOST_AUTO_TEST_CASE(a_body_is_answered_only_if_it_arrived_whole) {
  Server server;
  HttpSessionPool sessions(std::chrono::seconds(5));
  for (const Framing framing : kFramings) {
    const RawAnswer answer = raw_answer(framing, "application/json", kJson);
    for (std::size_t sent = 0; sent < answer.body.size(); ++sent) {
      server.answer_with(answer.head + answer.body.substr(0, sent), AnswerEnding::kCloses);
      const HttpOutcome outcome = exchange(sessions, request_to(kServer));
      // Without the last chunk, a document that is whole stays whole.
      if (outcome.answer) {
        BOOST_TEST((framing == Framing::kLastConnectionChunks));
        BOOST_TEST(outcome.answer->body == kJson);
      }
      BOOST_TEST((outcome.answer || outcome.failure.sent));
    }
    const bool closes =
        framing == Framing::kLastConnectionChunks || framing == Framing::kConnection;
    server.answer_with(answer.head + answer.body,
                       closes ? AnswerEnding::kCloses : AnswerEnding::kKeepsOpen);
    const HttpOutcome outcome = exchange(sessions, request_to(kServer));
    BOOST_REQUIRE(outcome.answer.has_value());
    BOOST_TEST(outcome.answer->body == kJson);
  }
}

BOOST_AUTO_TEST_CASE(a_stream_passes_whole_events_on_and_ends_with_its_last) {
  Server server;
  HttpSessionPool sessions(std::chrono::seconds(5));
  const std::vector<std::string> events{R"({"n":1})", R"({"n":22})", R"({"n":333})", "[DONE]"};
  std::string body;
  for (const std::string& event : events) {
    body += "data: " + event + "\n\n";
  }
  for (const Framing framing : kFramings) {
    const RawAnswer answer = raw_answer(framing, "text/event-stream", body);
    for (std::size_t sent = 0; sent <= answer.body.size(); ++sent) {
      server.answer_with(answer.head + answer.body.substr(0, sent), AnswerEnding::kCloses);
      EngineStream stream(sessions, kServer);
      BOOST_REQUIRE((stream.open(request_to(kServer), "r1") == EngineStream::Status::kOk));
      std::size_t received = 0;
      EngineStream::Status status = EngineStream::Status::kOk;
      for (std::string data; status == EngineStream::Status::kOk;) {
        status = stream.next(data);
        if (status != EngineStream::Status::kBroken) {
          BOOST_REQUIRE(received < events.size());
          BOOST_TEST(data == events[received]);
          ++received;
        }
      }
      BOOST_TEST((status == EngineStream::Status::kEnd) == (received == events.size()));
    }
    BOOST_TEST(!answer.body.empty());
  }
}

BOOST_AUTO_TEST_CASE(a_relayed_body_ends_with_a_last_chunk_only_if_it_arrived_whole) {
  Server server;
  HttpSessionPool sessions(std::chrono::seconds(5));
  HttpServer relay({kRelay, 4, 4}, [&](auto& request, auto& response) {
    HttpSessionPool::Session session = sessions.acquire(kServer);
    Poco::Net::HTTPRequest head("GET", "/", Poco::Net::HTTPMessage::HTTP_1_1);
    head.setContentLength(0);
    session->sendRequest(head);
    Poco::Net::HTTPResponse answer;
    std::istream& in = session->receiveResponse(answer);
    relay_body(*session, answer, in, request, response);
  });
  relay.start();
  const std::string last_chunk = "\r\n0\r\n\r\n";
  for (const Framing framing : {Framing::kLength, Framing::kChunks}) {
    const RawAnswer answer = raw_answer(framing, "application/jsonl", kJson);
    for (std::size_t sent = 0; sent < answer.body.size(); ++sent) {
      server.answer_with(answer.head + answer.body.substr(0, sent), AnswerEnding::kCloses);
      BOOST_TEST(!read_to_end(kRelay).ends_with(last_chunk));
    }
    server.answer_with(answer.head + answer.body, AnswerEnding::kKeepsOpen);
    const std::string received = read_to_end(kRelay);
    BOOST_TEST(received.ends_with(last_chunk));
    BOOST_TEST(received.find(kJson) != std::string::npos);
  }
  relay.stop();
}

BOOST_AUTO_TEST_SUITE_END()
