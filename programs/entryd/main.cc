// medlar-entryd: accepts requests of callers and sends them to targets.
#include "adapters/entry/entry_node.h"
#include "adapters/process/daemon_main.h"
#include "adapters/process/entryd_settings.h"

int main(int argc, char** argv) {
  return medlarcroft::adapters::RunDaemonProgram<
      medlarcroft::adapters::EntryNode>(
      {.name = "medlar-entryd",
       .summary = "admits, queues and places callers' requests"},
      medlarcroft::adapters::EntrydSchema(), argc, argv);
}
