#include "gateway/online_proxy.hpp"

#include "gateway/online_call.hpp"

namespace dockpoint {

OnlineProxy::OnlineProxy(GatewayContext& context, std::uint64_t rotation_offset)
    : context_(context), rotation_(rotation_offset), overload_(context.knobs) {}

OnlineProxy::~OnlineProxy() = default;

void OnlineProxy::handle(const net::ExchangePtr& exchange,
                         std::shared_ptr<const RoutingConfiguration> configuration,
                         const RouteConfig& route, const Tenant* tenant) {
  const auto call =
      std::make_shared<OnlineCall>(*this, exchange, std::move(configuration), route, tenant);
  calls_.insert(call);
  call->start();
}

void OnlineProxy::tick(TimePoint now) {
  const auto calls = calls_;
  for (const auto& call : calls) {
    call->tick(now);
  }
}

void OnlineProxy::end_all() {
  const auto calls = calls_;
  for (const auto& call : calls) {
    call->end_before_exit();
  }
}

}  // namespace dockpoint
