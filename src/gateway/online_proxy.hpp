#pragma once

#include <memory>
#include <set>
#include <string>

#include "dockpoint/admission/overload_policy.hpp"
#include "dockpoint/admission/stop_admission.hpp"
#include "gateway/buffered_answer.hpp"
#include "gateway/gateway_context.hpp"
#include "net/http_server.hpp"

namespace dockpoint {

class OnlineCall;

/// Serves online requests: chooses a replica, forwards the answer, and retries or resumes requests
/// where the route allows it. Single-threaded; borrows the context.
class OnlineProxy {
 public:
  explicit OnlineProxy(GatewayContext& context, std::uint64_t rotation_offset);
  ~OnlineProxy();

  /// Handles a request that matched `route`.
  /// @param configuration owner of the route and the tenant.
  /// @param tenant of the request; null if it has none.
  void handle(const net::ExchangePtr& exchange,
              std::shared_ptr<const RoutingConfiguration> configuration, const RouteConfig& route,
              const Tenant* tenant = nullptr);

  /// Enforces time limits; call several times a second.
  void tick(TimePoint now);

  /// Gives all requests under way a final answer, because the process exits.
  void end_all();

  std::size_t in_flight() const { return calls_.size(); }

 private:
  friend class OnlineCall;

  GatewayContext& context_;
  ServiceRotation rotation_;
  OverloadPolicy overload_;
  AnswerTimes answer_times_;
  AnswerBudget answer_budget_;
  std::set<std::shared_ptr<OnlineCall>> calls_;
};

}  // namespace dockpoint
