#include "adapters/console/steerd_client.h"

#include <future>
#include <utility>

namespace medlarcroft::adapters {

namespace {

/// A catalogue entry can be 1 MB, a status response with 880 hosts about 0.2
/// MB.
constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

}  // namespace

SteerdClient::SteerdClient(Options options)
    : options_(std::move(options)), client_({.ca_file = options_.ca_file}) {}

Result<SteerdResponse, NoSteerdResponse> SteerdClient::Send(
    const std::string& method,
    const std::string& path,
    const HttpHeaders& headers,
    const std::string& body) {
  NoSteerdResponse failure;
  for (std::size_t i = 0; i < options_.urls.size(); ++i) {
    const std::size_t index = (preferred_ + i) % options_.urls.size();
    ClientRequest request = MakeRequest(options_.urls[index], method, path);
    for (const HttpHeader& field : headers.Fields()) {
      request.headers.Add(field.name, field.value);
    }
    request.body = body;
    ClientResult result = client_.SendAndWait(std::move(request));
    if (IsOk(result)) {
      preferred_ = index;
      return SteerdResponse{
          .response = TakeValue(std::move(result)),
          .has_unanswered_attempt = !failure.is_proved_unsent};
    }
    failure.is_proved_unsent &= ErrorOf(result).is_proved_unsent;
  }
  return failure;
}

std::vector<SteerdResult> SteerdClient::GetFromAll(const std::string& path,
                                                   Duration timeout) {
  std::vector<std::promise<ClientResult>> promises(options_.urls.size());
  for (std::size_t i = 0; i < options_.urls.size(); ++i) {
    ClientRequest request = MakeRequest(options_.urls[i], "GET", path);
    request.timeout = timeout;
    client_.Send(std::move(request),
                 [&promise = promises[i]](ClientResult result) {
                   promise.set_value(std::move(result));
                 });
  }

  std::vector<SteerdResult> results;
  results.reserve(promises.size());
  for (std::size_t i = 0; i < promises.size(); ++i) {
    results.push_back(
        {.url = options_.urls[i], .response = promises[i].get_future().get()});
  }
  return results;
}

ClientRequest SteerdClient::MakeRequest(const std::string& url,
                                        const std::string& method,
                                        const std::string& path) const {
  ClientRequest request{
      .method = method,
      .url = url + path,
      .timeout = method == "GET" ? options_.read_timeout : options_.timeout,
      .max_answer_bytes = kMaxResponseBytes};
  if (!options_.token.empty()) {
    request.headers.Add("Authorization", "Bearer " + options_.token);
  }
  return request;
}

}  // namespace medlarcroft::adapters
