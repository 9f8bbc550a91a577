#include "dockpoint/streaming/stream_origin_message.hpp"

#include <utility>

#include "dockpoint/core/codec.hpp"

namespace dockpoint {
namespace {

/// First byte of a message. It is the MessagePack tag of a byte string with a two-byte length, with
/// which no other message between nodes begins.
constexpr char kStreamOriginTag = '\xc5';

struct RecordWire {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::string service;
  std::string software_version;
  DOCKPOINT_FIELDS(high, low, service, software_version)
};

struct QuestionWire {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::string service;
  DOCKPOINT_FIELDS(high, low, service)
};

struct UnknownWire {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool several_versions = false;
  bool contradictory = false;  ///< Appended: older builds do not send it.
  DOCKPOINT_FIELDS(high, low, several_versions, contradictory)
};

struct MessageWire {
  std::vector<RecordWire> records;
  std::vector<QuestionWire> questions;
  std::vector<UnknownWire> unknown;
  DOCKPOINT_FIELDS(records, questions, unknown)
};

}  // namespace

std::string encode(const StreamOriginMessage& message) {
  MessageWire wire;
  for (const StreamOriginRecord& record : message.records) {
    wire.records.push_back(
        {record.key.high, record.key.low, record.origin.service, record.origin.software_version});
  }
  for (const StreamOriginQuestion& question : message.questions) {
    wire.questions.push_back({question.key.high, question.key.low, question.service});
  }
  for (const StreamOriginUnknown& unknown : message.unknown) {
    wire.unknown.push_back(
        {unknown.key.high, unknown.key.low, unknown.several_versions, unknown.contradictory});
  }
  return kStreamOriginTag + pack(wire);
}

bool is_stream_origin_message(std::string_view bytes) {
  return !bytes.empty() && bytes.front() == kStreamOriginTag;
}

std::optional<StreamOriginMessage> decode_stream_origin_message(std::string_view bytes) {
  if (!is_stream_origin_message(bytes)) {
    return std::nullopt;
  }
  auto wire = unpack<MessageWire>(bytes.substr(1));
  if (!wire) {
    return std::nullopt;
  }
  StreamOriginMessage message;
  for (RecordWire& record : wire->records) {
    message.records.push_back({{record.high, record.low},
                               {std::move(record.service), std::move(record.software_version)}});
  }
  for (QuestionWire& question : wire->questions) {
    message.questions.push_back({{question.high, question.low}, std::move(question.service)});
  }
  for (const UnknownWire& unknown : wire->unknown) {
    message.unknown.push_back(
        {{unknown.high, unknown.low}, unknown.several_versions, unknown.contradictory});
  }
  return message;
}

}  // namespace dockpoint
