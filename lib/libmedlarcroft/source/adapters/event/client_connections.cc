#include "adapters/event/client_connections.h"

#include <utility>

namespace medlarcroft::adapters {

ClientConnections::Id ClientConnections::Add(CloseTask close,
                                             bool is_reserved) {
  const Id id = limit_.Add();
  closes_.emplace(id, std::move(close));
  while (limit_.IsExceeded()) {
    const auto least = limit_.FindExcess(id);
    if (!least) {
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
  auto least = limit_.FindLeast();
  while (least && !Close(*least)) {
    least = limit_.FindLeast();
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
