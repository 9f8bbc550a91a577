#include "dockpoint/batch/records.hpp"

#include <array>
#include <utility>

#include "dockpoint/core/codec.hpp"

namespace dockpoint {
namespace {

constexpr std::uint8_t kRecordVersion = 1;

/// Outer layer of a record. The body stays serialized until its type is known.
struct Envelope {
  std::uint8_t version = kRecordVersion;
  RecordId id;
  std::uint8_t type = 0;  ///< Index in `RecordBody`; new types may only be appended.
  std::string body;
  DOCKPOINT_FIELDS(version, id, type, body)
};

template <std::size_t Index>
std::optional<RecordBody> decode_body(const std::string& bytes) {
  auto body = unpack<std::variant_alternative_t<Index, RecordBody>>(bytes);
  if (!body) {
    return std::nullopt;
  }
  return RecordBody(std::in_place_index<Index>, std::move(*body));
}

template <std::size_t... Indices>
std::optional<RecordBody> decode_body(std::size_t type, const std::string& bytes,
                                      std::index_sequence<Indices...>) {
  using Decode = std::optional<RecordBody> (*)(const std::string&);
  static constexpr std::array<Decode, sizeof...(Indices)> kDecoders{&decode_body<Indices>...};
  return type < kDecoders.size() ? kDecoders[type](bytes) : std::nullopt;
}

}  // namespace

std::string encode(const PartitionRecord& record) {
  Envelope envelope;
  envelope.id = record.id;
  envelope.type = static_cast<std::uint8_t>(record.body.index());
  envelope.body = std::visit([](const auto& body) { return pack(body); }, record.body);
  return pack(envelope);
}

std::optional<PartitionRecord> decode_partition_record(std::string_view bytes) {
  const std::optional<Envelope> envelope = unpack<Envelope>(bytes);
  if (!envelope || envelope->version != kRecordVersion) {
    return std::nullopt;
  }
  auto body = decode_body(envelope->type, envelope->body,
                          std::make_index_sequence<std::variant_size_v<RecordBody>>{});
  if (!body) {
    return std::nullopt;
  }
  return PartitionRecord{envelope->id, std::move(*body)};
}

}  // namespace dockpoint
