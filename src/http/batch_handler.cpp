#include "http/batch_handler.hpp"

#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <future>
#include <random>

#include "dockpoint/core/hash.hpp"
#include "dockpoint/core/json_reader.hpp"
#include "http/batch_request.hpp"
#include "http/http_server.hpp"
#include "http/online_handler.hpp"

namespace dockpoint {
namespace {

constexpr std::size_t kMaximumBodyBytes = 256 * 1024;
constexpr std::chrono::milliseconds kJobRecordTimeout{5'000};
constexpr std::size_t kResultPageRecords = 1000;
constexpr std::size_t kDefaultListLength = 20;
constexpr std::size_t kMaximumListLength = 100;
constexpr std::string_view kOutputPrefix = "file-output-";
constexpr std::string_view kErrorPrefix = "file-error-";

/// @return the job id contained in the id of an output or error file.
std::string job_id_of_output_file(const std::string& file_id) {
  const std::string_view prefix = file_id.starts_with(kOutputPrefix) ? kOutputPrefix : kErrorPrefix;
  return file_id.substr(prefix.size());
}

std::string random_idempotency_key() {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return hash128_hex(std::to_string(random()) + "-" + std::to_string(random()));
}

std::string status_name(JobStatus status) {
  switch (status) {
    case JobStatus::kInProgress:
      return "in_progress";
    case JobStatus::kCompleted:
      return "completed";
    case JobStatus::kCancelled:
      return "cancelled";
  }
  return "in_progress";
}

Poco::Dynamic::Var parse_json_or_text(const std::string& json) {
  try {
    return Poco::JSON::Parser().parse(json);
  } catch (const Poco::Exception&) {
    return json;
  }
}

std::string result_line(const JobSpec& job, const ItemCompleted& completed) {
  Poco::JSON::Object line;
  const std::string id = "batch_req_" + job.id + "_" + std::to_string(completed.item);
  line.set("id", id);
  line.set("custom_id", completed.custom_id);
  if (completed.result_code == 0) {
    Poco::JSON::Object::Ptr response = new Poco::JSON::Object;
    response->set("status_code", completed.status);
    response->set("request_id", id);
    response->set("body", parse_json_or_text(completed.body));
    line.set("response", response);
    line.set("error", Poco::Dynamic::Var());
  } else {
    line.set("response", Poco::Dynamic::Var());
    line.set("error", parse_json_or_text(completed.body));
  }
  return to_json(line);
}

bool is_failure(const ItemCompleted& completed) {
  return completed.result_code != 0 || completed.status < 200 || completed.status >= 300;
}

}  // namespace

Poco::JSON::Object::Ptr batch_json(const JobState& job) {
  const JobSpec& spec = job.spec;
  Poco::JSON::Object::Ptr batch = new Poco::JSON::Object;
  const Poco::Dynamic::Var none;
  const JobStatus status = job.status();
  const bool ended = status != JobStatus::kInProgress;
  batch->set("id", spec.id);
  batch->set("object", "batch");
  batch->set("endpoint", spec.endpoint);
  batch->set("errors", none);
  batch->set("input_file_id", spec.input_file_id);
  batch->set("completion_window", spec.completion_window);
  batch->set("status", status_name(status));
  const bool has_output = ended && job.completed > job.failed;
  batch->set("output_file_id",
             has_output ? Poco::Dynamic::Var(std::string(kOutputPrefix) + spec.id) : none);
  const bool has_errors = ended && job.failed > 0;
  batch->set("error_file_id",
             has_errors ? Poco::Dynamic::Var(std::string(kErrorPrefix) + spec.id) : none);
  batch->set("created_at", spec.created_at);
  batch->set("in_progress_at", spec.created_at);
  batch->set("expires_at", spec.deadline);
  const Poco::Dynamic::Var ended_at(job.ended_at);
  batch->set("completed_at", status == JobStatus::kCompleted ? ended_at : none);
  batch->set("cancelled_at", status == JobStatus::kCancelled ? ended_at : none);
  Poco::JSON::Object::Ptr counts = new Poco::JSON::Object;
  counts->set("total", spec.items);
  counts->set("completed", job.completed - job.failed);
  counts->set("failed", job.failed);
  batch->set("request_counts", counts);
  Poco::JSON::Object::Ptr metadata = new Poco::JSON::Object;
  for (const auto& [key, value] : spec.metadata) {
    metadata->set(key, value);
  }
  batch->set("metadata", metadata);
  return batch;
}

BatchHandler::BatchHandler(ControlLoop& control, FileStore& files, LogClient& log,
                           PeerRequests& peers, BodyBudget& bodies)
    : control_(control), files_(files), log_(log), peers_(peers), bodies_(bodies) {}

int BatchHandler::partition(const std::string& id) {
  return control_.call([&id](NodeController& controller, TimePoint) {
    return partition_of_job(id, controller.configuration().config()->partitions);
  });
}

bool BatchHandler::forward(const std::string& id, const std::string& body,
                           Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) {
  const int number = partition(id);
  if (number < 0) {
    send_error(response, Error{ResultCode::kNotFound, "no such batch: " + id, "id"});
    return true;
  }
  return peers_.forward(number, body, request, response);
}

Result<JobSpec> BatchHandler::read_job(const std::string& body,
                                       const Poco::Net::HTTPServerRequest& request) {
  BOOST_LEAF_AUTO(job, parse_batch_request(body));
  BOOST_LEAF_AUTO(manifest, files_.manifest(job.input_file_id));
  if (manifest.endpoint != job.endpoint) {
    return fail(
        ResultCode::kInvalidField,
        "endpoint is " + job.endpoint + ", but the file's items are for " + manifest.endpoint,
        "endpoint");
  }
  job.tenant = tenant_of(request);
  job.service = manifest.model;
  job.items = manifest.items;
  return job;
}

void BatchHandler::create(Poco::Net::HTTPServerRequest& request,
                          Poco::Net::HTTPServerResponse& response) {
  BodyReservation reservation(bodies_);
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(body, read_request_body(request, kMaximumBodyBytes, reservation));
    BOOST_LEAF_AUTO(job, read_job(body, request));
    const std::shared_ptr<const FleetConfig> config = control_.call(
        [](NodeController& controller, TimePoint) { return controller.configuration().config(); });
    if (config->find_service(job.service) == nullptr) {
      return fail(ResultCode::kUnknownModel, "no service is named \"" + job.service + "\"",
                  "model");
    }
    if (job.items > static_cast<ItemIndex>(config->limits.maximum_batch_items)) {
      return fail(ResultCode::kBodyTooLarge,
                  "the file holds more than " + std::to_string(config->limits.maximum_batch_items) +
                      " items");
    }
    // The job id is derived from the idempotency key, so that every node recognizes a resubmitted
    // job. A missing key is generated before forwarding, so that the owner derives the same id.
    std::string key = request.get(kIdempotencyHeader, "");
    if (key.empty()) {
      key = random_idempotency_key();
      request.set(kIdempotencyHeader, key);
    }
    const std::string unique = hash128_hex(job.tenant + "\n" + key);
    const int number = partition_of(unique, config->partitions);
    job.id = make_job_id(number, unique);
    if (peers_.forward(number, body, request, response)) {
      return {};
    }
    BOOST_LEAF_AUTO(state, accept(job));
    send_json(response, 200, to_json(*batch_json(state)));
    return {};
  });
  if (error) {
    send_error(response, *error);
  }
}

