#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "http/body_budget.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {

/// Serves the operator interface under `/admin/v1/`.
class AdminHandler {
 public:
  AdminHandler(ControlLoop& control, BodyBudget& bodies) : control_(control), bodies_(bodies) {}

  void show_configuration(Poco::Net::HTTPServerResponse& response);
  void show_history(Poco::Net::HTTPServerResponse& response);
  void apply_configuration(Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response);
  void validate_configuration(Poco::Net::HTTPServerRequest& request,
                              Poco::Net::HTTPServerResponse& response);
  void list_engines(Poco::Net::HTTPServerResponse& response);
  void list_nodes(Poco::Net::HTTPServerResponse& response);
  void list_partitions(Poco::Net::HTTPServerResponse& response);

 private:
  Result<ChangeOutcome> propose(ConfigurationChange change);

  ControlLoop& control_;
  BodyBudget& bodies_;
};

}  // namespace dockpoint
