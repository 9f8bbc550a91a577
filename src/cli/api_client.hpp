#pragma once

#include <Poco/JSON/Object.h>

#include <functional>
#include <string>
#include <vector>

#include "http/http_session.hpp"

namespace dockpoint {

/// The command line's connection to one node.
class ApiClient {
 public:
  /// @param address `IP:port` of a node's HTTP interface.
  ApiClient(std::string address, std::string tenant);

  /// One answer, parsed.
  struct Answer {
    int status = 0;
    Poco::JSON::Object::Ptr json;
    std::string body;

    bool ok() const { return status >= 200 && status < 300; }
    /// @return the error's message and code, for a person.
    std::string error_text() const;
  };

  using Headers = std::vector<std::pair<std::string, std::string>>;

  /// Sends a request; repeats it when the node says that it was not run and when to come back.
  /// Fails only if no answer came.
  Result<Answer> send(const std::string& method, const std::string& path,
                      const std::string& body = {}, const Headers& headers = {});

  /// Uploads a batch input file. @return the answer that describes it.
  Result<Answer> upload(const std::string& path);

  /// Streams an answer's lines as they come. @return the answer's status.
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
