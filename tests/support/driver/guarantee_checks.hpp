#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/task.hpp"
#include "support/driver/schedule.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::test
{

/// @brief Violation of a guarantee of docs/design.md.
struct violation
{
    /// Stable name of the guarantee, for example `single_start`.
    std::string_view guarantee;
    std::string text;
    sim_time at{};
};

/// @brief Request of a caller, from the caller's point of view.
struct caller_request
{
    enum class kind : std::uint8_t
    {
        mint,
        submit,
        query,
        cancel
    };

    kind what = kind::query;
    std::uint32_t instance = 0;
    /// Increases with each process of the instance.
    std::uint64_t generation = 0;
    std::uint32_t job = 0;
    core::submission_id submission;
    /// Which of the job's bodies a submission carries: 0 for the original, 1
    /// for a conflicting one.
    std::optional<std::uint32_t> body;
    sim_time sent_at{};
    sim_time wait{};
    bool answered = false;
    bool disconnected = false;
    /// Whether the request queries the fate of a job whose owner was just lost.
    bool after_loss = false;
};

/// @brief Checks the guarantees of a run and records violations.
///
/// The checks use only what the backend servers did and which answers the
/// callers received; they do not inspect the dispatchers.
class guarantee_checks
{
public:
    /// @brief Records the size of a job and whether it is repeatable, before
    /// its first submission.
    void job_created(core::submission_id const& id, std::size_t tasks,
                     bool repeatable);

    /// @brief Records that a caller sends a submission, which may run the job.
    void submit_sent(core::submission_id const& id);

    /// @brief Records and checks a start message.
    /// @param body the number of the body that the payload belongs to
    void start_sent(core::instance_key const& sender,
                    core::start_task const& start, std::uint32_t body,
                    sim_time now);

    /// @brief Records and checks that a backend server started a task.
    /// @param past_leaving_limit whether the start was sent after the time
    /// limit for starts on a leaving server
    void run_started(core::task_key const& task, bool past_leaving_limit,
                     sim_time now);

    /// @brief Records the outcome of a run.
    void run_ended(core::task_key const& task, core::task_outcome outcome);

    /// @brief Records that the owner received a task's result.
    void result_received(core::task_key const& task, sim_time now);

    /// @brief Checks an answer.
    void check_answer(caller_request const& request, std::uint16_t status,
                      std::string const& body, sim_time now);

    /// @brief Checks that a query after the loss of an owner reports every task
    /// as done whose result the owner had received by @a received_by.
    void check_lost_owner(caller_request const& request,
                          std::string const& body, sim_time received_by,
                          sim_time now);

    void fail(std::string_view guarantee, std::string text, sim_time now);

    [[nodiscard]] std::vector<violation> const& violations() const
    {
        return violations_;
    }

    /// @brief The result that a server gives for a task.
    [[nodiscard]] static std::string result_of(core::task_key const& task);

    static constexpr std::uint32_t max_attempts = 3;

private:
    struct observed_task
    {
        std::uint32_t runs = 0;
        bool succeeded = false;
        bool failed = false;
        bool reported_not_run = false;
        std::set<std::uint32_t> attempts;
        std::optional<sim_time> result_at;
    };

    struct observed_job
    {
        std::vector<observed_task> tasks;
        bool repeatable = false;
        /// Number of submissions sent.
        std::uint32_t submits = 0;
        /// Whether the only submission so far was refused as not run.
        bool refused = false;
        /// Number of the accepted body: the first to run or to be answered.
        std::optional<std::uint32_t> body;
    };

    void check_final(caller_request const& request, observed_job& job,
                     nlohmann::json const& answer, sim_time now);
    void check_task(core::task_key const& task, observed_task& observed,
                    nlohmann::json const& reported, bool job_done,
                    sim_time now);
    void check_refusal(caller_request const& request, observed_job& job,
                       nlohmann::json const& answer, sim_time now);

    std::map<core::submission_id, observed_job> jobs_;
    std::vector<violation> violations_;
};

} // namespace goldcrestgate::test
