#include "gateway/quarantine_endpoint.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

#include "net/clock.hpp"

namespace dockpoint {
namespace {

nlohmann::json describe(const CrashWatch& watch, const RequestFingerprint& request, TimePoint now) {
  const CrashReport known = watch.known(request);
  nlohmann::json ends = nlohmann::json::array();
  for (const CrashEvidence& evidence : known.evidence) {
    ends.push_back({{"replica", Hash128{0, evidence.replica}.hex().substr(16)},
                    {"ageMs", to_ms(now - evidence.ended_at)}});
  }
  nlohmann::json entry{{"content", request.hex()}, {"ends", std::move(ends)}};
  if (const auto verdict = watch.check(request, now)) {
    entry["quarantinedForMs"] = to_ms(verdict->retry_after);
  }
  for (const RequestClearance& clearance : known.clearances) {
    entry["clearedAgeMs"] = to_ms(now - clearance.cleared_at);
  }
  return entry;
}

}  // namespace

bool serve_quarantine(CrashWatch& watch, const net::ExchangePtr& exchange,
                      const std::string& path) {
  const std::string_view view(path);
  if (!view.starts_with(kQuarantinePath)) {
    return false;
  }
  const std::string_view rest = view.substr(std::string_view(kQuarantinePath).size());
  const std::string& method = exchange->request().method;
  if (method == "GET" && rest.empty()) {
    const TimePoint now = net::steady_now();
    nlohmann::json entries = nlohmann::json::array();
    for (const RequestFingerprint& request : watch.decided(now)) {
      entries.push_back(describe(watch, request, now));
    }
    exchange->respond(200, {{"Content-Type", "application/json"}}, entries.dump());
    return true;
  }
  const auto request = rest.starts_with('/') ? Hash128::parse(rest.substr(1)) : std::nullopt;
  if (method != "DELETE" || !request) {
    exchange->respond(400, {}, "GET /quarantine, or DELETE /quarantine/FINGERPRINT (32 digits)\n");
    return true;
  }
  exchange->respond(watch.clear(*request) ? 200 : 404, {}, {});
  return true;
}

}  // namespace dockpoint