Result<JobState> BatchHandler::accept(const JobSpec& job) {
  auto verdict = std::make_shared<std::promise<RecordVerdict>>();
  std::future<RecordVerdict> confirmed = verdict->get_future();
  const std::optional<Error> refused =
      control_.call([&](NodeController& controller, TimePoint now) {
        return controller.accept_job(job, now,
                                     [verdict](RecordVerdict value) { verdict->set_value(value); });
      });
  if (refused) {
    return fail(*refused);
  }
  if (confirmed.wait_for(kJobRecordTimeout) != std::future_status::ready) {
    return fail(Error{ResultCode::kPlatformUnavailable,
                      "the log did not confirm in time; resend with the same Idempotency-Key",
                      {},
                      RunState::kUnknown,
                      std::chrono::seconds(5)});
  }
  const RecordVerdict result = confirmed.get();
  if (result == RecordVerdict::kStaleEpoch) {
    return fail(Error{ResultCode::kNotOwner,
                      "ownership moved while the job was accepted",
                      {},
                      RunState::kNotRun,
                      std::chrono::seconds(1)});
  }
  BOOST_LEAF_AUTO(state, find(job.id));
  if (state.spec.content_digest != job.content_digest) {
    return fail(ResultCode::kIdempotencyMismatch,
                "this idempotency key was used for a different batch", kIdempotencyHeader);
  }
  return state;
}

