#pragma once

#include <optional>

#include "net/http_message.hpp"

/// Rules of HTTP for the heads of messages (RFC 9110, RFC 9112): of responses that are read or
/// written, and of requests that are made from what a caller has stated.
namespace dockpoint::net {

/// Why a head is malformed.
enum class HeadFault {
  kSyntax,          ///< A line that is not HTTP, or framing that contradicts itself.
  kTarget,          ///< A request target that does not begin with a slash, or has a blank or a
                    ///< control byte.
  kSize,            ///< The head exceeds its limit.
  kStatus,          ///< Outside 100 to 599, or a change of protocol that was not asked for.
  kReason,          ///< A control byte in the reason phrase.
  kField,           ///< A name that is no token, or a control byte in a value.
  kTransferCoding,  ///< A transfer coding other than a single `chunked`.
};

/// @return the name of a fault, for logs and metrics.
const char* to_string(HeadFault fault);

/// @return the first fault of a head, or nothing.
std::optional<HeadFault> find_fault(const ResponseHead& head);

/// @return the first fault of a request's head, or nothing: its bytes are then read back as one
/// request.
std::optional<HeadFault> find_fault(const RequestHead& head);

}  // namespace dockpoint::net
