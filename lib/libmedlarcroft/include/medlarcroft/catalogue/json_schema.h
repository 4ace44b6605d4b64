#ifndef MEDLARCROFT_CATALOGUE_JSON_SCHEMA_H_
#define MEDLARCROFT_CATALOGUE_JSON_SCHEMA_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "medlarcroft/catalogue/field_fault.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

/// @file
/// @brief Field descriptors for the JSON form of structs. The schema of a
/// struct is a tuple of descriptors that is used to read, validate and write
/// it, which keeps the three consistent.

namespace medlarcroft::catalogue {

using Json = nlohmann::ordered_json;

/// @brief How fields that this version does not know are handled.
enum class UnknownFields {
  kRefuse,  ///< For operator input: a misspelt limit must be reported.
  kIgnore,  ///< For stored data: a newer version may have written the field.
};

/// @brief Collects the faults found while a document is read.
class FaultSink {
 public:
  explicit FaultSink(UnknownFields policy) : policy_(policy) {}

  void Add(const std::string& path, FaultCode code, std::string allowed);

  [[nodiscard]] UnknownFields Policy() const { return policy_; }
  [[nodiscard]] const FieldFaults& Faults() const { return faults_; }

 private:
  UnknownFields policy_;
  FieldFaults faults_;
};

/// @brief Validation rule of a text field, with a description of what it
/// allows.
struct TextRule {
  bool (*accepts)(std::string_view text);
  std::string_view allowed;
};

/// @return `path` with the object member `key` appended.
[[nodiscard]] std::string JoinPath(const std::string& path,
                                   std::string_view key);

/// @return the text in `value`, or nullptr after reporting a fault.
const std::string* ReadText(const Json& value,
                            const std::string& path,
                            const TextRule& rule,
                            FaultSink& sink);

/// @brief Reads an integer within bounds.
/// @return false after reporting a fault.
bool ReadInteger(const Json& value,
                 const std::string& path,
                 std::int64_t minimum,
                 std::int64_t maximum,
                 FaultSink& sink,
                 std::int64_t& out);

/// @brief Reads a finite number within bounds.
bool ReadReal(const Json& value,
              const std::string& path,
              double minimum,
              double maximum,
              FaultSink& sink,
              double& out);

/// @brief Reads a boolean.
/// @return false after reporting a fault.
bool ReadFlag(const Json& value,
              const std::string& path,
              FaultSink& sink,
              bool& out);

/// @brief Reads one of `names` and sets `index` to its position.
/// @return false after reporting a fault.
bool ReadChoice(const Json& value,
                const std::string& path,
                std::span<const std::string_view> names,
                FaultSink& sink,
                std::size_t& index);

inline const std::string& TextOf(const std::string& text) {
  return text;
}

template <typename Tag>
const std::string& TextOf(const Identifier<Tag>& identifier) {
  return identifier.Value();
}

/// @brief Field for a string or an identifier.
template <typename Struct, typename Value>
struct TextField {
  std::string_view key;
  Value Struct::*member;
  TextRule rule;
  bool is_required = true;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    if (const std::string* text = ReadText(value, path, rule, sink)) {
      out.*member = Value(*text);
    }
  }
  [[nodiscard]] Json Write(const Struct& in) const {
    return TextOf(in.*member);
  }
};

/// @brief Field for a duration, written as an integral number of `unit`.
template <typename Struct>
struct DurationField {
  std::string_view key;
  Duration Struct::*member;
  Duration unit;
  std::int64_t minimum;
  std::int64_t maximum;
  bool is_required = false;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    std::int64_t count = 0;
    if (ReadInteger(value, path, minimum, maximum, sink, count)) {
      out.*member = unit * count;
    }
  }
  [[nodiscard]] Json Write(const Struct& in) const {
    return (in.*member).count() / unit.count();
  }
};

/// @brief Field for an integer.
template <typename Struct, typename Integer>
struct CountField {
  std::string_view key;
  Integer Struct::*member;
  std::int64_t minimum;
  std::int64_t maximum;
  bool is_required = false;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    std::int64_t count = 0;
    if (ReadInteger(value, path, minimum, maximum, sink, count)) {
      out.*member = static_cast<Integer>(count);
    }
  }
  [[nodiscard]] Json Write(const Struct& in) const { return in.*member; }
};

/// @brief Field for a floating-point number.
template <typename Struct>
struct RealField {
  std::string_view key;
  double Struct::*member;
  double minimum;
  double maximum;
  bool is_required = false;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    double number = 0;
    if (ReadReal(value, path, minimum, maximum, sink, number)) {
      out.*member = number;
    }
  }
  [[nodiscard]] Json Write(const Struct& in) const { return in.*member; }
};

/// @brief Field for a boolean.
template <typename Struct>
struct FlagField {
  std::string_view key;
  bool Struct::*member;
  bool is_required = false;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    ReadFlag(value, path, sink, out.*member);
  }
  [[nodiscard]] Json Write(const Struct& in) const { return in.*member; }
};

