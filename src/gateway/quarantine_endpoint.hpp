#pragma once

#include "gateway/crash_watch.hpp"
#include "net/http_server.hpp"

namespace dockpoint {

/// Path of the operators' endpoint for quarantined requests, on the control address.
inline constexpr const char* kQuarantinePath = "/quarantine";

/// Serves a call to `kQuarantinePath`: `GET` lists the requests that are quarantined or cleared,
/// `DELETE /quarantine/FINGERPRINT` clears one at all nodes.
/// @param path of the call. @return whether the path belongs to this endpoint.
bool serve_quarantine(CrashWatch& watch, const net::ExchangePtr& exchange, const std::string& path);

}  // namespace dockpoint
