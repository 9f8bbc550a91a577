#pragma once

#include <string>
#include <vector>

#include "cli/api_client.hpp"

namespace dockpoint {

/// Options of the command line; each command reads only those that apply to it.
struct CommandOptions {
  std::string node = "127.0.0.1:8101";
  std::string tenant;
  bool json_output = false;
  std::string file;
  std::string author;
  long base_revision = -1;  ///< -1: the active revision.
  std::string key;
  std::string window = "24h";
  std::string selector;
  int priority = 0;
  bool not_repeatable = false;
  bool wait = false;
  bool errors = false;
  int count = 0;  ///< Number of changes to watch; 0: unlimited.
  std::string model;
  std::string deadline_ms;
  int maximum_tokens = 0;
};

/// Input of every command.
struct CommandContext {
  const CommandOptions& options;
  std::vector<std::string> arguments;  ///< Arguments after the command name.
  ApiClient& client;
};

/// Runs one command. @return the exit code.
int run_config_command(const std::string& action, CommandContext& context);
int run_job_command(const std::string& action, CommandContext& context);
int run_fleet_command(const std::string& object, const std::string& action,
                      CommandContext& context);
int run_request_command(CommandContext& context);

/// Prints an error to standard error. @return the exit code for a failure.
int report_failure(const std::string& message);

/// Prints the response as JSON. @return the exit code for success.
int print_json(const ApiClient::Answer& answer);

/// Sends a request. @return the response if successful; otherwise reports the error.
std::optional<ApiClient::Answer> request_or_report(CommandContext& context,
                                                   const std::string& method,
                                                   const std::string& path,
                                                   const std::string& body = {},
                                                   const ApiClient::Headers& headers = {});

/// @return the objects in the `data` array of the response.
std::vector<Poco::JSON::Object::Ptr> response_data(const ApiClient::Answer& answer);

/// @return the command's only argument; exits with a usage error if it is missing.
std::string only_argument(const CommandContext& context, const std::string& name);

}  // namespace dockpoint
