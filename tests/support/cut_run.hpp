#pragma once

#include "support/domain_cluster.hpp"

#include <cppunit/TestAssert.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Jobs of random instances while random instances are cut off from all
/// others, from one seed.
class cut_run
{
public:
    static constexpr std::uint16_t domain_count = 2;
    static constexpr std::size_t cuts = 3;

    explicit cut_run(std::uint64_t seed);

    void run();

    /// @brief Compares the runs that took place with the answers.
    void check() const;

    /// @brief Returns the number of changes of ownership, the first ones
    /// included.
    [[nodiscard]] std::size_t ownership_changes() const
    {
        return cluster_.claims();
    }

private:
    struct sent_job
    {
        core::leased_job job;
        int submissions = 0;
        int answers = 0;
        int rejections = 0;
        bool completed = false;
    };

    [[nodiscard]] std::uint64_t pick(std::uint64_t below)
    {
        return random_() % below;
    }
    [[nodiscard]] std::vector<std::size_t> pick_instances();
    void set_cut(std::vector<std::size_t> const& nodes, bool cut);
    void submit_jobs(core::duration time);
    void submit(core::client_job_id id);
    void record_answer(core::answer_job const& answer);

    std::string name_;
    std::mt19937_64 random_;
    domain_cluster cluster_;
    std::map<core::client_job_id, sent_job> jobs_;
    std::map<core::request_id, core::client_job_id> requests_;
    std::uint64_t last_job_ = 0;
    std::uint64_t last_request_ = 0;
};

} // namespace goldcrestgate::tests
