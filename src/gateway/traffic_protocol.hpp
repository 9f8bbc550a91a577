#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dockpoint/admission/caller_identity.hpp"
#include "dockpoint/batch/job_ledger.hpp"
#include "dockpoint/config/routing_configuration.hpp"
#include "dockpoint/core/error.hpp"
#include "dockpoint/routing/replica_directory.hpp"
#include "dockpoint/routing/replica_selector.hpp"
#include "net/http_message.hpp"

/// What differs between the protocols that callers and replicas may speak.
namespace dockpoint {

/// What the gateway needs to know of a caller's request.
struct RequestInfo {
  std::string id;                     ///< Empty: the caller gave none.
  std::optional<Duration> time_left;  ///< That the caller will wait, from now.
  std::vector<PromptPart> prompt;
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< At most.
  std::optional<std::uint64_t> last_event_id;
};

/// What the gateway adds to a request for a replica.
struct ReplicaSend {
  std::string replica_name;
  Duration time_left{};
  std::optional<std::uint64_t> last_event_id;  ///< The stream goes on behind this event.
};

/// What the head of a replica's answer says.
struct ReplicaAnswer {
  bool belongs = true;  ///< It answers the request that was sent, not an earlier one.
  bool not_run = false;
  bool wrong_replica = false;  ///< Another replica lives at the address now.
  bool genuine = false;        ///< It carries the replica's mark of an answer of its own.
  std::optional<ReportedLoad> load;
};

/// Calls about batch jobs.
enum class JobOperation { kRead, kItemBody, kEnd };

struct JobCall {
  JobOperation operation = JobOperation::kRead;
  std::string job;
  std::string item;
  std::uint64_t position = 0;
  Duration wait{};
};

/// Results of a job from a position on.
struct ResultPage {
  const LedgerJob* job = nullptr;
  std::size_t first = 0;
  std::size_t count = 0;
};

/// Translates between HTTP messages and the gateway's terms. Stateless.
class TrafficProtocol {
 public:
  virtual ~TrafficProtocol() = default;

  virtual RequestInfo read_request(const net::RequestHead& head) const = 0;
  /// @return the API key that the request carries; borrows the head.
  virtual Credential read_credential(const net::RequestHead& head) const = 0;
  /// Takes the key, and whatever the caller says of its tenant, out of the head, and names the
  /// tenant instead. From then on no header that the caller lists as one of its connection is
  /// dropped.
  /// @param tenant empty: none is named.
  virtual void name_tenant(net::RequestHead& head, const std::string& tenant) const = 0;
  /// @return the tenant that `name_tenant` put into the head; empty if there is none.
  virtual std::string named_tenant(const net::RequestHead& head) const = 0;
  virtual net::RequestHead replica_request(const net::RequestHead& request, std::size_t body_bytes,
                                           const ReplicaSend& send) const = 0;
  /// @param request_id of the request that the answer is due to.
  virtual ReplicaAnswer read_answer(const net::ResponseHead& head,
                                    const std::string& request_id) const = 0;

  /// @return the call, or nothing if the request is none about batch jobs.
  virtual std::optional<JobCall> read_job_call(const net::RequestHead& head) const = 0;
  /// Reads a submitted job, whose tenant was named in the head.
  virtual Result<BatchJob> read_job(const net::RequestHead& head,
                                    const std::string& body) const = 0;
  virtual std::string write_results(const ResultPage& page) const = 0;
  virtual net::RequestHead item_request(const BatchJob& job, const BatchItem& item,
                                        const ReplicaSend& send) const = 0;
  /// @return parts of the prompt of an item.
  virtual RequestInfo read_item(const BatchItem& item) const = 0;
};

}  // namespace dockpoint
