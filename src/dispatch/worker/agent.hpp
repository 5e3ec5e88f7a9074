/// @file
/// The workers that a node talks to on the leader's behalf.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/loop/event_loop.hpp"
#include "dispatch/worker/worker_session.hpp"

namespace mangospread::dispatch {

/// Carries out the orders of one leader. Events of a worker are reported under
/// its newest assignment only.
class Agent {
 public:
  using MakeLink =
      std::function<std::shared_ptr<WorkerLink>(const WorkerInfo&)>;

  Agent(base::EventLoop& loop, MakeLink make_link, WorkerSessionOptions options,
        WorkerSession::Emit emit, ObserveTiming observe)
      : loop_(loop),
        make_link_(std::move(make_link)),
        options_(options),
        emit_(std::move(emit)),
        observe_(std::move(observe)) {}
  ~Agent() { ReleaseAll(); }
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  void Carry(AgentOrder order);
  void ReleaseAll();
  /// The leader that gave the present orders is gone: starts that were not
  /// sent yet are dropped, workers are held on.
  void DropUnsent();

  /// What may run on the workers of earlier leaderships, for a new leader.
  [[nodiscard]] std::vector<RememberedRuns> Remember() const;

  [[nodiscard]] std::size_t workers() const noexcept {
    return sessions_.size();
  }

 private:
  void Assign(Assignment assignment);
  void End(const VmName& vm);
  WorkerSession* Find(const VmName& vm);

  base::EventLoop& loop_;
  MakeLink make_link_;
  WorkerSessionOptions options_;
  WorkerSession::Emit emit_;
  ObserveTiming observe_;
  std::map<VmName, std::shared_ptr<WorkerSession>> sessions_;
};

}  // namespace mangospread::dispatch
