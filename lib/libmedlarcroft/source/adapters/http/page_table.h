#ifndef MEDLARCROFT_ADAPTERS_HTTP_PAGE_TABLE_H_
#define MEDLARCROFT_ADAPTERS_HTTP_PAGE_TABLE_H_

#include <algorithm>
#include <optional>
#include <span>
#include <string_view>

#include "adapters/http/http_message.h"

namespace medlarcroft::adapters {

/// @brief A page of an object: its path and the member function that renders
/// it.
template <typename Owner>
struct Page {
  std::string_view path;
  HttpResponse (Owner::*make)(const HttpRequest&) const;
};

/// @return the rendered page for the request's path, or nullopt when there is
/// none.
template <typename Owner>
[[nodiscard]] std::optional<HttpResponse> ServePage(
    const Owner& owner,
    std::span<const Page<Owner>> pages,
    const HttpRequest& request) {
  const auto page = std::ranges::find(pages, request.path, &Page<Owner>::path);
  if (page == pages.end()) {
    return std::nullopt;
  }
  return (owner.*page->make)(request);
}

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_PAGE_TABLE_H_
