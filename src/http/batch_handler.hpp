#pragma once

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "files/file_store.hpp"
#include "http/body_budget.hpp"
#include "http/peer_requests.hpp"
#include "node/control_loop.hpp"

namespace dockpoint {

/// Serves `/v1/batches` and the output files of batches. A request for a single batch is forwarded
/// to the owner of its partition.
class BatchHandler {
 public:
  BatchHandler(ControlLoop& control, FileStore& files, LogClient& log, PeerRequests& peers,
               BodyBudget& bodies);

  void create(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void get(const std::string& id, Poco::Net::HTTPServerRequest& request,
           Poco::Net::HTTPServerResponse& response);
  void cancel(const std::string& id, Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);
  void list(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  /// @return whether `file_id` identifies the output or error file of a batch.
  static bool is_output_file(const std::string& file_id);
  void describe_output(const std::string& file_id, Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response);
  void output_content(const std::string& file_id, Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response);

 private:
  Result<JobSpec> read_job(const std::string& body, const Poco::Net::HTTPServerRequest& request);
  Result<JobState> accept(const JobSpec& job);
  /// Amount of job state to copy from the control thread.
  enum class Detail { kSummary, kWithResults };
  Result<JobState> find(const std::string& id, Detail detail = Detail::kSummary);
  Result<JobState> stop(const std::string& id);
  int partition(const std::string& id);
  /// Forwards the request if another node owns the batch.
  /// @return whether the request was forwarded or rejected, so that a response has been sent.
  bool forward(const std::string& id, const std::string& body,
               Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  Result<void> write_results(const JobState& job, bool failures, std::ostream& out);

  ControlLoop& control_;
  FileStore& files_;
  LogClient& log_;
  PeerRequests& peers_;
  BodyBudget& bodies_;
};

/// @return the batch object in the format of the OpenAI API.
Poco::JSON::Object::Ptr batch_json(const JobState& job);

}  // namespace dockpoint
