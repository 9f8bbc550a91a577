#include "gateway/http_record_transport.hpp"

#include <spdlog/spdlog.h>
#include <boost/asio/post.hpp>

#include <utility>

#include "dockpoint/core/address.hpp"

namespace dockpoint {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

RecordReply reply_of(const net::SimpleCall::Outcome& outcome, const std::string& address) {
  RecordReply reply;
  if (outcome.failure) {
    return reply;
  }
  if (outcome.head.status != kOk) {
    reply.refused = true;
    return reply;
  }
  reply.answer = unpack<RecordAnswer>(outcome.body);
  if (!reply.answer) {
    spdlog::warn("fleet: malformed records received from node={} bytes={}", address,
                 outcome.body.size());
  }
  return reply;
}

}  // namespace

void HttpRecordTransport::ask(const std::string& address, const RecordQuestion& question,
                              Duration limit, std::function<void(RecordReply)> done) {
  const std::optional<Address> parsed = Address::parse(address);
  if (!parsed) {
    spdlog::warn("fleet: malformed address of a record source address={}", address);
    boost::asio::post(loop_, [done = std::move(done)] { done({}); });
    return;
  }
  const net::RequestHead head{"GET", record_target(question), {{"Host", address}}};
  net::SimpleCall::start(
      client_, loop_, {*parsed, "control"}, net::serialize(head), {}, limit,
      [address, done = std::move(done)](const net::SimpleCall::Outcome& outcome) {
        done(reply_of(outcome, address));
      });
}

void serve_records(RecordServer& server, const net::ExchangePtr& exchange) {
  const auto question = read_record_target(exchange->request().target);
  if (!question) {
    spdlog::warn("fleet: malformed record request target={}", exchange->request().target);
    exchange->respond(kBadRequest, {}, {});
    return;
  }
  server.serve(
      *question, exchange->received(), [exchange](const std::optional<RecordAnswer>& answer) {
        if (answer) {
          exchange->respond(kOk, {{"Content-Type", "application/msgpack"}}, pack(*answer));
        } else {
          exchange->respond(kUnavailable, {}, {});  // Another source, or the log, is asked.
        }
      });
}

}  // namespace dockpoint
