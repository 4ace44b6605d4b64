#include "medlarcroft/catalogue/entry_codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>
#include <utility>

#include "entry_schema.h"

namespace medlarcroft::catalogue {

namespace {

constexpr std::array<std::string_view, 4> kKinds{"service", "failure-domain",
                                                 "link", "drain"};
constexpr std::int64_t kMaxVersion = std::int64_t{1} << 53;

/// @brief Fields common to documents of all kinds.
struct Envelope {
  EntryName name;
  OwnerName owner;
  std::uint64_t version = 0;
  std::uint64_t revision = 0;
};

constexpr auto kEnvelope = std::make_tuple(
    TextField{"entry", &Envelope::name, schema::kNameRule, false},
    TextField{"owner", &Envelope::owner, schema::kNameRule, false},
    CountField{"version", &Envelope::version, 0, kMaxVersion},
    CountField{"revision", &Envelope::revision, 0, kMaxVersion});

bool IsLetterOrDigit(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0;
}

bool IsNameCharacter(char character) {
  return IsLetterOrDigit(character) || character == '.' || character == '_' ||
         character == '-';
}

bool IsNumberUpTo(std::string_view text, unsigned maximum) {
  unsigned value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return !text.empty() && text.size() <= 5 && error == std::errc() &&
         stop == end && value <= maximum;
}

bool IsIpv4(std::string_view text) {
  int parts = 0;
  while (true) {
    const auto dot = text.find('.');
    if (!IsNumberUpTo(text.substr(0, dot), 255)) {
      return false;
    }
    ++parts;
    if (dot == std::string_view::npos) {
      return parts == 4;
    }
    text.remove_prefix(dot + 1);
  }
}

bool IsBracketedIpv6(std::string_view text) {
  if (text.size() < 4 || text.front() != '[' || text.back() != ']') {
    return false;
  }
  const std::string_view inner = text.substr(1, text.size() - 2);
  return inner.find(':') != std::string_view::npos &&
         std::all_of(inner.begin(), inner.end(), [](char character) {
           return std::isxdigit(static_cast<unsigned char>(character)) != 0 ||
                  character == ':' || character == '.';
         });
}

/// @brief Parser callback that detects duplicate keys and excessive nesting.
/// With a duplicate key, the parser would keep one of the two values and the
/// operator would not learn which.
class JsonStructureChecker {
 public:
  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    if (event == Json::parse_event_t::object_start) {
      keys_.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      keys_.pop_back();
    } else if (event == Json::parse_event_t::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      has_duplicate_ |= !keys_.back().insert(key).second;
    }
    is_too_deep_ |= depth > kMaxDepth;
    return true;
  }

  [[nodiscard]] bool HasDuplicate() const { return has_duplicate_; }
  [[nodiscard]] bool IsTooDeep() const { return is_too_deep_; }

 private:
  static constexpr int kMaxDepth = 16;

  std::vector<std::set<std::string>> keys_;
  bool has_duplicate_ = false;
  bool is_too_deep_ = false;
};

Result<Json, FieldFaults> ParseJson(std::string_view document) {
  if (document.size() > kMaxEntryBytes) {
    return FieldFaults{
        {.path = "",
         .code = FaultCode::kTooLarge,
         .allowed = "at most " + std::to_string(kMaxEntryBytes) + " bytes"}};
  }
  JsonStructureChecker checker;
  Json json = Json::parse(document, std::ref(checker), false);
  if (!json.is_object() || checker.IsTooDeep()) {
    return FieldFaults{{.path = "",
                        .code = FaultCode::kNotJson,
                        .allowed = "one JSON object in UTF-8"}};
  }
  if (checker.HasDuplicate()) {
    return FieldFaults{{.path = "",
                        .code = FaultCode::kDuplicate,
                        .allowed = "each key once in an object"}};
  }
  return json;
}

template <std::size_t kIndex>
EntryBody ReadBody(const Json& json, FaultSink& sink) {
  std::variant_alternative_t<kIndex, EntryBody> body;
  ReadObject(json, "", schema::SchemaOf<decltype(body)>(), body, sink);
  return body;
}

using BodyReader = EntryBody (*)(const Json& json, FaultSink& sink);
/// In the order of `kKinds` and of the alternatives of `EntryBody`.
constexpr std::array<BodyReader, 4> kBodyReaders{&ReadBody<0>, &ReadBody<1>,
                                                 &ReadBody<2>, &ReadBody<3>};

template <typename Item, typename Name>
void ReportDuplicates(const std::vector<Item>& items,
                      Name Item::*member,
                      const std::string& list,
                      std::string_view key,
                      FaultSink& sink) {
  std::set<Name> seen;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!seen.insert(items[i].*member).second) {
      sink.Add(list + "[" + std::to_string(i) + "]." + std::string(key),
               FaultCode::kDuplicate, "each name once in the list");
    }
  }
}

