#pragma once

#include <Poco/JSON/Object.h>

#include <functional>
#include <string>
#include <vector>

#include "http/http_session.hpp"

namespace dockpoint {

/// HTTP client of the command line for the API of one node.
class ApiClient {
 public:
  /// @param address `IP:port` of a node's HTTP interface.
  ApiClient(std::string address, std::string tenant);

  /// A parsed HTTP response.
  struct Answer {
    int status = 0;
    Poco::JSON::Object::Ptr json;
    std::string body;

    bool ok() const { return status >= 200 && status < 300; }
    /// @return the error's message and code in readable form.
    std::string error_text() const;
  };

  using Headers = std::vector<std::pair<std::string, std::string>>;

  /// Sends a request; retries it if the node reports that it was not executed and gives a
  /// retry delay. Fails only if no response arrived.
  Result<Answer> send(const std::string& method, const std::string& path,
                      const std::string& body = {}, const Headers& headers = {});

  /// Uploads a batch input file. @return the response that describes the file.
  Result<Answer> upload(const std::string& path);

  /// Passes on the lines of a response as they arrive. @return the status of the response.
  Result<int> stream(const std::string& method, const std::string& path, const std::string& body,
                     const Headers& headers,
                     const std::function<void(const std::string& line)>& consume);

 private:
  Headers with_tenant(const Headers& headers) const;

  const std::string address_;
  const std::string tenant_;
  HttpSessionPool sessions_;
};

}  // namespace dockpoint
