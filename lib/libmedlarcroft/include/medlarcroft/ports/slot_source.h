#ifndef MEDLARCROFT_PORTS_SLOT_SOURCE_H_
#define MEDLARCROFT_PORTS_SLOT_SOURCE_H_

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::ports {

/// @brief Acquires a slot of a target at the moment of dispatch.
///
/// Guards against overloading a target when the process is paused between the
/// decision for a target and the dispatch. If its share of the target's slots
/// is given to another host during the pause, the target would receive more
/// requests than it has slots. A count made at the time of the decision does
/// not prevent this, so each slot is acquired here, from the share that is
/// valid at dispatch.
class SlotSource {
 public:
  virtual ~SlotSource() = default;

  /// @return whether a slot of the target was acquired.
  [[nodiscard]] virtual bool TryTake(const TargetName& target) = 0;

  /// @brief Releases a slot that `TryTake` acquired.
  virtual void Release(const TargetName& target) = 0;
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_SLOT_SOURCE_H_
