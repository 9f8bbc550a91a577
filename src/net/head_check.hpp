#pragma once

#include <optional>

#include "net/http_message.hpp"

/// Rules of HTTP for the head of a response, for what is read and for what is written (RFC 9110,
/// RFC 9112).
namespace dockpoint::net {

/// Why a response head is malformed.
enum class HeadFault {
  kSyntax,          ///< A line that is not HTTP, or framing that contradicts itself.
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

}  // namespace dockpoint::net
