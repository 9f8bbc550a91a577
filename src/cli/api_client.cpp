#include "cli/api_client.hpp"

#include <Poco/Net/FilePartSource.h>
#include <Poco/Net/HTMLForm.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <thread>

#include "dockpoint/core/json_reader.hpp"
#include "http/answer_body.hpp"
#include "http/online_handler.hpp"

namespace dockpoint {
namespace {

constexpr std::chrono::milliseconds kTimeout{30'000};
constexpr int kMaximumAttempts = 10;
constexpr std::size_t kMaximumAnswerBytes = 1024 * 1024;
constexpr int kUnavailableStatus = 503;

ApiClient::Answer parse_answer(int status, std::string body) {
  ApiClient::Answer answer{status, new Poco::JSON::Object, std::move(body)};
  error_of([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(answer.json, parse_json_object(answer.body));
    return {};
  });
  return answer;
}

/// @return the delay before a retry, or zero if the request should not be retried.
std::chrono::seconds retry_delay(const ApiClient::Answer& answer) {
  Problems problems;
  ObjectReader error = ObjectReader(answer.json, "", problems).object("error");
  const bool not_run = error.text("run") == to_string(RunState::kNotRun);
  const bool retryable = answer.status == kUnavailableStatus && not_run;
  return std::chrono::seconds(retryable ? error.integer("retry_after", {}, 0) : 0);
}

}  // namespace

std::string ApiClient::Answer::error_text() const {
  Problems problems;
  ObjectReader error = ObjectReader(json, "", problems).object("error");
  const std::string message = error.text("message", body);
  const std::string code = error.text("code");
  const std::string run = error.text("run");
  std::string text = message + " (" + (code.empty() ? std::to_string(status) : code);
  text += run.empty() ? ")" : ", run: " + run + ")";
  return text;
}

ApiClient::ApiClient(std::string address, std::string tenant)
    : address_(std::move(address)), tenant_(std::move(tenant)), sessions_(kTimeout) {}

ApiClient::Headers ApiClient::with_tenant(const Headers& headers) const {
  Headers all = headers;
  if (!tenant_.empty()) {
    all.emplace_back(kTenantHeader, tenant_);
  }
  return all;
}

Result<ApiClient::Answer> ApiClient::send(const std::string& method, const std::string& path,
                                          const std::string& body, const Headers& headers) {
  HttpExchange request;
  request.address = address_;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers = with_tenant(headers);
  request.timeout = kTimeout;
  for (int attempt = 1;; ++attempt) {
    HttpOutcome outcome = exchange(sessions_, request);
    if (!outcome.answer) {
      return fail(ResultCode::kPeerUnreachable,
                  "no answer from " + address_ + ": " + outcome.failure.reason);
    }
    Answer answer = parse_answer(outcome.answer->status, std::move(outcome.answer->body));
    const std::chrono::seconds delay = retry_delay(answer);
    if (delay.count() == 0 || attempt == kMaximumAttempts) {
      return answer;
    }
    std::this_thread::sleep_for(delay);
  }
}

Result<ApiClient::Answer> ApiClient::upload(const std::string& path) {
  HttpSessionPool::Session session = sessions_.acquire(address_);
  try {
    Poco::Net::HTMLForm form(Poco::Net::HTMLForm::ENCODING_MULTIPART);
    form.add("purpose", "batch");
    form.addPart("file", new Poco::Net::FilePartSource(path, "application/jsonl"));
    Poco::Net::HTTPRequest request("POST", "/v1/files", Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : with_tenant({})) {
      request.set(name, value);
    }
    form.prepareSubmit(request);
    form.write(session->sendRequest(request));
    Poco::Net::HTTPResponse response;
    std::istream& in = session->receiveResponse(response);
    BodyReservation reservation(sessions_.answers());
    std::optional<std::string> body =
        read_whole_body(*session, response, in, kMaximumAnswerBytes, reservation);
    if (!body) {
      return fail(ResultCode::kPeerUnreachable, "the answer of " + address_ + " broke off");
    }
    return parse_answer(response.getStatus(), *std::move(body));
  } catch (const Poco::Exception& exception) {
    return fail(ResultCode::kPeerUnreachable,
                "cannot upload " + path + " to " + address_ + ": " + exception.displayText());
  }
}

Result<int> ApiClient::stream(const std::string& method, const std::string& path,
                              const std::string& body, const Headers& headers,
                              const std::function<void(const std::string& line)>& consume) {
  HttpSessionPool::Session session = sessions_.acquire(address_);
  try {
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : with_tenant(headers)) {
      request.set(name, value);
    }
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session->sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session->receiveResponse(response);
    std::uint64_t received_bytes = 0;
    for (std::string line; std::getline(in, line);) {
      received_bytes += line.size() + (in.eof() ? 0 : 1);
      consume(line);
    }
    if (in.bad() || judge_body_end(*session, response, received_bytes) != BodyEnd::kComplete) {
      return fail(ResultCode::kPeerUnreachable, "the answer of " + address_ + " broke off");
    }
    return response.getStatus();
  } catch (const Poco::Exception& exception) {
    return fail(ResultCode::kPeerUnreachable,
                "no whole answer from " + address_ + ": " + exception.displayText());
  }
}

}  // namespace dockpoint
