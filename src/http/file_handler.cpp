#include "http/file_handler.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTMLForm.h>
#include <Poco/Net/MessageHeader.h>
#include <Poco/Net/PartHandler.h>

#include <array>
#include <ostream>

#include "dockpoint/core/json_reader.hpp"
#include "http/http_server.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {
namespace {

constexpr const char* kPurpose = "batch";

/// Streams the uploaded file of the form to the file store.
class UploadPart : public Poco::Net::PartHandler {
 public:
  UploadPart(FileStore& files, std::uint64_t maximum_bytes)
      : files_(files), maximum_bytes_(maximum_bytes) {}

  void handlePart(const Poco::Net::MessageHeader& header, std::istream& in) override {
    std::string disposition;
    Poco::Net::NameValueCollection parameters;
    Poco::Net::MessageHeader::splitParameters(header.get("Content-Disposition", ""), disposition,
                                              parameters);
    if (parameters.get("name", "") == "file") {
      seen = true;
      error = error_of([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(id, files_.write(in, parameters.get("filename", "input.jsonl"),
                                           maximum_bytes_, unix_now()));
        return {};
      });
    }
    // The rest of this part must be consumed before the next part can be parsed.
    std::array<char, 16 * 1024> rest{};
    while (in.read(rest.data(), rest.size()) || in.gcount() > 0) {
    }
  }

  bool seen = false;
  std::string id;
  std::optional<Error> error;

 private:
  FileStore& files_;
  const std::uint64_t maximum_bytes_;
};

std::string file_json(const std::string& id, const FileManifest& manifest) {
  Poco::JSON::Object file;
  file.set("id", id);
  file.set("object", "file");
  file.set("bytes", manifest.bytes);
  file.set("created_at", manifest.created_at);
  file.set("filename", manifest.filename);
  file.set("purpose", kPurpose);
  file.set("status", "processed");
  return to_json(file);
}

}  // namespace

FileHandler::FileHandler(FileStore& files, std::uint64_t maximum_file_bytes)
    : files_(files), maximum_file_bytes_(maximum_file_bytes) {}

void FileHandler::upload(Poco::Net::HTTPServerRequest& request,
                         Poco::Net::HTTPServerResponse& response) {
  UploadPart part(files_, maximum_file_bytes_);
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    std::string purpose;
    try {
      const Poco::Net::HTMLForm form(request, request.stream(), part);
      purpose = form.get("purpose", "");
    } catch (const Poco::Exception& exception) {
      return fail(ResultCode::kMalformedBody, "not a multipart form: " + exception.displayText());
    }
    if (part.error) {
      return fail(*part.error);
    }
    if (!part.seen) {
      return fail(ResultCode::kMissingField, "the form has no file", "file");
    }
    if (purpose != kPurpose) {
      return fail(ResultCode::kInvalidField,
                  "purpose is \"" + purpose + "\"; \"batch\" is expected", "purpose");
    }
    return {};
  });
  error ? send_error(response, *error) : describe_file(part.id, response);
}

void FileHandler::describe_file(const std::string& id, Poco::Net::HTTPServerResponse& response) {
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(manifest, files_.manifest(id));
    send_json(response, 200, file_json(id, manifest));
    return {};
  });
  if (error) {
    send_error(response, *error);
  }
}

void FileHandler::content(const std::string& id, Poco::Net::HTTPServerResponse& response) {
  std::ostream* out = nullptr;
  const auto write = [&](const std::vector<std::string>& lines) {
    if (out == nullptr) {
      response.setContentType("application/jsonl");
      response.setChunkedTransferEncoding(true);
      out = &response.send();
    }
    for (const std::string& line : lines) {
      *out << line << "\n";
    }
  };
  const std::optional<Error> error = error_of([&] { return files_.read_all(id, write); });
  if (!error) {
    return;
  }
  if (out != nullptr) {
    throw Poco::IOException("the file could not be read to its end");
  }
  send_error(response, *error);
}

}  // namespace dockpoint
