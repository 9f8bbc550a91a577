#include "dockpoint/membership/stream_origins.hpp"

#include <algorithm>
#include <utility>

#include "dockpoint/membership/witnesses.hpp"

namespace dockpoint {

StreamOrigins::StreamOrigins(const Knobs& knobs, const SoftwareVersions& versions, std::string node,
                             Members members, Send send, Confirm confirm)
    : knobs_(knobs),
      versions_(versions),
      node_(std::move(node)),
      members_(std::move(members)),
      send_(std::move(send)),
      confirm_(std::move(confirm)),
      table_(knobs) {}

bool StreamOrigins::must_announce(const std::string& service) const {
  return view_partial_ || versions_.several(service);
}

void StreamOrigins::record(const StreamKey& key, const StreamOrigin& origin, TimePoint now) {
  const bool announced = must_announce(origin.service);
  table_.record({key, origin}, announced, now);
  if (announced) {
    announce({{key, origin}}, now);
  }
}

void StreamOrigins::announce(std::vector<StreamOriginRecord> records, TimePoint now) {
  send_to_witnesses(records);
  repeats_.push_back({now + knobs_.stream_origin_repeat, std::move(records)});
}

void StreamOrigins::send_to_witnesses(const std::vector<StreamOriginRecord>& records) {
  std::map<std::string, std::vector<StreamOriginRecord>> by_address;
  for (const StreamOriginRecord& record : records) {
    for (const std::string& address : witnesses(record.key, knobs_.stream_origin_witnesses)) {
      by_address[address].push_back(record);
    }
  }
  for (const auto& [address, told] : by_address) {
    send_records(address, told);
  }
}

void StreamOrigins::send_records(const std::string& address,
                                 const std::vector<StreamOriginRecord>& records) {
  for (std::size_t begin = 0; begin < records.size(); begin += kOriginsPerMessage) {
    const std::size_t end = std::min(records.size(), begin + kOriginsPerMessage);
    StreamOriginMessage message;
    message.records.assign(records.begin() + static_cast<std::ptrdiff_t>(begin),
                           records.begin() + static_cast<std::ptrdiff_t>(end));
    send_(address, encode(message));
  }
}

std::vector<std::string> StreamOrigins::witnesses(const StreamKey& key, std::size_t count) const {
  std::vector<std::string> addresses;
  for (const Member* member :
       select_witnesses(key.low, members_(), Capability::kStreamOrigins, count + 1)) {
    if (member->id != node_ && addresses.size() < count) {
      addresses.push_back(member->peer_address);
    }
  }
  return addresses;
}

void StreamOrigins::resolve(const StreamKey& key, StreamIdentity identity,
                            const std::string& service, TimePoint now, Resolved resolved) {
  const std::optional<KnownOrigin> known = table_.find(key, now);
  if (known && identity == StreamIdentity::kAttempt) {
    resolved({known->origin, OriginSource::kOwnRecord, known->age});
    return;
  }
  if (table_.contradictory(key)) {
    resolved({{}, OriginSource::kUnknown, {}});
    return;
  }
  const auto pending = inquiries_.find(key);
  if (pending != inquiries_.end()) {
    std::vector<Resolved>& waiting =
        identity == StreamIdentity::kContent ? pending->second.later : pending->second.resolved;
    waiting.push_back(std::move(resolved));
    return;
  }
  const std::vector<std::string> asked = witnesses(key, knobs_.stream_origin_asked);
  const auto added = inquiries_.emplace(
      key, PendingInquiry{OriginInquiry(asked, now, identity), service, {std::move(resolved)}});
  if (known) {
    added.first->second.inquiry.add_own_record(known->origin);
  }
  ask(key, added.first->second);
  finish_if_certain(key, now);
}

void StreamOrigins::take(const StreamOriginMessage& message, const std::string& address,
                         TimePoint now) {
  for (const StreamOriginRecord& record : message.records) {
    table_.record(record, true, now);
    const auto pending = inquiries_.find(record.key);
    if (pending != inquiries_.end()) {
      pending->second.inquiry.add_record(address, record.origin);
      finish_if_certain(record.key, now);
    }
  }
  for (const StreamOriginQuestion& question : message.questions) {
    answer(question, address, now);
  }
  for (const StreamOriginUnknown& unknown : message.unknown) {
    const auto pending = inquiries_.find(unknown.key);
    if (pending != inquiries_.end()) {
      pending->second.inquiry.add_unknown(address, unknown.several_versions, unknown.contradictory);
      finish_if_certain(unknown.key, now);
    }
  }
}

void StreamOrigins::answer(const StreamOriginQuestion& question, const std::string& address,
                           TimePoint now) {
  StreamOriginMessage message;
  if (const auto known = table_.find(question.key, now)) {
    message.records.push_back({question.key, known->origin});
  } else {
    message.unknown.push_back(
        {question.key, versions_.several(question.service), table_.contradictory(question.key)});
  }
  send_(address, encode(message));
}

VersionView StreamOrigins::view_for(const PendingInquiry& pending) const {
  VersionView view;
  view.history_known = versions_.history_known();
  view.confirmed = versions_.confirmed_since(pending.inquiry.asked_at());
  view.may_be_several = view_partial_ || versions_.several(pending.service);
  if (const std::optional<std::string> version = versions_.sole(pending.service)) {
    view.sole = StreamOrigin{pending.service, *version};
  }
  return view;
}

void StreamOrigins::finish_if_certain(const StreamKey& key, TimePoint now) {
  const auto pending = inquiries_.find(key);
  const OriginInquiry& inquiry = pending->second.inquiry;
  const VersionView view = view_for(pending->second);
  // Limits end at ticks only, which notice pauses of this process.
  auto verdict = inquiry.verdict(view, last_tick_, knobs_);
  if (!verdict) {
    if (inquiry.needs_confirmation(view)) {
      confirm_(inquiry.asked_at());
    }
    return;
  }
  verdict->age = now - inquiry.asked_at();
  const PendingInquiry ended = std::move(pending->second);
  inquiries_.erase(pending);
  for (const Resolved& notify : ended.resolved) {
    notify(*verdict);
  }
  if (!ended.later.empty()) {
    resolve(key, ended.inquiry.identity(), ended.service, now,
            [later = ended.later](const OriginVerdict& found) {
              for (const Resolved& notify : later) {
                notify(found);
              }
            });
  }
}

void StreamOrigins::announce_earlier_streams(TimePoint now) {
  std::vector<StreamOriginRecord> records = table_.take_unannounced(
      [this](const std::string& service) { return must_announce(service); });
  if (!records.empty()) {
    announce(std::move(records), now);
  }
}

void StreamOrigins::confirmed(TimePoint now) {
  finish_certain(now);
}

void StreamOrigins::ask(const StreamKey& key, const PendingInquiry& pending) {
  const std::string question = encode(StreamOriginMessage{{}, {{key, pending.service}}, {}});
  for (const std::string& address : pending.inquiry.awaited()) {
    send_(address, question);
  }
}

void StreamOrigins::finish_certain(TimePoint now) {
  std::vector<StreamKey> pending;
  for (const auto& [key, entry] : inquiries_) {
    pending.push_back(key);
  }
  for (const StreamKey& key : pending) {
    if (inquiries_.contains(key)) {
      finish_if_certain(key, now);
    }
  }
}

void StreamOrigins::tick(TimePoint now) {
  // After a pause of this process the answers may wait in its socket.
  const bool paused = now - last_tick_ > knobs_.stream_origin_question_limit / 2;
  last_tick_ = now;
  table_.forget_old(now);
  announce_earlier_streams(now);
  while (!repeats_.empty() && repeats_.front().at <= now) {
    send_to_witnesses(repeats_.front().records);
    repeats_.pop_front();
  }
  for (auto& [key, entry] : inquiries_) {
    if (paused) {
      entry.inquiry.restart(now);
    }
    if (entry.inquiry.repeat_due(now, knobs_)) {
      ask(key, entry);
    }
  }
  finish_certain(now);
}

}  // namespace dockpoint
