#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "http/http_session.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {

/// Counts how often a request was passed on between nodes.
inline constexpr const char* kForwardedHeader = "x-dockpoint-forwarded";

/// Requests that concern a partition go to its owner: served here, or passed on.
class PeerRequests {
 public:
  explicit PeerRequests(ControlLoop& control);

  /// Passes the request on to the owner of `partition` if that is another node, and the answer
  /// back. @return false if this node should serve it.
  bool forward(int partition, const std::string& body, Poco::Net::HTTPServerRequest& request,
               Poco::Net::HTTPServerResponse& response);

  /// Writes down, with the owner of the key, that a request which must run at most once is about
  /// to be sent. Fails if one was sent before under the key, or if that is not certain.
  Result<void> record_online_attempt(const AttemptTicket& ticket);

  /// Frees the key of a request that certainly did not run.
  void withdraw_online_attempt(const AttemptTicket& ticket);

  /// Serves `POST` and `DELETE` of `/peer/v1/attempts/KEY?token=TOKEN`.
  void serve_attempt(const AttemptTicket& ticket, Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);

  using Headers = std::vector<std::pair<std::string, std::string>>;

  /// Asks every other live node for `path`. @return the bodies of the successful answers.
  std::vector<std::string> ask_all(const std::string& path, const Headers& headers);

 private:
  Result<void> record_here(const AttemptTicket& ticket);
  OwnerHint owner_of_key(const std::string& key);

  ControlLoop& control_;
  HttpSessionPool sessions_;
};

}  // namespace dockpoint
