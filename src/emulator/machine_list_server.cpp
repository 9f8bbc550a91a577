#include "emulator/machine_list_server.hpp"

#include "dockpoint/core/json_reader.hpp"

namespace dockpoint::emulator {
namespace {

constexpr std::size_t kMaximumListBytes = 1024 * 1024;
constexpr const char* kEmptyList = R"({"machines":[]})";

}  // namespace

MachineListServer::MachineListServer(const std::string& address, std::chrono::milliseconds lag)
    : lag_(lag),
      server_({address}, [this](auto& request, auto& response) { handle(request, response); }) {}

void MachineListServer::handle(Poco::Net::HTTPServerRequest& request,
                               Poco::Net::HTTPServerResponse& response) {
  const std::string path = path_of(request.getURI());
  if (path == "/machines") {
    send_json(response, 200, delayed_list());
    return;
  }
  if (path != "/admin/machines") {
    send_error(response, Error{ResultCode::kNotFound, "no such path", path});
    return;
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(body, read_request_body(request, kMaximumListBytes));
    BOOST_LEAF_CHECK(parse_json_object(body));
    const std::lock_guard<std::mutex> lock(mutex_);
    versions_.push_back({std::chrono::steady_clock::now(), body});
    return {};
  });
  error ? send_error(response, *error) : send_json(response, 200, "{}");
}

std::string MachineListServer::delayed_list() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto visible_until = std::chrono::steady_clock::now() - lag_;
  while (versions_.size() > 1 && versions_[1].since <= visible_until) {
    versions_.pop_front();
  }
  const bool visible = !versions_.empty() && versions_.front().since <= visible_until;
  return visible ? versions_.front().json : kEmptyList;
}

}  // namespace dockpoint::emulator
