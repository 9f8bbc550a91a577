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

/// Abstraction of the protocols spoken by callers and replicas.
namespace dockpoint {

/// Properties of a caller's request that the gateway uses.
struct RequestInfo {
  std::string id;                     ///< Empty if the caller gave none.
  std::optional<Duration> time_left;  ///< Time that the caller will still wait.
  std::vector<PromptPart> prompt;
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< Upper limit.
  std::optional<std::uint64_t> last_event_id;
  /// Id of the caller's attempt that brought the first event of the stream that this request
  /// resumes; empty if the caller names none.
  std::string resumed_attempt{};
};

/// Values that the gateway adds to a request for a replica.
struct ReplicaSend {
  std::string replica_name;
  Duration time_left{};
  std::optional<std::uint64_t> last_event_id;  ///< The stream resumes after this event.
};

/// Whose answer a head begins, and what it says of the request. Decided once, when the head is
/// read; everything that is taken from an answer depends on it.
enum class AnswerKind {
  kOtherRequest,  ///< It answers another request on the same connection.
  kProvisional,   ///< Another head follows (status 1xx); says nothing of the request.
  kForeign,       ///< Not an answer of the replica: nothing in it counts. The request may have run.
  kNotRun,        ///< The replica has not run the request and never will.
  kWrongReplica,  ///< Another replica now has the address; the request has not run.
  kSuccess,       ///< The replica's own success.
  kFailure,       ///< The replica's own answer of any other status; the request has run.
};

/// @return whether an answer of this kind shows that the request has not run.
constexpr bool shows_not_run(AnswerKind kind) {
  return kind == AnswerKind::kNotRun || kind == AnswerKind::kWrongReplica;
}

/// Contents of the head of an answer.
struct ReplicaAnswer {
  AnswerKind kind = AnswerKind::kForeign;
  std::optional<ReportedLoad> load;
};

/// What a health check's answer says about the process that gave it.
enum class ReplicaIdentity {
  kConfirmed,  ///< It is the replica that was asked.
  kAnother,    ///< Another replica has its address.
  kNotStated,
};

/// Operations on batch jobs.
enum class JobOperation { kRead, kItemBody, kEnd };

struct JobCall {
  JobOperation operation = JobOperation::kRead;
  std::string job;
  std::string item;
  std::uint64_t position = 0;
  Duration wait{};
};

/// A range of a job's results.
struct ResultPage {
  const LedgerJob* job = nullptr;
  std::size_t first = 0;
  std::size_t count = 0;
};

/// Translates between HTTP messages and the gateway's types. Stateless.
class TrafficProtocol {
 public:
  virtual ~TrafficProtocol() = default;

  virtual RequestInfo read_request(const net::RequestHead& head) const = 0;
  /// @return the API key that the request carries; borrows the head.
  virtual Credential read_credential(const net::RequestHead& head) const = 0;
  /// Replaces the API key, and any tenant that the caller states, in the head by the given tenant.
  /// Removes the connection headers first, so that a caller that lists the tenant's header in
  /// `Connection` cannot cause it to be dropped later.
  /// @param tenant empty if there is none.
  virtual void name_tenant(net::RequestHead& head, const std::string& tenant) const = 0;
  /// @return the tenant that `name_tenant` set in the head; empty if there is none.
  virtual std::string named_tenant(const net::RequestHead& head) const = 0;
  virtual net::RequestHead replica_request(const net::RequestHead& request, std::size_t body_bytes,
                                           const ReplicaSend& send) const = 0;
  /// @param request_id of the request for which the answer is expected.
  virtual ReplicaAnswer read_answer(const net::ResponseHead& head,
                                    const std::string& request_id) const = 0;

  /// @return a health check that asks the replica for its name.
  virtual net::RequestHead identity_request(const Address& address, const std::string& health_path,
                                            const std::string& replica_name) const = 0;
  /// @param head of the answer to an `identity_request` with this name.
  virtual ReplicaIdentity read_identity(const net::ResponseHead& head,
                                        const std::string& replica_name) const = 0;

  /// @return the call, or nothing if the request does not concern a batch job.
  virtual std::optional<JobCall> read_job_call(const net::RequestHead& head) const = 0;
  /// Parses a submitted job; the tenant is taken from the head, see `name_tenant`.
  virtual Result<BatchJob> read_job(const net::RequestHead& head,
                                    const std::string& body) const = 0;
  virtual std::string write_results(const ResultPage& page) const = 0;
  virtual net::RequestHead item_request(const BatchJob& job, const BatchItem& item,
                                        const ReplicaSend& send) const = 0;
  /// @return the request properties of an item, including its prompt parts.
  virtual RequestInfo read_item(const BatchItem& item) const = 0;
};

}  // namespace dockpoint
