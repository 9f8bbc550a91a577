#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <istream>
#include <optional>
#include <string>

#include "http/body_budget.hpp"

/// Bodies of HTTP answers, and whether they arrived whole. Poco ends a body with its connection,
/// however the answer was framed.
namespace dockpoint {

/// What marked the end of a body.
enum class BodyEnd {
  kComplete,  ///< Its length was reached, or its last chunk came.
  kBroken,    ///< The connection ended before it.
  kUnframed,  ///< Nothing but the end of the connection.
};

/// @param session whose response was read to its end.
/// @param received_bytes size of the body that was read.
BodyEnd judge_body_end(Poco::Net::HTTPClientSession& session,
                       const Poco::Net::HTTPResponse& response, std::uint64_t received_bytes);

/// Reads a body to its end. An unframed body is whole if it is a JSON document.
/// @param reservation grows with the body; its owner keeps it as long as the body.
/// @return the body; nothing if it is longer than `limit` bytes, finds no room or was broken off.
std::optional<std::string> read_whole_body(Poco::Net::HTTPClientSession& session,
                                           const Poco::Net::HTTPResponse& answer, std::istream& in,
                                           std::size_t limit, BodyReservation& reservation);

/// Passes a body on as it arrives, in chunks. Unless it arrived whole, the connection to the caller
/// is closed without a last chunk.
/// @param request of the caller. @param response its answer, with the head set.
/// @return whether the body arrived whole.
bool relay_body(Poco::Net::HTTPClientSession& session, const Poco::Net::HTTPResponse& answer,
                std::istream& in, Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response);

}  // namespace dockpoint
