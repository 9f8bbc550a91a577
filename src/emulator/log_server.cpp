#include "emulator/log_server.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>

#include <charconv>
#include <thread>

#include "dockpoint/core/codec.hpp"
#include "log/log_wire.hpp"

namespace dockpoint::emulator {
namespace {

constexpr std::size_t kMaximumAppendBytes = 64 * 1024 * 1024;
constexpr std::uint64_t kMaximumWaitMs = 30'000;

std::uint64_t number_parameter(const std::string& uri, const std::string& name,
                               std::uint64_t fallback) {
  const std::string text = query_parameter(uri, name);
  std::uint64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

LogServer::LogServer(const std::string& address)
    : faults_({"down", "slow_ms", "lose_answer_percent"}),
      server_({address}, [this](auto& request, auto& response) { handle(request, response); }) {}

void LogServer::handle(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) {
  const std::string path = path_of(request.getURI());
  if (path == "/admin/faults") {
    const std::string body = with_error([&] { return read_request_body(request, 4096); },
                                        [](const Error&) { return std::string(); });
    const std::optional<Error> error = error_of([&] { return faults_.update(body); });
    error ? send_error(response, *error) : send_json(response, 200, "{}");
    return;
  }
  std::string stream;
  if (!split_prefix(path, "/streams/", stream) || stream.empty()) {
    send_error(response, Error{ResultCode::kNotFound, "no such path", path});
    return;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(faults_.value("slow_ms")));
  if (faults_.value("down") != 0) {
    send_error(response, Error{ResultCode::kPlatformUnavailable, "the log is down"});
    return;
  }
  if (request.getMethod() == "POST") {
    append(stream, request, response);
  } else {
    read(stream, request.getURI(), response);
  }
}

void LogServer::append(const std::string& stream, Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) {
  const std::string body =
      with_error([&] { return read_request_body(request, kMaximumAppendBytes); },
                 [](const Error&) { return std::string(); });
  const auto records = unpack<std::vector<std::string>>(body);
  if (!records) {
    send_error(response, Error{ResultCode::kMalformedBody, "an array of records is expected"});
    return;
  }
  const std::uint64_t first = store_.append(stream, *records);
  if (faults_.triggers("lose_answer_percent")) {
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
    return;
  }
  send_bytes(response, "application/msgpack", pack(first));
}

void LogServer::read(const std::string& stream, const std::string& uri,
                     Poco::Net::HTTPServerResponse& response) {
  const std::uint64_t from = number_parameter(uri, "from", 0);
  const std::uint64_t limit = number_parameter(uri, "limit", 1000);
  const std::uint64_t wait = std::min(number_parameter(uri, "wait_ms", 0), kMaximumWaitMs);
  const LogPage page = store_.read(stream, from, limit, std::chrono::milliseconds(wait));
  send_bytes(response, "application/msgpack",
             pack(LogPageWire{page.first, page.records, page.end}));
}

}  // namespace dockpoint::emulator
