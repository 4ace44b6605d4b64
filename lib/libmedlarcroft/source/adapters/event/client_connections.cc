#include "adapters/event/client_connections.h"

#include <utility>

namespace medlarcroft::adapters {

namespace {

// Clients that send without a pause would be served for as long as they do,
// and nobody else meanwhile.
constexpr int kMaxAskedAtOnce = 64;

}  // namespace

ClientConnections::Id ClientConnections::Add(CloseTask close,
                                             bool is_reserved) {
  const Id id = limit_.Add();
  closes_.emplace(id, std::move(close));
  for (int asked = 0; limit_.IsExceeded(); ++asked) {
    const auto least = limit_.FindExcess(id);
    if (!least || asked == kMaxAskedAtOnce) {
      if (is_reserved) {
        return id;
      }
      ++refused_;
      Remove(id);
      return 0;
    }
    (void)Close(*least);
  }
  return id;
}

void ClientConnections::Remove(Id id) {
  limit_.Remove(id);
  closes_.erase(id);
}

void ClientConnections::FreeOne() {
  for (int asked = 0; asked < kMaxAskedAtOnce; ++asked) {
    const auto least = limit_.FindLeast();
    if (!least || Close(*least)) {
      return;
    }
  }
}

bool ClientConnections::Close(Id id) {
  const CloseTask close = closes_.at(id);
  if (!close()) {
    return false;
  }
  ++gave_way_;
  Remove(id);
  return true;
}

void ClientConnections::TakeTurn(std::function<void()> task) {
  turns_.push_back(std::move(task));
  if (turns_.size() == 1) {
    RunNextTurn();
  }
}

void ClientConnections::RunNextTurn() {
  loop_.After(Duration(0), [self = weak_from_this()] {
    const auto connections = self.lock();
    if (!connections) {
      return;
    }
    const std::function<void()> task = std::move(connections->turns_.front());
    task();
    connections->turns_.pop_front();
    if (!connections->turns_.empty()) {
      connections->RunNextTurn();
    }
  });
}

}  // namespace medlarcroft::adapters