/// @brief Field for an enumerator; `names` are in the order of its values,
/// which start at 0.
template <typename Struct, typename Enum>
struct ChoiceField {
  std::string_view key;
  Enum Struct::*member;
  std::span<const std::string_view> names;
  bool is_required = true;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    std::size_t index = 0;
    if (ReadChoice(value, path, names, sink, index)) {
      out.*member = static_cast<Enum>(index);
    }
  }
  [[nodiscard]] Json Write(const Struct& in) const {
    return names[static_cast<std::size_t>(in.*member)];
  }
};

template <typename Struct, typename... Fields>
void ReadObject(const Json& value,
                const std::string& path,
                const std::tuple<Fields...>& schema,
                Struct& out,
                FaultSink& sink);

template <typename Struct, typename... Fields>
void WriteObject(const Struct& in,
                 const std::tuple<Fields...>& schema,
                 Json& out);

/// @brief Field for a nested object.
template <typename Struct, typename Inner, typename Schema>
struct ObjectField {
  std::string_view key;
  Inner Struct::*member;
  Schema schema;
  bool is_required = false;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    ReadObject(value, path, schema, out.*member, sink);
  }
  [[nodiscard]] Json Write(const Struct& in) const {
    Json value = Json::object();
    WriteObject(in.*member, schema, value);
    return value;
  }
};

/// @brief Field for a list of objects.
template <typename Struct, typename Inner, typename Schema>
struct ListField {
  std::string_view key;
  std::vector<Inner> Struct::*member;
  Schema schema;
  std::size_t max_size;
  bool is_required = false;

  void Read(const Json& value,
            const std::string& path,
            Struct& out,
            FaultSink& sink) const {
    if (!value.is_array()) {
      sink.Add(path, FaultCode::kWrongType, "a list");
      return;
    }
    if (value.size() > max_size) {
      sink.Add(path, FaultCode::kTooLarge,
               "at most " + std::to_string(max_size) + " items");
      return;
    }

    for (std::size_t i = 0; i < value.size(); ++i) {
      Inner inner;
      ReadObject(value[i], path + "[" + std::to_string(i) + "]", schema, inner,
                 sink);
      (out.*member).push_back(std::move(inner));
    }
  }
  [[nodiscard]] Json Write(const Struct& in) const {
    Json list = Json::array();
    for (const Inner& inner : in.*member) {
      Json value = Json::object();
      WriteObject(inner, schema, value);
      list.push_back(std::move(value));
    }
    return list;
  }
};

// Explicit deduction guides: Clang before version 17 does not deduce template
// arguments of aggregates.
template <typename Struct, typename Value, typename... Rest>
TextField(std::string_view, Value Struct::*, Rest...)
    -> TextField<Struct, Value>;
template <typename Struct, typename... Rest>
DurationField(std::string_view, Duration Struct::*, Rest...)
    -> DurationField<Struct>;
template <typename Struct, typename Integer, typename... Rest>
CountField(std::string_view, Integer Struct::*, Rest...)
    -> CountField<Struct, Integer>;
template <typename Struct, typename... Rest>
RealField(std::string_view, double Struct::*, Rest...) -> RealField<Struct>;
template <typename Struct, typename... Rest>
FlagField(std::string_view, bool Struct::*, Rest...) -> FlagField<Struct>;
template <typename Struct, typename Inner, typename Schema, typename... Rest>
ObjectField(std::string_view, Inner Struct::*, Schema, Rest...)
    -> ObjectField<Struct, Inner, Schema>;
template <typename Struct, typename Inner, typename Schema, typename... Rest>
ListField(std::string_view, std::vector<Inner> Struct::*, Schema, Rest...)
    -> ListField<Struct, Inner, Schema>;

/// @brief Reports every member of `value` that is not in `known`, unless the
/// sink ignores unknown fields.
void ReportUnknownFields(const Json& value,
                         const std::string& path,
                         std::span<const std::string_view> known,
                         FaultSink& sink);

template <typename Struct, typename Field>
void ReadField(const Json& object,
               const std::string& path,
               const Field& field,
               Struct& out,
               FaultSink& sink) {
  const std::string field_path = JoinPath(path, field.key);
  const auto found = object.find(field.key);
  if (found != object.end()) {
    field.Read(*found, field_path, out, sink);
    return;
  }
  if (field.is_required) {
    sink.Add(field_path, FaultCode::kMissing, "this field is required");
  }
}

template <typename Struct, typename... Fields>
void ReadObject(const Json& value,
                const std::string& path,
                const std::tuple<Fields...>& schema,
                Struct& out,
                FaultSink& sink) {
  if (!value.is_object()) {
    sink.Add(path, FaultCode::kWrongType, "an object");
    return;
  }
  std::apply(
      [&](const auto&... fields) {
        (ReadField(value, path, fields, out, sink), ...);
        const std::array<std::string_view, sizeof...(Fields)> known{
            fields.key...};
        ReportUnknownFields(value, path, known, sink);
      },
      schema);
}

template <typename Struct, typename... Fields>
void WriteObject(const Struct& in,
                 const std::tuple<Fields...>& schema,
                 Json& out) {
  std::apply(
      [&](const auto&... fields) {
        ((out[std::string(fields.key)] = fields.Write(in)), ...);
      },
      schema);
}

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_JSON_SCHEMA_H_
