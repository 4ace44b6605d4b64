#include "adapters/http/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "adapters/http/response_head_reader.h"

namespace medlarcroft::adapters {

namespace {

/// Wake-ups come through curl_multi_wakeup; this only bounds the delay of a
/// missed one.
constexpr int kMaxPollMilliseconds = 1000;

/// Header bytes of a response, interim ones included. More of them are no
/// response, and would be kept until memory is used up.
constexpr std::size_t kMaxHeaderBytes = std::size_t{64} * 1024;

/// A peer that sends on and on must not be read for ever.
constexpr std::chrono::milliseconds kOverdueReading{200};

using SteadyTime = std::chrono::steady_clock::time_point;

/// @brief A request in progress.
struct Transfer {
  HttpClient::RequestId id = 0;
  ClientRequest request;
  ClientCallback callback;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  ClientResponse response;
  std::size_t header_bytes = 0;
  SteadyTime deadline;
  std::optional<SteadyTime> overdue_since;
  /// Bytes that had arrived when the transfers were last looked at.
  std::size_t bytes_before = 0;
  ResponseHeadReader head;
  std::optional<response::HeadFault> fault;
  bool is_too_large = false;
  bool is_withheld = false;
  /// Connections that were ready for the request.
  int sends = 0;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() {
    curl_slist_free_all(header_list);
    if (easy != nullptr) {
      curl_easy_cleanup(easy);
    }
  }
};

std::size_t OnBody(char* data,
                   std::size_t size,
                   std::size_t count,
                   void* self) {
  auto& transfer = *static_cast<Transfer*>(self);
  const std::size_t bytes = size * count;
  if (transfer.response.body.size() + bytes >
      transfer.request.max_answer_bytes) {
    transfer.is_too_large = true;
    return 0;
  }
  transfer.response.body.append(data, bytes);
  return bytes;
}

int OnConnection(void* self,
                 char* /*peer*/,
                 char* /*local*/,
                 int /*peer_port*/,
                 int /*local_port*/) {
  auto& transfer = *static_cast<Transfer*>(self);
  if (transfer.request.may_send && !transfer.request.may_send()) {
    transfer.is_withheld = transfer.sends == 0;
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer.sends;
  return CURL_PREREQFUNC_OK;
}

std::size_t OnHeader(char* data,
                     std::size_t size,
                     std::size_t count,
                     void* self) {
  auto& transfer = *static_cast<Transfer*>(self);
  const std::string_view line(data, size * count);
  transfer.header_bytes += line.size();
  transfer.is_too_large = transfer.header_bytes > kMaxHeaderBytes;
  if (!transfer.is_too_large) {
    transfer.fault = transfer.head.OnLine(line);
  }
  return transfer.is_too_large || transfer.fault ? 0 : line.size();
}

long RoundUpToMilliseconds(Duration duration) {
  const auto whole = std::chrono::ceil<std::chrono::milliseconds>(duration);
  return std::max<long>(1, whole.count());
}

std::size_t BytesOf(const Transfer& transfer) {
  return transfer.header_bytes + transfer.response.body.size();
}

std::string OriginOf(std::string_view url) {
  const auto scheme_end = url.find("://");
  const auto host = scheme_end == std::string_view::npos ? 0 : scheme_end + 3;
  return std::string(url.substr(0, url.find('/', host)));
}

bool HasNoBody(const Transfer& transfer) {
  const int status = transfer.response.status;
  return transfer.request.method == "HEAD" || status == 204 || status == 304;
}

TransportFailure FailureOf(CURLcode code, const Transfer& transfer) {
  if (transfer.is_withheld) {
    return TransportFailure::kWithheld;
  }
  if (transfer.is_too_large) {
    return TransportFailure::kTooLarge;
  }
  if (transfer.fault) {
    return TransportFailure::kMalformed;
  }
  switch (code) {
    case CURLE_COULDNT_CONNECT:
      return TransportFailure::kCannotConnect;
    case CURLE_OPERATION_TIMEDOUT:
      return TransportFailure::kTimedOut;
    case CURLE_PARTIAL_FILE:
      return TransportFailure::kTruncated;
    default:
      return TransportFailure::kBroken;
  }
}

/// @return whether no byte of the request was passed to a connection.
bool IsProvedUnsent(CURL* easy) {
  long request_bytes = 1;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes == 0;
}

bool WasConnectionReused(CURL* easy) {
  long new_connections = 0;
  curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &new_connections);
  return new_connections == 0;
}

bool IsFramed(const Transfer& transfer) {
  return transfer.head.Framing() != response::BodyFraming::kUntilClose ||
         HasNoBody(transfer);
}

/// @return why a transfer that libcurl takes for a success is none.
std::optional<TransportFailure> FindFailure(CURLcode code,
                                            const Transfer& transfer) {
  if (code != CURLE_OK) {
    return FailureOf(code, transfer);
  }
  // Guards against a head that breaks off and looks like a whole response:
  // libcurl takes the end of the connection for the end of the head.
  if (!transfer.head.HasFinalHead()) {
    return TransportFailure::kTruncated;
  }
  return IsFramed(transfer) ? std::nullopt
                            : std::optional(TransportFailure::kUnframed);
}

ClientResult MakeResult(CURLcode code, Transfer& transfer) {
  // What is no whole head says nothing of the server.
  if (transfer.head.HasFinalHead()) {
    transfer.response.status = transfer.head.Status();
    transfer.response.headers = transfer.head.TakeFields();
  }
  const bool was_reused = WasConnectionReused(transfer.easy);
  if (const auto failure = FindFailure(code, transfer)) {
    return TransportError{
        .failure = *failure,
        .is_proved_unsent = code != CURLE_OK && IsProvedUnsent(transfer.easy),
        .was_connection_reused = was_reused,
        .status = transfer.response.status,
        .headers = std::move(transfer.response.headers)};
  }
  transfer.response.was_connection_reused = was_reused;
  transfer.response.was_resent = transfer.sends > 1;
  return std::move(transfer.response);
}

}  // namespace

class HttpClient::Loop {
 public:
  explicit Loop(const Options& options)
      : options_(options), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      options_.max_idle_connections);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      options_.max_connections_per_origin);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    thread_ = std::thread([this] { Run(); });
  }

  ~Loop() {
    Stop();
    curl_multi_cleanup(multi_);
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    curl_multi_wakeup(multi_);
    thread_.join();
  }

  RequestId Send(ClientRequest request, ClientCallback callback) {
    auto transfer = std::make_unique<Transfer>();
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);

    RequestId id = 0;
    {
      const std::lock_guard lock(mutex_);
      id = ++last_id_;
      transfer->id = id;
      queued_.push_back(std::move(transfer));
    }
    curl_multi_wakeup(multi_);
    return id;
  }

  void Cancel(RequestId id) {
    {
      const std::lock_guard lock(mutex_);
      cancelled_ids_.push_back(id);
    }
    curl_multi_wakeup(multi_);
  }

  void RetireConnections(std::string_view origin) {
    const std::lock_guard lock(mutex_);
    retirement_times_[std::string(origin)] = std::chrono::steady_clock::now();
  }

 private:
  void Run() {
    while (!ProcessCommands()) {
      const SteadyTime now = std::chrono::steady_clock::now();
      int running = 0;
      curl_multi_perform(multi_, &running);
      CompleteFinishedTransfers();
      CompleteOverdueTransfers(now);
      curl_multi_poll(multi_, nullptr, 0, MillisecondsToPoll(), nullptr);
    }
    while (!active_.empty()) {
      CompleteTransfer(active_.begin()->second->easy,
                       TransportError{.failure = TransportFailure::kCancelled});
    }
  }

  /// @return whether the loop has to stop.
  bool ProcessCommands() {
    std::vector<std::unique_ptr<Transfer>> queued;
    std::vector<RequestId> cancelled_ids;
    bool is_stopping = false;
    {
      const std::lock_guard lock(mutex_);
      queued.swap(queued_);
      cancelled_ids.swap(cancelled_ids_);
      is_stopping = is_stopping_;
    }
    for (auto& transfer : queued) {
      StartTransfer(std::move(transfer));
    }
    for (const RequestId id : cancelled_ids) {
      CancelTransfer(id);
    }
    return is_stopping;
  }

  void StartTransfer(std::unique_ptr<Transfer> transfer) {
    transfer->easy = curl_easy_init();
    SetRequestOptions(*transfer);
    SetConnectionOptions(*transfer);
    CURL* easy = transfer->easy;
    by_id_[transfer->id] = easy;
    active_[easy] = std::move(transfer);
    curl_multi_add_handle(multi_, easy);
  }

  void SetRequestOptions(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const ClientRequest& request = transfer.request;
    for (const HttpHeader& field : request.headers.Fields()) {
      const std::string line = field.name + ": " + field.value;
      transfer.header_list =
          curl_slist_append(transfer.header_list, line.c_str());
    }
    // Without "Expect" libcurl sends the body at once; a target that rejects
    // the header would otherwise cost a second of waiting for "100 Continue".
    transfer.header_list = curl_slist_append(transfer.header_list, "Expect:");

    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.header_list);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnConnection);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  }

  void SetConnectionOptions(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const ClientRequest& request = transfer.request;
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    transfer.deadline = std::chrono::steady_clock::now() + request.timeout;
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     RoundUpToMilliseconds(options_.connect_timeout));
    if (!options_.ca_file.empty()) {
      curl_easy_setopt(easy, CURLOPT_CAINFO, options_.ca_file.c_str());
    }
    if (request.needs_fresh_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      return;
    }
    LimitConnectionAge(transfer);
  }

  /// libcurl can't close selected connections, but it can limit the age of a
  /// connection to reuse, which excludes all that are older than the
  /// retirement.
  void LimitConnectionAge(Transfer& transfer) {
    SteadyTime retired_at;
    {
      const std::lock_guard lock(mutex_);
      const auto found = retirement_times_.find(OriginOf(transfer.request.url));
      if (found == retirement_times_.end()) {
        return;
      }
      retired_at = found->second;
    }
    const auto since = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now() - retired_at);
    if (since.count() < 1) {
      curl_easy_setopt(transfer.easy, CURLOPT_FRESH_CONNECT, 1L);
      return;
    }
    curl_easy_setopt(transfer.easy, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(since.count()));
  }

  void CancelTransfer(RequestId id) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
      return;
    }
    CURL* easy = found->second;
    CompleteTransfer(easy,
                     TransportError{.failure = TransportFailure::kCancelled,
                                    .is_proved_unsent = IsProvedUnsent(easy),
                                    .was_connection_reused = false});
  }

  void CompleteFinishedTransfers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      CompleteTransfer(easy, MakeResult(code, *active_.at(easy)));
    }
  }

  /// Guards against responses that wait unread because this thread was held up:
  /// libcurl's own timeout drops them. An overdue transfer is read on for a
  /// bounded time, while bytes of it are there.
  /// @param now a time before the transfers last read what had arrived.
  void CompleteOverdueTransfers(SteadyTime now) {
    std::vector<CURL*> overdue;
    for (const auto& [easy, transfer] : active_) {
      const std::size_t bytes = BytesOf(*transfer);
      const bool is_moving =
          std::exchange(transfer->bytes_before, bytes) != bytes;
      if (transfer->deadline > now) {
        continue;
      }
      const SteadyTime since = transfer->overdue_since.value_or(now);
      transfer->overdue_since = since;
      if (!is_moving || now - since >= kOverdueReading) {
        overdue.push_back(easy);
      }
    }
    for (CURL* easy : overdue) {
      CompleteTransfer(easy,
                       MakeResult(CURLE_OPERATION_TIMEDOUT, *active_.at(easy)));
    }
  }

  [[nodiscard]] int MillisecondsToPoll() const {
    auto wait = std::chrono::milliseconds(kMaxPollMilliseconds);
    const SteadyTime now = std::chrono::steady_clock::now();
    for (const auto& [easy, transfer] : active_) {
      wait = std::min(wait, std::chrono::ceil<std::chrono::milliseconds>(
                                transfer->deadline - now));
    }
    return static_cast<int>(std::max<std::int64_t>(0, wait.count()));
  }

  void CompleteTransfer(CURL* easy, ClientResult result) {
    const auto found = active_.find(easy);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    active_.erase(found);
    by_id_.erase(transfer->id);
    curl_multi_remove_handle(multi_, easy);
    transfer->callback(std::move(result));
  }

  const Options options_;
  CURLM* multi_;
  std::thread thread_;

  // Accessed only by the loop's thread.
  std::map<CURL*, std::unique_ptr<Transfer>> active_;
  std::map<RequestId, CURL*> by_id_;

  std::mutex mutex_;
  std::vector<std::unique_ptr<Transfer>> queued_;
  std::vector<RequestId> cancelled_ids_;
  std::map<std::string, SteadyTime> retirement_times_;
  RequestId last_id_ = 0;
  bool is_stopping_ = false;
};

HttpClient::HttpClient(const Options& options)
    : loop_(std::make_unique<Loop>(options)) {}

HttpClient::~HttpClient() = default;

HttpClient::RequestId HttpClient::Send(ClientRequest request,
                                       ClientCallback callback) {
  return loop_->Send(std::move(request), std::move(callback));
}

void HttpClient::Cancel(RequestId id) {
  loop_->Cancel(id);
}

ClientResult HttpClient::SendAndWait(ClientRequest request) {
  std::promise<ClientResult> promise;
  std::future<ClientResult> future = promise.get_future();
  Send(std::move(request), [&promise](ClientResult result) {
    promise.set_value(std::move(result));
  });
  return future.get();
}

void HttpClient::Stop() {
  loop_->Stop();
}

void HttpClient::RetireConnections(std::string_view origin) {
  loop_->RetireConnections(origin);
}

}  // namespace medlarcroft::adapters
