// Handles users' requests: submissions, polls and cancellations. A leader replies from its cluster state; a follower forwards the
// request to the leader.
#pragma once
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "controller/command_sender.hpp"
#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/shared_state.hpp"
#include "controller/user_reply.hpp"
#include "protocol/messages.hpp"

namespace thistlefront {

class RequestHandler {
 public:
  RequestHandler(SharedState& shared, CommitQueue& commit_queue, CommandSender& commands, ControllerMetrics& metrics);

  // Handles a request received from a user.
  HttpReply handle(const UserRoute& route, const HttpCall& call);
  // Replies to a request here, without forwarding it: on the leader, or on a controller that a peer took for the leader.
  HttpReply reply_locally(const UserRoute& route, std::string_view body);
  // Status 200 while this controller can serve requests, else 503.
  HttpReply health() const;

 private:
  HttpReply forward(Lock& lock, const UserRoute& route, const HttpCall& call);
  struct ForwardResult {
    std::optional<HttpReply> reply;  // nullopt: no valid reply from the leader
    bool sent = false;               // false: no leader to send to, or no time left
  };
  // Makes one attempt.
  ForwardResult forward_once(Lock& lock, const HttpCall& call, double began);

  UserReply submit(Lock& lock, std::string_view body);
  // The reply that rejects or defers the submission; nullopt if it can be accepted.
  std::optional<HttpReply> rejection_reply(const JobSpec& spec);
  std::optional<HttpReply> dependency_rejection_reply(const JobSpec& spec);
  // Queues the acceptance and sets `ticket`; returns a reply instead if the submission is rejected or deferred.
  std::optional<HttpReply> queue_acceptance(JobSpec spec, std::uint64_t& ticket);
  UserReply await_acceptance(Lock& lock, const std::string& uid, std::uint64_t ticket);
  UserReply poll(const std::string& uid);
  UserReply cancel(Lock& lock, const std::string& uid);
  // The job as in the cluster state. The status of an ended job is final, if it may be confirmed; any other status is reported only
  // while leadership is certain.
  UserReply describe(const Job& job, unsigned status, bool with_counts);
  HttpReply unconfirmed_cancellation_reply();
  HttpReply reject(unsigned status, std::string_view reason);
  // Whether the decision on the job may change once its team's quota is the same on all controllers.
  [[nodiscard]] bool is_quota_changing_for(const JobSpec& spec) const;
  [[nodiscard]] bool is_ledger_failing() const;

  SharedState& shared_;
  CommitQueue& commit_queue_;
  CommandSender& commands_;
  ControllerMetrics& metrics_;
  std::mt19937_64 random_{std::random_device{}()};  // guarded by SharedState::mutex
};

}  // namespace thistlefront