Result<JobState> BatchHandler::find(const std::string& id, Detail detail) {
  std::optional<JobState> state =
      control_.call([&](NodeController& controller, TimePoint) -> std::optional<JobState> {
        const JobState* job = controller.find_job(id);
        if (job == nullptr) {
          return std::nullopt;
        }
        return detail == Detail::kWithResults ? *job : job->without_results();
      });
  if (!state) {
    return fail(ResultCode::kNotFound, "no such batch: " + id, "id");
  }
  return std::move(*state);
}

void BatchHandler::get(const std::string& id, Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) {
  if (forward(id, "", request, response)) {
    return;
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(state, find(id));
    send_json(response, 200, to_json(*batch_json(state)));
    return {};
  });
  if (error) {
    send_error(response, *error);
  }
}

void BatchHandler::cancel(const std::string& id, Poco::Net::HTTPServerRequest& request,
                          Poco::Net::HTTPServerResponse& response) {
  if (forward(id, "", request, response)) {
    return;
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(state, stop(id));
    send_json(response, 200, to_json(*batch_json(state)));
    return {};
  });
  if (error) {
    send_error(response, *error);
  }
}

Result<JobState> BatchHandler::stop(const std::string& id) {
  BOOST_LEAF_AUTO(before, find(id));
  if (before.status() == JobStatus::kCompleted) {
    return fail(ResultCode::kConflict, "the batch is already completed", "id");
  }
  auto verdict = std::make_shared<std::promise<RecordVerdict>>();
  std::future<RecordVerdict> confirmed = verdict->get_future();
  const std::optional<Error> refused =
      control_.call([&](NodeController& controller, TimePoint now) {
        return controller.cancel_job(id, now, unix_now(),
                                     [verdict](RecordVerdict value) { verdict->set_value(value); });
      });
  if (refused) {
    return fail(*refused);
  }
  if (confirmed.wait_for(kJobRecordTimeout) != std::future_status::ready) {
    return fail(Error{ResultCode::kPlatformUnavailable,
                      "the log did not confirm in time",
                      {},
                      RunState::kUnknown,
                      std::chrono::seconds(2)});
  }
  return find(id);
}

void BatchHandler::list(Poco::Net::HTTPServerRequest& request,
                        Poco::Net::HTTPServerResponse& response) {
  const std::string tenant = tenant_of(request);
  const std::string requested_limit = query_parameter(request.getURI(), "limit");
  std::size_t limit = std::strtoul(requested_limit.c_str(), nullptr, 10);
  limit = requested_limit.empty() ? kDefaultListLength
                                  : std::clamp<std::size_t>(limit, 1, kMaximumListLength);
  const std::string after = query_parameter(request.getURI(), "after");
  using Entry = std::pair<std::int64_t, Poco::JSON::Object::Ptr>;
  std::vector<Entry> entries = control_.call([&](NodeController& controller, TimePoint) {
    std::vector<Entry> own;
    for (const JobState* job : controller.jobs_of(tenant)) {
      own.emplace_back(job->spec.created_at, batch_json(*job));
    }
    return own;
  });
  if (!request.has(kForwardedHeader)) {
    for (const std::string& body :
         peers_.query_peers("/peer/v1/batches", {{kTenantHeader, tenant}})) {
      const Poco::Dynamic::Var parsed = parse_json_or_text(body);
      if (parsed.type() != typeid(Poco::JSON::Object::Ptr)) {
        continue;
      }
      const auto& object = parsed.extract<Poco::JSON::Object::Ptr>();
      const Poco::JSON::Array::Ptr data = object->getArray("data");
      for (unsigned index = 0; !data.isNull() && index < data->size(); ++index) {
        const Poco::JSON::Object::Ptr batch = data->getObject(index);
        entries.emplace_back(batch->getValue<std::int64_t>("created_at"), batch);
      }
    }
  }
  const auto id_of = [](const Entry& entry) { return entry.second->getValue<std::string>("id"); };
  std::sort(entries.begin(), entries.end(), [&](const Entry& left, const Entry& right) {
    return std::make_pair(-left.first, id_of(left)) < std::make_pair(-right.first, id_of(right));
  });
  auto first = entries.begin();
  if (!after.empty()) {
    first = std::find_if(first, entries.end(),
                         [&](const Entry& entry) { return id_of(entry) == after; });
    first = first == entries.end() ? entries.end() : std::next(first);
  }
  const bool local = request.has(kForwardedHeader);
  const auto count = static_cast<std::size_t>(entries.end() - first);
  const auto last = first + static_cast<std::ptrdiff_t>(local ? count : std::min(limit, count));
  Poco::JSON::Array::Ptr data = new Poco::JSON::Array;
  std::for_each(first, last, [&](const Entry& entry) { data->add(entry.second); });
  Poco::JSON::Object body;
  body.set("object", "list");
  body.set("data", data);
  body.set("has_more", last != entries.end());
  if (first != last) {
    body.set("first_id", id_of(*first));
    body.set("last_id", id_of(*(last - 1)));
  }
  send_json(response, 200, to_json(body));
}

