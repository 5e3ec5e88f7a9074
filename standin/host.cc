#include "host.hpp"

#include <event2/event.h>
#include <execinfo.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <utility>

#include "base/loop/clock.hpp"

namespace mangospread::standin {
namespace {

constexpr std::int64_t kNanosPerMs = 1'000'000;

/// Calls only async-signal-safe functions; the first call of backtrace, which
/// may allocate, is made by InstallCrashHandlers.
void OnFatalSignal(int number) {
  char text[] = "standin: ended by signal 00\n";
  constexpr int kBase = 10;
  constexpr std::size_t kTensIndex = sizeof(text) - 4;
  text[kTensIndex] = static_cast<char>('0' + number / kBase % kBase);
  text[kTensIndex + 1] = static_cast<char>('0' + number % kBase);
  (void)!write(STDERR_FILENO, text, sizeof(text) - 1);
  constexpr int kFrames = 40;
  std::array<void*, kFrames> frames{};
  const int count = backtrace(frames.data(), kFrames);
  backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
  // SA_RESETHAND has restored the default action.
  (void)raise(number);
}

void OnTerminate() {
  try {
    if (std::current_exception() != nullptr) {
      std::rethrow_exception(std::current_exception());
    }
  } catch (const std::exception& error) {
    Log(std::string("uncaught exception: ") + error.what());
  } catch (...) {
    Log("uncaught exception of unknown type");
  }
  std::abort();
}

}  // namespace

void Log(const std::string& line) {
  std::fprintf(
      stderr, "%lld standin[%d]: %s\n",
      static_cast<long long>(base::WallNanoseconds() / kNanosPerMs),  // NOLINT
      static_cast<int>(getpid()), line.c_str());
}

void InstallCrashHandlers() {
  std::array<void*, 1> frame{};
  (void)backtrace(frame.data(), static_cast<int>(frame.size()));
  struct sigaction action {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    sigaction(number, &action, nullptr);
  }
  std::set_terminate(OnTerminate);
  std::signal(SIGPIPE, SIG_IGN);
}

void AnnounceAddresses(const std::string& addresses) {
  Log("listening " + addresses);
  std::printf("listening %s\n", addresses.c_str());
  std::fflush(stdout);
}

int RunHttpStandin(base::EventLoop& loop, const Options& options,
                   std::function<void(Exchange)> handler) {
  net::HttpServer server(loop, {}, std::move(handler));
  const auto address = ParseAddress(options.Text("listen", "127.0.0.1:0"));
  if (!address.ok()) return 2;
  const auto bound = server.Listen(address.value());
  if (!bound.ok()) return 1;
  AnnounceAddresses("http=" + ToString(bound.value()));
  RunUntilTerminated(loop);
  return 0;
}

void RunUntilTerminated(base::EventLoop& loop) {
  // A signalfd reports the sender of the signal; a libevent signal event does
  // not.
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&mask, number);
  sigprocmask(SIG_BLOCK, &mask, nullptr);
  const int fd = signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC);
  event* signal_event = event_new(
      loop.raw(), fd, EV_READ,
      [](evutil_socket_t signal_fd, short, void* arg) {  // NOLINT
        signalfd_siginfo info{};
        (void)!read(signal_fd, &info, sizeof(info));
        Log("terminating on signal " + std::to_string(info.ssi_signo) +
            " from pid " + std::to_string(info.ssi_pid));
        static_cast<base::EventLoop*>(arg)->Stop();
      },
      &loop);
  event_add(signal_event, nullptr);
  loop.Run();
  Log("ended");
  event_free(signal_event);
  close(fd);
}

void ReplyJson(net::HttpExchange& exchange, int status,
               const std::string& body) {
  net::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body;
  exchange.Reply(response);
}

}  // namespace mangospread::standin
