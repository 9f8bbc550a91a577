#pragma once

#include "http/http_session.hpp"
#include "log/log_client.hpp"

namespace dockpoint {

/// Log client for a service with an HTTP interface:
/// - `POST /streams/NAME` with a msgpack array of byte strings appends them and answers the msgpack
/// of the first offset.
/// - `GET /streams/NAME?from=N&limit=N&wait_ms=N` answers the msgpack array `[first, records,
/// end]`.
class HttpLogClient : public LogClient {
 public:
  /// @param address `IP:port` of the service.
  explicit HttpLogClient(std::string address);

  Result<std::uint64_t> append(const std::string& stream,
                               const std::vector<std::string>& records) override;
  Result<LogPage> read(const std::string& stream, std::uint64_t from, std::size_t limit,
                       std::chrono::milliseconds wait) override;

 private:
  const std::string address_;
  HttpSessionPool sessions_;
};

}  // namespace dockpoint
