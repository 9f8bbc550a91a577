#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gateway/gateway_context.hpp"

/// Checks whether the process that ran a request still runs.
///
/// When a process ends, its machine closes its connections in good order, and another process may
/// accept connections at its address a moment later. So a listener at the address proves nothing.
/// A process that still holds a connection of before the request does, as does one that confirms
/// its name. A service without health checks can only be probed for a listener.
namespace dockpoint {

enum class ProcessState {
  kRuns,     ///< It holds a connection, confirms its name or, without health checks, listens.
  kEnded,    ///< No process, or another one, serves at its address.
  kUnknown,  ///< It did not respond in time, or did not state its name.
};

const char* to_string(ProcessState state);

/// A replica's process as the sender of a request knows it.
struct ReplicaProcess {
  net::Endpoint endpoint;  ///< Of its connections for requests.
  std::string name;        ///< Registered name.
  std::string service;
  /// Newest connection of the client that may have been made to this process and no later one.
  net::ConnectionNumber newest_connection = 0;
};

/// @return the process that serves under the record now.
ReplicaProcess process_of(const ReplicaRecord& replica, const net::HttpClient& client);

/// @param observation time for which a connection must stay open: a process that is ending may
/// close its connections one after the other.
/// @param owner of the check: it borrows the context only while its owner exists.
/// @param done called once from the event loop, unless the owner is gone.
void check_process(GatewayContext& context, const ReplicaProcess& process, Duration observation,
                   std::weak_ptr<void> owner, std::function<void(ProcessState)> done);

}  // namespace dockpoint
