#include "http/http_session.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <istream>

#include "dockpoint/core/address.hpp"
#include "http/answer_body.hpp"
#include "http/checked_session.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kMaximumIdlePerAddress = 128;

Poco::Timespan to_timespan(std::chrono::milliseconds duration) {
  return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace

HttpSessionPool::Session HttpSessionPool::acquire(const std::string& address) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Session>& idle = idle_[address];
    while (!idle.empty()) {
      Session session = std::move(idle.back());
      idle.pop_back();
      // An idle connection that is readable has been closed by the server.
      if (!session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        return session;
      }
    }
  }
  const Address parsed = Address::parse(address).value_or(Address{"0.0.0.0", 1});
  auto session = std::make_unique<CheckedHttpSession>(parsed.host, parsed.port);
  session->setKeepAlive(true);
  session->setKeepAliveTimeout(Poco::Timespan(60, 0));
  session->setTimeout(to_timespan(timeout_));
  return session;
}

void HttpSessionPool::release(const std::string& address, Session session) {
  if (!session->connected()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Session>& idle = idle_[address];
  if (idle.size() < kMaximumIdlePerAddress) {
    idle.push_back(std::move(session));
  }
}

HttpOutcome exchange(HttpSessionPool& pool, const HttpExchange& request) {
  HttpOutcome outcome;
  HttpSessionPool::Session session = pool.acquire(request.address);
  try {
    session->setTimeout(to_timespan(request.timeout));
    Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    for (const auto& [name, value] : request.headers) {
      head.set(name, value);
    }
    if (!request.body.empty()) {
      head.setContentType(request.content_type);
    }
    head.setContentLength(static_cast<std::streamsize>(request.body.size()));
    std::ostream& out = session->sendRequest(head);
    outcome.failure.sent = true;
    out << request.body;
    out.flush();
    Poco::Net::HTTPResponse response;
    std::istream& in = session->receiveResponse(response);
    const auto reservation = std::make_shared<BodyReservation>(pool.answers());
    std::optional<std::string> body =
        read_whole_body(*session, response, in, request.maximum_answer_bytes, *reservation);
    if (!body) {
      outcome.failure.reason = "the answer is too long or broken off";
      return outcome;
    }
    outcome.answer = HttpAnswer{response.getStatus(), *std::move(body),
                                response.get("x-request-id", ""), reservation};
    if (response.getKeepAlive()) {
      pool.release(request.address, std::move(session));
    }
  } catch (const Poco::Exception& exception) {
    outcome.failure.reason = exception.displayText();
  }
  return outcome;
}

}  // namespace dockpoint
