/// Planned stop of a gateway: it leaves the fleet, answers what it still accepts, and exits within
/// its grace period.

#include <spdlog/spdlog.h>

#include "gateway/gateway.hpp"
#include "gateway/retry_after.hpp"
#include "net/clock.hpp"

namespace dockpoint {
namespace {

/// A stopping node without requests exits once no caller has come for this long.
constexpr Duration kCallerAbsence = std::chrono::seconds(1);

/// The process exits this long before the grace period is over.
constexpr Duration kGraceMargin = std::chrono::milliseconds(300);

/// Time after the stop request within which running batch items may finish.
constexpr Duration kItemDrainTimeout = std::chrono::milliseconds(2500);

/// Status of calls whose outcome is not known when the process exits.
constexpr int kUnknownOutcome = 502;

}  // namespace

void Gateway::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_requested_at_ = net::steady_now();
  last_caller_at_ = stop_requested_at_;
  stop_admission_.begin(stop_requested_at_ + settings_.grace - kGraceMargin,
                        stop_requested_at_ + address_resolver_.address_validity());
  spdlog::info("gateway: stopping online={} items={}", online_.in_flight(), batch_.pending_items());
  peers_.leave();
  frontend_.set_closing(true);
  batch_.drain();
}

bool Gateway::refuse_while_stopping(const net::ExchangePtr& exchange, Duration limit) {
  if (stop_admission_.accepts(exchange->received(), exchange->received() + limit, std::nullopt)) {
    return false;
  }
  spdlog::info("gateway: call refused while stopping target={} sinceStopMs={}",
               exchange->request().target, to_ms(exchange->received() - stop_requested_at_));
  exchange->respond(503, {{"Retry-After", retry_after_value(kStoppingRetryAfter)}}, {});
  return true;
}

void Gateway::tick_stop(TimePoint now) {
  const Duration age = now - stop_requested_at_;
  if (!left_group_ && (batch_.drained() || age > kItemDrainTimeout)) {
    left_group_ = true;
    batch_.leave();
  }
  if (stop_admission_.final_answers_due(now) && !final_answers_sent_) {
    send_final_answers(age);
    return;  // Their bytes leave before the next tick.
  }
  const bool cached_addresses_expired = age > address_resolver_.address_validity();
  const bool callers_gone =
      online_.in_flight() == 0 && frontend_.active() == 0 && now - last_caller_at_ > kCallerAbsence;
  const bool idle = left_group_ && cached_addresses_expired && callers_gone;
  if (idle || age > settings_.grace - kGraceMargin) {
    spdlog::info("gateway: stopped afterMs={} online={} unsentOutput={}", to_ms(age),
                 online_.in_flight(), frontend_.has_unsent_output());
    loop_.stop();
  }
}

void Gateway::send_final_answers(Duration since_stop) {
  final_answers_sent_ = true;
  spdlog::info("gateway: requests under way end afterMs={} online={} active={}", to_ms(since_stop),
               online_.in_flight(), frontend_.active());
  online_.end_all();
  batch_.end_submissions();
  frontend_.respond_to_pending(kUnknownOutcome);
}

}  // namespace dockpoint
