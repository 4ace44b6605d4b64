#include "adapters/process/daemon_signals.h"

#include <ace/Event_Handler.h>
#include <ace/Log_Msg.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Sig_Handler.h>
#include <ace/Signal.h>

#include <atomic>
#include <csignal>

namespace medlarcroft::adapters {

namespace {

ACE_Sig_Set HandledSignals() {
  ACE_Sig_Set signals;
  signals.sig_add(SIGTERM);
  signals.sig_add(SIGINT);
  signals.sig_add(SIGHUP);
  return signals;
}

}  // namespace

void BlockDaemonSignals() {
  // ACE would log each wait interrupted by a signal as an error on stderr.
  ACE_Log_Msg::instance()->clr_flags(ACE_Log_Msg::STDERR);
  ACE_Sig_Set signals = HandledSignals();
  ACE_OS::thr_sigsetmask(SIG_BLOCK, signals, nullptr);
  // Writing to a connection that the peer has closed raises SIGPIPE, which
  // would terminate the process.
  const ACE_Sig_Action ignore(static_cast<ACE_SignalHandler>(SIG_IGN), SIGPIPE);
}

/// @brief Counts signals. `handle_signal` runs in signal context, so it does
/// nothing but increment an atomic counter.
class DaemonSignals::SignalCounter final : public ACE_Event_Handler {
 public:
  SignalCounter() {
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
      signal_registry_.register_handler(signal, this);
    }
  }
  ~SignalCounter() override {
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
      signal_registry_.remove_handler(signal);
    }
  }

  int handle_signal(int signal, siginfo_t*, ucontext_t*) override {
    (signal == SIGHUP ? reloads_ : terminations_)++;
    return 0;
  }

  int TakeReloads() { return reloads_.exchange(0); }
  int Terminations() const { return terminations_; }

 private:
  ACE_Sig_Handler signal_registry_;
  std::atomic<int> reloads_{0};
  std::atomic<int> terminations_{0};
};

DaemonSignals::DaemonSignals() : counter_(std::make_unique<SignalCounter>()) {}

DaemonSignals::~DaemonSignals() = default;

void DaemonSignals::Unblock() {
  ACE_Sig_Set signals = HandledSignals();
  ACE_OS::thr_sigsetmask(SIG_UNBLOCK, signals, nullptr);
}

void DaemonSignals::DispatchPending() {
  if (counter_->TakeReloads() > 0) {
    on_reload();
  }
  const int terminations = counter_->Terminations();
  if (terminations != reported_terminations_) {
    reported_terminations_ = terminations;
    on_terminate(terminations);
  }
}

}  // namespace medlarcroft::adapters