/// @brief Validates a body without reference to other entries.
struct BodyChecker {
  FaultSink& sink;

  void operator()(const ServiceEntry& service) const {
    ReportDuplicates(service.targets, &TargetSpec::name, "targets", "name",
                     sink);
    ReportDuplicates(service.brands, &BrandShare::brand, "brands", "brand",
                     sink);
  }
  void operator()(const LinkEntry& link) const {
    if (link.from == link.to && !link.from.IsEmpty()) {
      sink.Add("to", FaultCode::kBadFormat, "another failure domain than from");
    }
  }
  void operator()(const FailureDomainEntry&) const {}
  void operator()(const DrainEntry&) const {}
};

/// @brief Moves the envelope fields out of `json`, leaving only the body.
Envelope ExtractEnvelope(Json& json, FaultSink& sink) {
  Json common = Json::object();
  for (const char* key : {"entry", "owner", "version", "revision"}) {
    const auto found = json.find(key);
    if (found != json.end()) {
      common[key] = std::move(*found);
      json.erase(found);
    }
  }

  Envelope envelope;
  ReadObject(common, "", kEnvelope, envelope, sink);
  return envelope;
}

}  // namespace

namespace schema {

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         IsLetterOrDigit(text.front()) &&
         std::all_of(text.begin(), text.end(), &IsNameCharacter);
}

bool IsSocketAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  return (IsIpv4(host) || IsBracketedIpv6(host)) && port != "0" &&
         IsNumberUpTo(port, 65535);
}

bool IsReason(std::string_view text) {
  return text.size() <= kMaxReasonLength;
}

}  // namespace schema

bool IsEntryName(std::string_view name) {
  return schema::IsName(name);
}

std::string_view KindOf(const EntryBody& body) {
  return kKinds.at(body.index());
}

std::string_view NameOf(DrainSubject subject) {
  return schema::kDrainSubjects.at(static_cast<std::size_t>(subject));
}

Result<Entry, FieldFaults> ParseEntry(std::string_view document,
                                      UnknownFields policy) {
  auto parsed = ParseJson(document);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  Json json = TakeValue(std::move(parsed));

  FaultSink sink(policy);
  const auto kind = json.find("kind");
  if (kind == json.end()) {
    sink.Add("kind", FaultCode::kMissing, "this field is required");
    return sink.Faults();
  }
  std::size_t index = 0;
  if (!ReadChoice(*kind, "kind", kKinds, sink, index)) {
    return sink.Faults();
  }
  json.erase("kind");

  const Envelope envelope = ExtractEnvelope(json, sink);
  EntryBody body = kBodyReaders.at(index)(json, sink);
  std::visit(BodyChecker{sink}, body);
  if (!sink.Faults().empty()) {
    return sink.Faults();
  }
  return Entry{.name = envelope.name,
               .owner = envelope.owner,
               .version = envelope.version,
               .revision = envelope.revision,
               .body = std::move(body)};
}

std::string FormatEntry(const Entry& entry) {
  Json json = Json::object();
  json["kind"] = KindOf(entry.body);
  if (!entry.name.IsEmpty()) {
    json["entry"] = entry.name.Value();
  }
  if (!entry.owner.IsEmpty()) {
    json["owner"] = entry.owner.Value();
  }
  json["version"] = entry.version;
  json["revision"] = entry.revision;
  std::visit(
      [&json](const auto& body) {
        using Body = std::remove_cvref_t<decltype(body)>;
        WriteObject(body, schema::SchemaOf<Body>(), json);
      },
      entry.body);
  return json.dump();
}

}  // namespace medlarcroft::catalogue
