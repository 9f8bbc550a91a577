#include "http/api_server.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "dockpoint/core/codec.hpp"
#include "dockpoint/core/json_reader.hpp"

namespace dockpoint {
namespace {

constexpr int kOkStatus = 200;
constexpr int kUnavailableStatus = 503;

/// Threads of the address for health checks.
constexpr int kHealthThreads = 4;

bool is_get(const Poco::Net::HTTPServerRequest& request) {
  return request.getMethod() == "GET";
}
bool is_post(const Poco::Net::HTTPServerRequest& request) {
  return request.getMethod() == "POST";
}

Error draining_error() {
  return Error{ResultCode::kDraining,
               "this node is stopping; use another",
               {},
               RunState::kNotRun,
               std::chrono::seconds(1)};
}

void send_method_not_allowed(Poco::Net::HTTPServerRequest& request,
                             Poco::Net::HTTPServerResponse& response) {
  send_error(response,
             Error{ResultCode::kMethodNotAllowed,
                   request.getMethod() + " is not served on this path", path_of(request.getURI())});
}

Poco::JSON::Object::Ptr model_json(const ServiceConfig& service) {
  Poco::JSON::Object::Ptr model = new Poco::JSON::Object;
  model->set("id", service.name);
  model->set("object", "model");
  model->set("created", 0);
  model->set("owned_by", "dockpoint");
  return model;
}

}  // namespace

ApiServer::ApiServer(const Options& options, const Dependencies& dependencies)
    : Part("http"),
      options_(options),
      dependencies_(dependencies),
      bodies_(options.maximum_bodies_bytes),
      peers_(dependencies.control),
      online_(dependencies.control, dependencies.online_calls, peers_, dependencies.metrics,
              options.maximum_body_bytes, bodies_),
      files_(dependencies.files, options.maximum_file_bytes),
      batches_(dependencies.control, dependencies.files, dependencies.log, peers_, bodies_),
      admin_(dependencies.control, bodies_) {}

void ApiServer::run(std::stop_token stop) {
  HttpServer server(options_.server,
                    [this](Request& request, Response& response) { handle(request, response); });
  server.start();
  const std::unique_ptr<HttpServer> health = start_health_server();
  wait_until_stopped(stop);
  server.stop();
}

std::unique_ptr<HttpServer> ApiServer::start_health_server() {
  if (options_.health_address.empty()) {
    return nullptr;
  }
  HttpServerOptions options;
  options.address = options_.health_address;
  options.threads = kHealthThreads;
  auto server = std::make_unique<HttpServer>(options, [this](Request& request, Response& response) {
    const std::string path = path_of(request.getURI());
    if (!handle_health(path, response)) {
      send_error(response, Error{ResultCode::kNotFound, "no such path: " + path, path});
    }
  });
  server->start();
  return server;
}

void ApiServer::handle(Request& request, Response& response) {
  const std::string path = path_of(request.getURI());
  if (handle_health(path, response)) {
    return;
  }
  struct Count {
    explicit Count(std::atomic<int>& counted) : counter(counted) { ++counter; }
    ~Count() { --counter; }
    std::atomic<int>& counter;
  };
  const Count count(requests_in_progress_);
  const bool handled =
      handle_online(path, request, response) || handle_files(path, request, response) ||
      handle_batches(path, request, response) || handle_admin(path, request, response) ||
      handle_peer(path, request, response);
  if (!handled) {
    send_error(response, Error{ResultCode::kNotFound, "no such path: " + path, path});
  }
}

bool ApiServer::handle_health(const std::string& path, Response& response) {
  if (path == "/livez") {
    send_json(response, kOkStatus, R"({"status":"live"})");
    return true;
  }
  if (path == "/readyz") {
    const bool configured = dependencies_.control.call([](NodeController& controller, TimePoint) {
      return controller.configuration().current().revision > 0;
    });
    const bool ready = configured && !draining_;
    send_json(response, ready ? kOkStatus : kUnavailableStatus,
              ready ? R"({"status":"ready"})" : R"({"status":"not ready"})");
    return true;
  }
  if (path == "/metrics") {
    send_bytes(response, "text/plain; version=0.0.4", dependencies_.metrics.render());
    return true;
  }
  return false;
}

bool ApiServer::handle_online(const std::string& path, Request& request, Response& response) {
  std::string id;
  if (path == "/v1/models" || split_prefix(path, "/v1/models/", id)) {
    is_get(request) ? list_models(id, response) : send_method_not_allowed(request, response);
    return true;
  }
  if (path != kChatPath && path != kTextPath) {
    return false;
  }
  if (!is_post(request)) {
    send_method_not_allowed(request, response);
  } else if (draining_) {
    send_error(response, draining_error());
  } else {
    online_.handle(path == kChatPath ? CompletionKind::kChat : CompletionKind::kText, request,
                   response);
  }
  return true;
}

void ApiServer::list_models(const std::string& id, Response& response) {
  const auto config = dependencies_.control.call(
      [](NodeController& controller, TimePoint) { return controller.configuration().config(); });
  if (!id.empty()) {
    const ServiceConfig* service = config->find_service(id);
    if (service == nullptr) {
      send_error(response, Error{ResultCode::kUnknownModel, "no such model: " + id, "model"});
      return;
    }
    send_json(response, kOkStatus, to_json(*model_json(*service)));
    return;
  }
  Poco::JSON::Array::Ptr data = new Poco::JSON::Array;
  for (const auto& [name, service] : config->services) {
    data->add(model_json(service));
  }
  Poco::JSON::Object body;
  body.set("object", "list");
  body.set("data", data);
  send_json(response, kOkStatus, to_json(body));
}

bool ApiServer::handle_files(const std::string& path, Request& request, Response& response) {
  if (path == "/v1/files") {
    if (!is_post(request)) {
      send_method_not_allowed(request, response);
    } else if (draining_) {
      send_error(response, draining_error());
    } else {
      files_.upload(request, response);
    }
    return true;
  }
  std::string rest;
  if (!split_prefix(path, "/v1/files/", rest)) {
    return false;
  }
  if (!is_get(request)) {
    send_method_not_allowed(request, response);
    return true;
  }
  const std::size_t slash = rest.find('/');
  const std::string id = rest.substr(0, slash);
  const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const bool output = BatchHandler::is_output_file(id);
  if (action == "content") {
    output ? batches_.output_content(id, request, response) : files_.content(id, response);
    return true;
  }
  if (action.empty()) {
    output ? batches_.describe_output(id, request, response) : files_.describe_file(id, response);
    return true;
  }
  return false;
}

bool ApiServer::handle_batches(const std::string& path, Request& request, Response& response) {
  if (path == "/v1/batches") {
    if (is_get(request)) {
      batches_.list(request, response);
    } else if (!is_post(request)) {
      send_method_not_allowed(request, response);
    } else if (draining_) {
      send_error(response, draining_error());
    } else {
      batches_.create(request, response);
    }
    return true;
  }
  std::string rest;
  if (!split_prefix(path, "/v1/batches/", rest)) {
    return false;
  }
  const std::size_t slash = rest.find('/');
  const std::string id = rest.substr(0, slash);
  const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (action.empty() && is_get(request)) {
    batches_.get(id, request, response);
  } else if (action == "cancel" && is_post(request)) {
    batches_.cancel(id, request, response);
  } else if (action.empty() || action == "cancel") {
    send_method_not_allowed(request, response);
  } else {
    return false;
  }
  return true;
}

bool ApiServer::handle_admin(const std::string& path, Request& request, Response& response) {
  if (path == "/admin/v1/configuration") {
    if (is_post(request)) {
      admin_.apply_configuration(request, response);
    } else {
      admin_.show_configuration(response);
    }
  } else if (path == "/admin/v1/configuration/history") {
    admin_.show_history(response);
  } else if (path == "/admin/v1/configuration/validate") {
    admin_.validate_configuration(request, response);
  } else if (path == "/admin/v1/engines") {
    admin_.list_engines(response);
  } else if (path == "/admin/v1/partitions") {
    admin_.list_partitions(response);
  } else if (path == "/admin/v1/nodes") {
    admin_.list_nodes(response);
  } else if (path == "/admin/v1/drain") {
    if (is_post(request)) {
      drain_requested_ = true;
      send_json(response, kOkStatus, R"({"draining":true})");
    } else {
      send_method_not_allowed(request, response);
    }
  } else {
    return false;
  }
  return true;
}

bool ApiServer::handle_peer(const std::string& path, Request& request, Response& response) {
  if (path == "/peer/v1/configuration") {
    const ConfigurationRevision revision = dependencies_.control.call(
        [](NodeController& controller, TimePoint) { return controller.configuration().current(); });
    send_bytes(response, "application/msgpack", pack(revision));
    return true;
  }
  if (path == "/peer/v1/batches") {
    batches_.list(request, response);
    return true;
  }
  std::string key;
  if (split_prefix(path, "/peer/v1/attempts/", key)) {
    peers_.serve_attempt({key, query_parameter(request.getURI(), "token")}, request, response);
    return true;
  }
  return false;
}

}  // namespace dockpoint
