#include "http/peer_requests.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <spdlog/spdlog.h>

#include <future>

#include "dockpoint/core/address.hpp"
#include "http/answer_body.hpp"
#include "http/http_server.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kForwardTimeout{10'000};
constexpr std::chrono::milliseconds kAttemptRecordTimeout{3'000};
constexpr int kMaximumForwards = 2;

int forward_count(const Poco::Net::HTTPServerRequest& request) {
  return std::atoi(request.get(kForwardedHeader, "0").c_str());
}

std::string attempt_path(const AttemptTicket& ticket) {
  return "/peer/v1/attempts/" + ticket.key + "?token=" + ticket.token;
}

Error owner_unknown_error() {
  return Error{ResultCode::kNotOwner,
               "the owner of this object is not known at the moment",
               {},
               RunState::kNotRun,
               std::chrono::seconds(1)};
}

}  // namespace

PeerRequests::PeerRequests(ControlLoop& control) : control_(control), sessions_(kForwardTimeout) {}

bool PeerRequests::forward(int partition, const std::string& body,
                           Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) {
  const OwnerHint owner = control_.call([partition](NodeController& controller, TimePoint) {
    return controller.owner_of(partition);
  });
  if (owner.is_self) {
    return false;
  }
  const int forwards = forward_count(request);
  if (owner.api_address.empty() || forwards >= kMaximumForwards) {
    send_error(response, owner_unknown_error());
    return true;
  }
  bool sent = false;
  HttpSessionPool::Session session = sessions_.acquire(owner.api_address);
  try {
    Poco::Net::HTTPRequest head(request.getMethod(), request.getURI(),
                                Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : request) {
      if (name != "Host" && name != "Content-Length" && name != "Connection" &&
          name != "Transfer-Encoding" && name != "Expect") {
        head.set(name, value);
      }
    }
    head.setKeepAlive(true);
    head.set(kForwardedHeader, std::to_string(forwards + 1));
    head.setContentLength(static_cast<std::streamsize>(body.size()));
    std::ostream& out = session->sendRequest(head);
    sent = true;
    out << body << std::flush;
    Poco::Net::HTTPResponse answer;
    std::istream& in = session->receiveResponse(answer);
    response.setStatusAndReason(answer.getStatus());
    response.setContentType(answer.getContentType());
    if (answer.has("Retry-After")) {
      response.set("Retry-After", answer.get("Retry-After"));
    }
    if (relay_body(*session, answer, in, request, response)) {
      sessions_.release(owner.api_address, std::move(session));
    } else {
      spdlog::warn("http: The answer of another node broke off; node={} path={}", owner.api_address,
                   request.getURI());
    }
  } catch (const Poco::Exception& exception) {
    if (response.sent()) {
      throw;  // `relay_body` has closed the caller's connection.
    }
    send_error(response, Error{ResultCode::kPeerUnreachable,
                               "the node that owns this object did not answer",
                               {},
                               sent ? RunState::kUnknown : RunState::kNotRun,
                               std::chrono::seconds(1)});
  }
  return true;
}

OwnerHint PeerRequests::owner_of_key(const std::string& key) {
  return control_.call([&key](NodeController& controller, TimePoint) {
    const int partitions = controller.configuration().config()->partitions;
    return controller.owner_of(partition_of(key, partitions));
  });
}

Result<void> PeerRequests::record_online_attempt(const AttemptTicket& ticket) {
  const OwnerHint owner = owner_of_key(ticket.key);
  if (owner.is_self) {
    return record_locally(ticket);
  }
  if (owner.api_address.empty()) {
    return fail(owner_unknown_error());
  }
  HttpExchange request;
  request.address = owner.api_address;
  request.method = "POST";
  request.path = attempt_path(ticket);
  request.timeout = kForwardTimeout;
  const HttpOutcome outcome = exchange(sessions_, request);
  if (!outcome.answer) {
    withdraw_online_attempt(ticket);
    return fail(Error{ResultCode::kPeerUnreachable,
                      "the attempt could not be written down",
                      {},
                      RunState::kNotRun,
                      std::chrono::seconds(1)});
  }
  if (outcome.answer->status == describe(ResultCode::kAlreadyAttempted).http_status) {
    return fail(Error{ResultCode::kAlreadyAttempted,
                      "a request was already sent under this idempotency key",
                      {},
                      RunState::kUnknown,
                      {}});
  }
  if (outcome.answer->status != Poco::Net::HTTPResponse::HTTP_OK) {
    return fail(owner_unknown_error());
  }
  return {};
}

