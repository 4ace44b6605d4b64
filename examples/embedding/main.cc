// Embeds the coordination parts of medlarcroft in another program, without
// daemons, sockets or threads.
#include "examples.h"

int main() {
  const bool shares_hold = ShowShares();
  const bool keys_hold = ShowKeys();
  const bool placement_holds = ShowPlacement();
  return shares_hold && keys_hold && placement_holds ? 0 : 1;
}
