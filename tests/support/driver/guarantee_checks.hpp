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

/// @brief A promise of docs/design.md that a run has broken.
struct violation
{
    /// A stable word, for example `single_start`.
    std::string_view guarantee;
    std::string text;
    sim_time at{};
};

/// @brief One request of a caller, as the caller knows it.
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
    std::uint64_t life = 0;
    std::uint32_t job = 0;
    core::submission_id submission;
    /// The number of the job's body that a submission carries.
    std::optional<std::uint32_t> body;
    sim_time sent_at{};
    sim_time wait{};
    bool answered = false;
    bool gone = false;
    /// Whether it asks for the fate of a job whose owner was just lost.
    bool after_loss = false;
};

/// @brief Watches a run from outside and notes broken promises.
///
/// It knows what the backend servers did and what the callers were told; it
/// does not look into the dispatchers.
class guarantee_checks
{
public:
    /// @brief Notes what a job consists of, before its first submission.
    void job_made(core::submission_id const& id, std::size_t tasks,
                  bool repeatable);

    /// @brief Notes that a caller sends a request that may make a job run.
    void submit_sent(core::submission_id const& id);

    /// @brief Notes a start message.
    /// @param body the number of the body that the payload came with
    void start_sent(core::instance_key const& sender,
                    core::start_task const& start, std::uint32_t body,
                    sim_time now);

    /// @brief Notes that a backend server began to run a task.
    /// @param late whether the server was listed as leaving for too long
    void task_ran(core::task_key const& task, bool late, sim_time now);

    /// @brief Notes how a run of a task ended.
    void run_ended(core::task_key const& task, core::task_outcome outcome);

    /// @brief Notes that the owner got a task's result.
    void result_arrived(core::task_key const& task, sim_time now);

    /// @brief Checks an answer.
    void answered(caller_request const& request, std::uint16_t status,
                  std::string const& body, sim_time now);

    /// @brief Checks that a query after the loss of an owner tells the results
    /// that the owner had @a long_enough before.
    void check_lost_owner(caller_request const& request,
                          std::string const& body, sim_time long_enough,
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
    struct task_facts
    {
        std::uint32_t runs = 0;
        bool succeeded = false;
        bool failed = false;
        bool told_not_run = false;
        std::set<std::uint32_t> attempts;
        std::optional<sim_time> result_at;
    };

    struct job_facts
    {
        std::vector<task_facts> tasks;
        bool repeatable = false;
        /// Submit requests sent.
        std::uint32_t submits = 0;
        /// Whether the only request so far was refused as not run.
        bool refused = false;
        /// The body that was accepted: the first to run or to be answered.
        std::optional<std::uint32_t> body;
    };

    void check_final(caller_request const& request, job_facts& job,
                     nlohmann::json const& answer, sim_time now);
    void check_task(core::task_key const& task, task_facts& facts,
                    nlohmann::json const& told, bool job_done, sim_time now);
    void check_refusal(caller_request const& request, job_facts& job,
                       nlohmann::json const& answer, sim_time now);

    std::map<core::submission_id, job_facts> jobs_;
    std::vector<violation> violations_;
};

} // namespace goldcrestgate::test
