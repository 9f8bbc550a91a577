#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "files/file_store.hpp"

namespace dockpoint {

/// Serves `/v1/files` for batch input files.
class FileHandler {
 public:
  FileHandler(FileStore& files, std::uint64_t maximum_file_bytes);

  /// Serves `POST /v1/files`, a multipart form with `purpose` and `file`.
  void upload(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  /// Serves `GET /v1/files/ID`.
  void describe_file(const std::string& id, Poco::Net::HTTPServerResponse& response);

  /// Serves `GET /v1/files/ID/content`.
  void content(const std::string& id, Poco::Net::HTTPServerResponse& response);

 private:
  FileStore& files_;
  const std::uint64_t maximum_file_bytes_;
};

}  // namespace dockpoint
