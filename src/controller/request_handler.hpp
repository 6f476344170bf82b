// Requests of users: submissions, polls and cancellations. A leader answers from its cluster state; a follower forwards to the
// leader.
#pragma once
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "controller/command_sender.hpp"
#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/shared_state.hpp"
#include "controller/user_answer.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

class RequestHandler {
 public:
  RequestHandler(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ControllerMetrics& metrics);

  // A request as a user sent it.
  HttpReply handle(const UserRoute& route, const HttpCall& call);
  // The same on a controller that is to answer itself: it leads, or a peer took it for the leader.
  HttpReply answer(const UserRoute& route, std::string_view body);
  // 200 while this controller can take requests.
  HttpReply health() const;

 private:
  HttpReply forward(Lock& lock, const UserRoute& route, const HttpCall& call);
  // One try; nothing where no leader can be asked.
  struct ForwardResult {
    std::optional<HttpReply> reply;
    bool asked = false;
  };
  ForwardResult ask_leader(Lock& lock, const HttpCall& call, double began);

  UserAnswer submit(Lock& lock, std::string_view body);
  // The reply that refuses the submission or puts it off; nothing where it can be accepted.
  std::optional<HttpReply> reason_not_to_accept(const JobSpec& spec);
  std::optional<HttpReply> reason_not_to_accept_dependencies(const JobSpec& spec);
  // Queues the acceptance; its ticket, or the reply that refuses it.
  std::optional<HttpReply> queue_acceptance(JobSpec spec, std::uint64_t& ticket);
  UserAnswer await_acceptance(Lock& lock, const std::string& uid, std::uint64_t ticket);
  UserAnswer poll(const std::string& uid);
  UserAnswer cancel(Lock& lock, const std::string& uid);
  // A job as the cluster state has it: its end is final, if it may be told; all else only while this controller leads for certain.
  UserAnswer describe(const Job& job, unsigned status, bool with_counts);
  HttpReply unconfirmed_cancellation_reply();
  HttpReply refuse(unsigned status, std::string_view reason);
  // Whether the verdict on the job may change once its team's quota is the same on all controllers.
  [[nodiscard]] bool is_quota_changing_for(const JobSpec& spec) const;
  [[nodiscard]] bool is_ledger_failing() const;

  SharedState& shared_;
  CommitQueue& commit_queue_;
  CommandSender& commands_;
  ControllerMetrics& metrics_;
  std::mt19937_64 random_{std::random_device{}()};  // guarded by SharedState::mutex
};

}  // namespace thistlefront