bool BatchHandler::is_output_file(const std::string& file_id) {
  return file_id.starts_with(kOutputPrefix) || file_id.starts_with(kErrorPrefix);
}

void BatchHandler::describe_output(const std::string& file_id,
                                   Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& response) {
  const std::string id = job_id_of_output_file(file_id);
  if (forward(id, "", request, response)) {
    return;
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(state, find(id));
    Poco::JSON::Object file;
    file.set("id", file_id);
    file.set("object", "file");
    file.set("created_at", state.ended_at);
    file.set("filename", file_id + ".jsonl");
    file.set("purpose", "batch_output");
    file.set("status", "processed");
    file.set("bytes", 0);
    send_json(response, 200, to_json(file));
    return {};
  });
  if (error) {
    send_error(response, *error);
  }
}

void BatchHandler::output_content(const std::string& file_id, Poco::Net::HTTPServerRequest& request,
                                  Poco::Net::HTTPServerResponse& response) {
  const std::string id = job_id_of_output_file(file_id);
  if (forward(id, "", request, response)) {
    return;
  }
  const std::optional<Error> error = error_of([&]() -> Result<void> {
    BOOST_LEAF_AUTO(state, find(id, Detail::kWithResults));
    response.setContentType("application/jsonl");
    response.setChunkedTransferEncoding(true);
    std::ostream& out = response.send();
    return write_results(state, file_id.starts_with(kErrorPrefix), out);
  });
  if (!error) {
    return;
  }
  if (response.sent()) {
    throw Poco::IOException("the results could not be read to their end");
  }
  send_error(response, *error);
}

Result<void> BatchHandler::write_results(const JobState& job, bool failures, std::ostream& out) {
  if (job.completed == 0) {
    return {};
  }
  const std::string stream = job_stream(partition(job.spec.id));
  Offset next = job.first_result;
  while (next <= job.last_result) {
    BOOST_LEAF_AUTO(page,
                    log_.read(stream, next, kResultPageRecords, std::chrono::milliseconds(0)));
    if (page.records.empty()) {
      return fail(ResultCode::kPlatformUnavailable, "the log does not have the results");
    }
    for (std::size_t index = 0; index < page.records.size(); ++index, ++next) {
      const auto record = decode_partition_record(page.records[index]);
      const auto* completed = record ? std::get_if<ItemCompleted>(&record->body) : nullptr;
      const bool is_result = completed != nullptr && completed->job == job.spec.id &&
                             completed->item < job.results.size() &&
                             job.results[completed->item] == next + 1;
      if (is_result && is_failure(*completed) == failures) {
        out << result_line(job.spec, *completed) << "\n";
      }
    }
  }
  return {};
}

}  // namespace dockpoint
