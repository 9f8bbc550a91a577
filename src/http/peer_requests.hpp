#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "http/http_session.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {

/// Number of times that a request has been forwarded between nodes.
inline constexpr const char* kForwardedHeader = "x-dockpoint-forwarded";

/// Routes requests for a partition to its owner: serves them locally or forwards them.
class PeerRequests {
 public:
  explicit PeerRequests(ControlLoop& control);

  /// Forwards the request to the owner of `partition` if that is another node, and relays the
  /// response. @return false if this node should serve the request.
  bool forward(int partition, const std::string& body, Poco::Net::HTTPServerRequest& request,
               Poco::Net::HTTPServerResponse& response);

  /// Records with the owner of the key that an at-most-once request is about to be sent. Fails if a
  /// request was already sent under the key, or if this cannot be determined.
  Result<void> record_online_attempt(const AttemptTicket& ticket);

  /// Releases the key of a request that is known not to have run.
  void withdraw_online_attempt(const AttemptTicket& ticket);

  /// Serves `POST` and `DELETE` of `/peer/v1/attempts/KEY?token=TOKEN`.
  void serve_attempt(const AttemptTicket& ticket, Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);

  using Headers = std::vector<std::pair<std::string, std::string>>;

  /// Sends `GET path` to every other live node. @return the bodies of the successful responses.
  std::vector<std::string> query_peers(const std::string& path, const Headers& headers);

 private:
  Result<void> record_locally(const AttemptTicket& ticket);
  OwnerHint owner_of_key(const std::string& key);

  ControlLoop& control_;
  HttpSessionPool sessions_;
};

}  // namespace dockpoint
