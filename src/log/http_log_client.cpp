#include "log/http_log_client.hpp"

#include "dockpoint/core/codec.hpp"
#include "log/log_wire.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kLogCallTimeout{3000};

boost::leaf::error_id unavailable(const HttpOutcome& outcome) {
  const std::string reason =
      outcome.answer ? "status " + std::to_string(outcome.answer->status) : outcome.failure.reason;
  return fail(ResultCode::kPlatformUnavailable, "the log did not answer: " + reason);
}

}  // namespace

HttpLogClient::HttpLogClient(std::string address)
    : address_(std::move(address)), sessions_(kLogCallTimeout) {}

Result<std::uint64_t> HttpLogClient::append(const std::string& stream,
                                            const std::vector<std::string>& records) {
  HttpExchange request;
  request.address = address_;
  request.method = "POST";
  request.path = "/streams/" + stream;
  request.body = pack(records);
  request.content_type = "application/msgpack";
  request.timeout = kLogCallTimeout;
  const HttpOutcome outcome = exchange(sessions_, request);
  if (!outcome.answer || outcome.answer->status != 200) {
    return unavailable(outcome);
  }
  const auto offset = unpack<std::uint64_t>(outcome.answer->body);
  if (!offset) {
    return fail(ResultCode::kPlatformUnavailable, "the log's answer cannot be read");
  }
  return *offset;
}

Result<LogPage> HttpLogClient::read(const std::string& stream, std::uint64_t from,
                                    std::size_t limit, std::chrono::milliseconds wait) {
  HttpExchange request;
  request.address = address_;
  request.path = "/streams/" + stream + "?from=" + std::to_string(from) +
                 "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait.count());
  request.timeout = kLogCallTimeout + wait;
  const HttpOutcome outcome = exchange(sessions_, request);
  if (!outcome.answer || outcome.answer->status != 200) {
    return unavailable(outcome);
  }
  auto page = unpack<LogPageWire>(outcome.answer->body);
  if (!page) {
    return fail(ResultCode::kPlatformUnavailable, "the log's answer cannot be read");
  }
  return LogPage{page->first, std::move(page->records), page->end};
}

}  // namespace dockpoint
