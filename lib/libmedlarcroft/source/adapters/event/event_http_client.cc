#include "adapters/event/event_http_client.h"

#include <algorithm>
#include <utility>

#include "adapters/event/http_client_connection.h"

namespace medlarcroft::adapters {

EventHttpClient::EventHttpClient(EventLoop& loop, const Options& options)
    : loop_(loop), options_(options) {
  if (!options_.memory) {
    options_.memory =
        std::make_shared<HeldMemory>(loop_, resources::MemoryLimits{});
  }
}

EventHttpClient::~EventHttpClient() {
  const auto active = std::exchange(active_, {});
  for (const auto& [exchange, connection] : active) {
    connection->Close();
  }
  // A callback may destroy the client while its connection runs it.
  const auto idle = std::exchange(idle_, {});
  for (const auto& [address, connections] : idle) {
    for (const auto& connection : connections) {
      connection->Close();
    }
  }
}

ExchangeId EventHttpClient::Send(OutboundRequest request,
                                 ExchangeCallback callback) {
  const ExchangeId exchange = ++last_exchange_;
  std::shared_ptr<HttpClientConnection> connection = TakeIdle(request);
  if (!connection) {
    const auto address = ParseSocketAddress(request.address);
    if (!address) {
      loop_.After(Duration(0), [callback = std::move(callback)] {
        callback(ExchangeError{.failure = ExchangeFailure::kCannotConnect,
                               .is_proved_unsent = true});
      });
      return exchange;
    }
    connection = std::make_shared<HttpClientConnection>(*this, request.address,
                                                        *address);
  }
  active_.emplace(exchange, connection);
  connection->Start(exchange, std::move(request), std::move(callback));
  return exchange;
}

void EventHttpClient::CatchUp(ExchangeId exchange) {
  const auto found = active_.find(exchange);
  if (found != active_.end()) {
    const auto connection = found->second;
    // Guards against a request that is sent only to be given up: the owner is
    // about to judge, so a new connection must not begin to carry it.
    if (connection->IsConnected()) {
      connection->CatchUp();
    }
  }
}

void EventHttpClient::Cancel(ExchangeId exchange) {
  const auto found = active_.find(exchange);
  if (found == active_.end()) {
    return;
  }
  const auto connection = found->second;
  active_.erase(found);
  connection->Close();
}

void EventHttpClient::CloseIdleConnections(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return;
  }
  const auto connections = std::move(found->second);
  idle_.erase(found);
  for (const auto& connection : connections) {
    connection->Close();
  }
}

std::size_t EventHttpClient::IdleConnections() const {
  std::size_t count = 0;
  for (const auto& [address, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

std::shared_ptr<HttpClientConnection> EventHttpClient::TakeIdle(
    const OutboundRequest& request) {
  const std::string& address = request.address;
  const auto found = idle_.find(address);
  if (found == idle_.end() || IsSingleUse(address)) {
    return nullptr;
  }
  const MonotonicTime now = loop_.Now();
  // The most recently used one first, so that surplus connections expire.
  auto connection = found->second.back();
  if (now - connection->IdleSince() >= request.max_idle ||
      !connection->MayCarry(request.id)) {
    return nullptr;
  }
  found->second.pop_back();
  if (found->second.empty()) {
    idle_.erase(found);
  }
  if (now >= connection->IdleUntil()) {
    connection->Close();
    CloseIdleConnections(address);
    return nullptr;
  }
  // Guards against a request on a connection that the server has closed, which
  // would count as one that may have run: the loop may not have come to notice.
  // What arrived may have been a stray response that says that its server
  // leaves, so a new connection asks again whether the target may be used.
  return connection->CatchUp() ? connection : nullptr;
}

void EventHttpClient::AddIdle(
    const std::shared_ptr<HttpClientConnection>& connection) {
  if (IsSingleUse(connection->Address())) {
    connection->Close();
    return;
  }
  auto& connections = idle_[connection->Address()];
  if (connections.size() >= options_.max_idle_per_address) {
    const auto oldest = connections.front();
    connections.erase(connections.begin());
    oldest->Close();
  }
  connections.push_back(connection);
}

// Guards against responses that can't be attributed: a target that names no
// request in one refusal names none in the next.
void EventHttpClient::OnUnnamed(const std::string& address) {
  ++counters_.unnamed_responses;
  const MonotonicTime now = loop_.Now();
  std::erase_if(single_use_until_,
                [now](const auto& entry) { return entry.second <= now; });
  single_use_until_[address] = now + options_.single_use_after_unnamed;
  CloseIdleConnections(address);
}

bool EventHttpClient::IsSingleUse(const std::string& address) const {
  const auto found = single_use_until_.find(address);
  return found != single_use_until_.end() && loop_.Now() < found->second;
}

void EventHttpClient::RemoveIdle(HttpClientConnection& connection) {
  const auto found = idle_.find(connection.Address());
  if (found != idle_.end()) {
    std::erase_if(found->second,
                  [&](const auto& kept) { return kept.get() == &connection; });
    if (found->second.empty()) {
      idle_.erase(found);
    }
  }
  connection.Close();
}

}  // namespace medlarcroft::adapters