Result<void> PeerRequests::record_locally(const AttemptTicket& ticket) {
  auto verdict = std::make_shared<std::promise<RecordVerdict>>();
  std::future<RecordVerdict> confirmed = verdict->get_future();
  const std::optional<Error> refused =
      control_.call([&](NodeController& controller, TimePoint now) {
        return controller.record_online_attempt(
            ticket, now, [verdict](RecordVerdict value) { verdict->set_value(value); });
      });
  if (refused) {
    return fail(*refused);
  }
  if (confirmed.wait_for(kAttemptRecordTimeout) != std::future_status::ready) {
    // The record may still be appended; the withdrawal is appended after it.
    control_.post([ticket](NodeController& controller, TimePoint now) {
      controller.withdraw_online_attempt(ticket, now);
    });
    return fail(Error{ResultCode::kPlatformUnavailable,
                      "the attempt could not be written down",
                      {},
                      RunState::kNotRun,
                      std::chrono::seconds(2)});
  }
  switch (confirmed.get()) {
    case RecordVerdict::kApplied:
      return {};
    case RecordVerdict::kRepeated:
      return fail(Error{ResultCode::kAlreadyAttempted,
                        "a request was already sent under this idempotency key",
                        {},
                        RunState::kUnknown,
                        {}});
    case RecordVerdict::kStaleEpoch:
    case RecordVerdict::kUnknownJob:
      break;
  }
  return fail(owner_unknown_error());
}

void PeerRequests::withdraw_online_attempt(const AttemptTicket& ticket) {
  const bool done = control_.call([&ticket](NodeController& controller, TimePoint now) {
    return controller.withdraw_online_attempt(ticket, now);
  });
  const OwnerHint owner = owner_of_key(ticket.key);
  if (done || owner.api_address.empty()) {
    return;
  }
  HttpExchange request;
  request.address = owner.api_address;
  request.method = "DELETE";
  request.path = attempt_path(ticket);
  request.timeout = kForwardTimeout;
  exchange(sessions_, request);
}

void PeerRequests::serve_attempt(const AttemptTicket& ticket, Poco::Net::HTTPServerRequest& request,
                                 Poco::Net::HTTPServerResponse& response) {
  if (request.getMethod() == "DELETE") {
    control_.call([&ticket](NodeController& controller, TimePoint now) {
      return controller.withdraw_online_attempt(ticket, now);
    });
    send_json(response, Poco::Net::HTTPResponse::HTTP_OK, "{}");
    return;
  }
  const std::optional<Error> error = error_of([&] { return record_locally(ticket); });
  error ? send_error(response, *error)
        : send_json(response, Poco::Net::HTTPResponse::HTTP_OK, "{}");
}

std::vector<std::string> PeerRequests::query_peers(const std::string& path,
                                                   const Headers& headers) {
  const std::vector<std::string> addresses =
      control_.call([](NodeController& controller, TimePoint) {
        std::vector<std::string> others;
        for (const Member* member : controller.membership().alive()) {
          if (member->id != controller.membership().self().id) {
            others.push_back(member->api_address);
          }
        }
        return others;
      });
  std::vector<std::string> bodies;
  for (const std::string& address : addresses) {
    HttpExchange request;
    request.address = address;
    request.path = path;
    request.headers = headers;
    request.headers.emplace_back(kForwardedHeader, "1");
    HttpOutcome outcome = exchange(sessions_, request);
    if (outcome.answer && outcome.answer->status == Poco::Net::HTTPResponse::HTTP_OK) {
      bodies.push_back(std::move(outcome.answer->body));
    }
  }
  return bodies;
}

}  // namespace dockpoint
