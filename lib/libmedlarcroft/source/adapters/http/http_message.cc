#include "adapters/http/http_message.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <cctype>

namespace medlarcroft::adapters {

bool IsSameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::vector<std::string> HeadersNamedByConnection(const HttpHeaders& headers) {
  std::vector<std::string> names;
  for (const HttpHeader& field : headers.Fields()) {
    if (!IsSameHeaderName(field.name, "Connection")) {
      continue;
    }
    for (const auto& token :
         boost::beast::http::token_list(boost::beast::string_view(
             field.value.data(), field.value.size()))) {
      names.emplace_back(token.data(), token.size());
    }
  }
  return names;
}

void HttpHeaders::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

void HttpHeaders::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const HttpHeader& field) {
    return IsSameHeaderName(field.name, name);
  });
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : fields_) {
    if (IsSameHeaderName(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> HttpRequest::FindQuery(
    std::string_view name) const {
  const auto found = query.find(name);
  if (found == query.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace medlarcroft::adapters
