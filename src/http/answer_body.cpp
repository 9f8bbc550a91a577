#include "http/answer_body.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace dockpoint {
namespace {

/// Bodies up to this size are read even if others have used up the budget, in bytes.
constexpr std::size_t kSmallBodyBytes = 64 * 1024;

/// Makes room for a body of `needed` bytes. @return whether it may have as many.
bool make_room(std::string& body, std::size_t needed, std::size_t limit,
               BodyReservation& reservation) {
  if (needed > limit) {
    return false;
  }
  if (needed <= body.capacity()) {
    return true;
  }
  const std::size_t capacity = std::max(needed, std::min(limit, 2 * body.capacity()));
  if (!reservation.grow_to(capacity) && needed > kSmallBodyBytes) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

/// Whether the peer closed the connection or sent bytes after its response.
bool ended_by_peer(Poco::Net::HTTPClientSession& session) {
  return session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

/// Closes the caller's connection. Poco would end the body with a last chunk otherwise.
void close_connection(Poco::Net::HTTPServerRequest& request) {
  auto* received = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
  poco_check_ptr(received);
  received->socket().shutdown();
}

}  // namespace

BodyEnd judge_body_end(Poco::Net::HTTPClientSession& session,
                       const Poco::Net::HTTPResponse& response, std::uint64_t received_bytes) {
  if (response.hasContentLength()) {
    const bool reached =
        std::cmp_equal(static_cast<std::int64_t>(response.getContentLength64()), received_bytes);
    return reached ? BodyEnd::kComplete : BodyEnd::kBroken;
  }
  // A connection that was to be kept outlasts the last chunk.
  if (!response.getChunkedTransferEncoding() || !response.getKeepAlive()) {
    return BodyEnd::kUnframed;
  }
  return ended_by_peer(session) ? BodyEnd::kBroken : BodyEnd::kComplete;
}

std::optional<std::string> read_whole_body(Poco::Net::HTTPClientSession& session,
                                           const Poco::Net::HTTPResponse& answer, std::istream& in,
                                           std::size_t limit, BodyReservation& reservation) {
  std::string body;
  std::array<char, 16 * 1024> buffer{};
  while (in) {
    in.read(buffer.data(), buffer.size());
    const auto count = static_cast<std::size_t>(in.gcount());
    if (!make_room(body, body.size() + count, limit, reservation)) {
      return std::nullopt;
    }
    body.append(buffer.data(), count);
  }
  if (in.bad()) {
    return std::nullopt;
  }
  const BodyEnd end = judge_body_end(session, answer, body.size());
  const bool whole =
      end == BodyEnd::kComplete || (end == BodyEnd::kUnframed && nlohmann::json::accept(body));
  return whole ? std::optional(std::move(body)) : std::nullopt;
}

bool relay_body(Poco::Net::HTTPClientSession& session, const Poco::Net::HTTPResponse& answer,
                std::istream& in, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response) {
  response.setChunkedTransferEncoding(true);
  std::ostream& caller = response.send();
  bool whole = false;
  try {
    const auto received = Poco::StreamCopier::copyStream64(in, caller);
    caller.flush();
    whole = !in.bad() && judge_body_end(session, answer, received) == BodyEnd::kComplete;
  } catch (const Poco::Exception&) {
    close_connection(request);
    throw;
  }
  if (!whole) {
    close_connection(request);
  }
  return whole;
}

}  // namespace dockpoint
