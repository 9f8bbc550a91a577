#include "http/admin_handler.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <future>
#include <random>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "http/http_server.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kMaximumConfigurationBytes = 8 * 1024 * 1024;
constexpr std::chrono::milliseconds kConfigurationTimeout{10'000};

std::string random_change_id() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return hash128_hex(std::to_string(random()) + "-" + std::to_string(random()));
}

Poco::JSON::Object::Ptr change_json(const AcceptedChange& change) {
  Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
  entry->set("revision", change.revision);
  entry->set("author", change.author);
  entry->set("change_id", change.change_id);
  entry->set("offset", change.offset);
  return entry;
}

std::string state_name(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

Poco::JSON::Object::Ptr engine_json(const EngineView& engine, bool usable) {
  Poco::JSON::Object::Ptr labels = new Poco::JSON::Object;
  for (const auto& [label, value] : engine.config.labels) {
    labels->set(label, value);
  }
  Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
  entry->set("name", engine.config.name);
  entry->set("address", engine.config.address);
  entry->set("model", engine.config.model);
  entry->set("labels", labels);
  entry->set("slots", engine.config.slots);
  entry->set("usable", usable);
  entry->set("leaving", engine.leaving());
  entry->set("reported", engine.reported);
  entry->set("running_online", engine.load.running_online);
  entry->set("running_batch", engine.load.running_batch);
  entry->set("waiting_online", engine.load.waiting_online);
  entry->set("waiting_batch", engine.load.waiting_batch);
  return entry;
}

std::string list_json(const Poco::JSON::Array::Ptr& data) {
  Poco::JSON::Object body;
  body.set("object", "list");
  body.set("data", data);
  return to_json(body);
}

}  // namespace

void AdminHandler::show_configuration(Poco::Net::HTTPServerResponse& response) {
  const ConfigurationRevision revision = control_.call(
      [](NodeController& controller, TimePoint) { return controller.configuration().current(); });
  const AcceptedChange change =
      revision.history.empty() ? AcceptedChange{} : revision.history.back();
  Poco::JSON::Object::Ptr body = change_json(change);
  error_of([&]() -> Result<void> {
    if (revision.revision > 0) {
      BOOST_LEAF_AUTO(document, parse_json_object(revision.document));
      body->set("configuration", document);
    }
    return {};
  });
  send_json(response, 200, to_json(*body));
}

void AdminHandler::show_history(Poco::Net::HTTPServerResponse& response) {
  const auto history = control_.call(
      [](NodeController& controller, TimePoint) { return controller.configuration().history(); });
  Poco::JSON::Array::Ptr data = new Poco::JSON::Array;
  for (const AcceptedChange& change : history) {
    data->add(change_json(change));
  }
  send_json(response, 200, list_json(data));
}

void AdminHandler::apply_configuration(Poco::Net::HTTPServerRequest& request,
                                       Poco::Net::HTTPServerResponse& response) {
  BodyReservation reservation(bodies_);
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(body, read_request_body(request, kMaximumConfigurationBytes, reservation));
    BOOST_LEAF_AUTO(object, parse_json_object(body));
    Problems problems;
    ObjectReader reader(object, "", problems);
    ConfigurationChange change;
    change.base_revision = static_cast<std::uint64_t>(reader.required_integer("base_revision", {}));
    change.author = reader.text("author", "unknown");
    change.id = reader.text("change_id", random_change_id());
    if (!reader.is_object("configuration")) {
      reader.report("configuration", "an object is required");
    }
    if (!problems.empty()) {
      return fail(ResultCode::kInvalidField, summarize(problems), problems.front().place);
    }
    change.document = to_json(*object->getObject("configuration"));
    BOOST_LEAF_CHECK(parse_fleet_config(change.document));
    BOOST_LEAF_AUTO(outcome, propose(std::move(change)));
    switch (outcome.verdict) {
      case ChangeVerdict::kAccepted:
      case ChangeVerdict::kDuplicate:
        break;
      case ChangeVerdict::kConflict:
        return fail(ResultCode::kRevisionConflict, outcome.detail, "base_revision");
      case ChangeVerdict::kInvalid:
        return fail(ResultCode::kConfigurationInvalid, outcome.detail, "configuration");
    }
    Poco::JSON::Object answer;
    answer.set("revision", outcome.revision);
    send_json(response, 200, to_json(answer));
    return {};
  });
  if (error) {
    send_error(response, *error);
  }
}

Result<ChangeOutcome> AdminHandler::propose(ConfigurationChange change) {
  auto outcome = std::make_shared<std::promise<ChangeOutcome>>();
  std::future<ChangeOutcome> confirmed = outcome->get_future();
  control_.call([&](NodeController& controller, TimePoint) {
    controller.propose_configuration(
        std::move(change), [outcome](const ChangeOutcome& value) { outcome->set_value(value); });
    return true;
  });
  if (confirmed.wait_for(kConfigurationTimeout) != std::future_status::ready) {
    return fail(Error{ResultCode::kPlatformUnavailable,
                      "the log did not confirm in time; ask for the history before applying again",
                      {},
                      RunState::kUnknown,
                      std::chrono::seconds(5)});
  }
  return confirmed.get();
}

void AdminHandler::validate_configuration(Poco::Net::HTTPServerRequest& request,
                                          Poco::Net::HTTPServerResponse& response) {
  BodyReservation reservation(bodies_);
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(body, read_request_body(request, kMaximumConfigurationBytes, reservation));
    BOOST_LEAF_CHECK(parse_fleet_config(body));
    return {};
  });
  error ? send_error(response, *error) : send_json(response, 200, R"({"valid":true})");
}

void AdminHandler::list_engines(Poco::Net::HTTPServerResponse& response) {
  const Poco::JSON::Array::Ptr data = control_.call([](NodeController& controller, TimePoint now) {
    Poco::JSON::Array::Ptr engines = new Poco::JSON::Array;
    for (const auto& [name, engine] : controller.engines().all()) {
      engines->add(engine_json(engine, controller.engines().usable(engine, now)));
    }
    return engines;
  });
  send_json(response, 200, list_json(data));
}

void AdminHandler::list_partitions(Poco::Net::HTTPServerResponse& response) {
  const std::vector<PartitionStatus> statuses = control_.call(
      [](NodeController& controller, TimePoint) { return controller.partition_statuses(); });
  Poco::JSON::Array::Ptr data = new Poco::JSON::Array;
  for (const PartitionStatus& status : statuses) {
    Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
    entry->set("partition", status.partition);
    entry->set("epoch", status.epoch);
    entry->set("owner", status.owner);
    entry->set("preferred", status.preferred);
    entry->set("owned_here", status.owned_here);
    entry->set("caught_up", status.caught_up);
    entry->set("next_offset", status.next_offset);
    data->add(entry);
  }
  send_json(response, 200, list_json(data));
}

void AdminHandler::list_nodes(Poco::Net::HTTPServerResponse& response) {
  const std::vector<Member> members = control_.call(
      [](NodeController& controller, TimePoint) { return controller.membership().all(); });
  Poco::JSON::Array::Ptr data = new Poco::JSON::Array;
  for (const Member& member : members) {
    Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
    entry->set("name", member.id);
    entry->set("state", state_name(member.state));
    entry->set("zone", member.zone);
    entry->set("api_address", member.api_address);
    entry->set("peer_address", member.peer_address);
    entry->set("incarnation", member.incarnation);
    data->add(entry);
  }
  send_json(response, 200, list_json(data));
}

}  // namespace dockpoint
