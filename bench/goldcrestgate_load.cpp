// Load generator for the caller API of running entry instances.
//
// It keeps a fixed number of jobs in flight (closed loop) or submits jobs at a
// fixed rate (open loop), and prints one line of JSON with counts and times.
// The overhead of a job is its response time minus the longest run time of its
// tasks; with one task in each job, it is the time that the system adds.

#include "goldcrestgate/io/http_client.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using nlohmann::json;

constexpr std::uint32_t ids_per_request = 1024;

struct load_options
{
    std::vector<std::string> addresses;
    std::string service;
    std::string team;
    unsigned min_tasks = 1;
    unsigned max_tasks = 1;
    double min_run_ms = 0;
    double max_run_ms = 0;
    std::size_t concurrency = 0;
    /// Jobs per second; 0 for a closed loop.
    double rate = 0;
    core::duration length{};
    std::size_t payload_bytes = 0;
    std::uint64_t seed = 0;
};

load_options read_options(int argc, char** argv)
{
    cxxopts::Options options{"goldcrestgate_load", "load generator"};
    options.add_options()
        // clang-format off
        ("address", "IP:port of entry instances, separated by commas",
         cxxopts::value<std::vector<std::string>>())
        ("service", "service that runs the tasks",
         cxxopts::value<std::string>()->default_value("roll-desk.tolerance"))
        ("team", "team that submits the jobs",
         cxxopts::value<std::string>()->default_value("line-1"))
        ("tasks", "minimum number of tasks in a job",
         cxxopts::value<unsigned>()->default_value("1"))
        ("tasks-max", "maximum number of tasks in a job; default: --tasks",
         cxxopts::value<unsigned>()->default_value("0"))
        ("run-ms", "minimum run time of a task, in milliseconds",
         cxxopts::value<double>()->default_value("50"))
        ("run-ms-max", "maximum run time of a task; default: --run-ms",
         cxxopts::value<double>()->default_value("0"))
        ("concurrency", "maximum number of jobs in flight",
         cxxopts::value<std::size_t>()->default_value("32"))
        ("rate", "jobs per second; 0 submits a job as soon as one ends",
         cxxopts::value<double>()->default_value("0"))
        ("seconds", "seconds during which jobs are submitted",
         cxxopts::value<double>()->default_value("5"))
        ("payload-bytes", "bytes of padding in each payload",
         cxxopts::value<std::size_t>()->default_value("0"))
        ("seed", "seed of the job sizes and run times",
         cxxopts::value<std::uint64_t>()->default_value("1"))
        ("help", "print this help");
    // clang-format on
    auto const parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        std::exit(EXIT_SUCCESS);
    }
    if (!parsed.unmatched().empty())
    {
        throw std::invalid_argument{"unknown argument " +
                                    parsed.unmatched().front()};
    }
    if (parsed.count("address") == 0)
    {
        throw std::invalid_argument{"--address is required"};
    }
    load_options load;
    load.addresses = parsed["address"].as<std::vector<std::string>>();
    load.service = parsed["service"].as<std::string>();
    load.team = parsed["team"].as<std::string>();
    load.min_tasks = parsed["tasks"].as<unsigned>();
    load.max_tasks =
        std::max(load.min_tasks, parsed["tasks-max"].as<unsigned>());
    load.min_run_ms = parsed["run-ms"].as<double>();
    load.max_run_ms =
        std::max(load.min_run_ms, parsed["run-ms-max"].as<double>());
    load.concurrency = parsed["concurrency"].as<std::size_t>();
    load.rate = parsed["rate"].as<double>();
    load.length = std::chrono::microseconds{
        static_cast<std::int64_t>(parsed["seconds"].as<double>() * 1e6)};
    load.payload_bytes = parsed["payload-bytes"].as<std::size_t>();
    load.seed = parsed["seed"].as<std::uint64_t>();
    return load;
}

/// The request body of a job and what is needed to evaluate its response.
struct planned_job
{
    std::string body;
    unsigned tasks = 0;
    double longest_run_ms = 0;
};

/// An entry instance and the unused submission ids that it has issued.
struct target
{
    std::unique_ptr<io::http_client> client;
    std::deque<std::string> ids;
    bool ids_requested = false;
};

class load_generator
{
public:
    load_generator(io::event_loop& loop, load_options options)
        : loop_(loop)
        , options_(std::move(options))
        , random_(options_.seed)
        , submit_timer_(loop,
                        [this]
                        {
                            submit_due_jobs();
                        })
    {
        for (auto const& text : options_.addresses)
        {
            auto const address = io::socket_address::parse(text);
            if (!address)
            {
                throw std::invalid_argument{"--address " + text +
                                            " is not IP:port"};
            }
            targets_.push_back(
                {std::make_unique<io::http_client>(
                     loop_, address.value(),
                     io::http_client_options{.max_connections =
                                                 options_.concurrency + 1}),
                 {},
                 false});
        }
    }

    void run()
    {
        start_time_ = loop_.now();
        submit_due_jobs();
        while (loop_.now() < start_time_ + options_.length || in_flight_ > 0)
        {
            loop_.run_once(std::chrono::milliseconds{100});
        }
        end_time_ = loop_.now();
    }

    [[nodiscard]] json report()
    {
        double const seconds =
            std::chrono::duration<double>(end_time_ - start_time_).count();
        std::sort(overheads_.begin(), overheads_.end());
        double sum = 0;
        for (double const overhead : overheads_)
        {
            sum += overhead;
        }
        auto const count = static_cast<double>(overheads_.size());
        return {
            {"jobs_served", served_},
            {"jobs_failed", failures_},
            {"tasks_served", tasks_served_},
            {"seconds", seconds},
            {"tasks_per_second", static_cast<double>(tasks_served_) / seconds},
            {"overhead_ms",
             {{"mean", count > 0 ? sum / count : 0},
              {"p50", quantile(0.5)},
              {"p99", quantile(0.99)},
              {"max", quantile(1)}}},
            {"late_submissions", late_submissions_}};
    }

private:
    [[nodiscard]] double quantile(double probability) const
    {
        if (overheads_.empty())
        {
            return 0;
        }
        auto const last = static_cast<double>(overheads_.size() - 1);
        return overheads_[static_cast<std::size_t>(last * probability)];
    }

    void submit_due_jobs()
    {
        if (loop_.now() >= start_time_ + options_.length)
        {
            return;
        }
        if (options_.rate <= 0)
        {
            while (in_flight_ < options_.concurrency && submit())
            {
            }
            return;
        }
        auto const interval = std::chrono::microseconds{
            static_cast<std::int64_t>(1e6 / options_.rate)};
        while (start_time_ + interval * scheduled_count_ <= loop_.now())
        {
            ++scheduled_count_;
            // An open loop keeps its rate when the system slows down; jobs that
            // cannot be submitted on time are counted as late.
            late_submissions_ +=
                in_flight_ >= options_.concurrency || !submit();
        }
        submit_timer_.start_at(start_time_ + interval * scheduled_count_);
    }

    /// Submits a job to the next target.
    /// @return false if the target has no unused submission id
    bool submit()
    {
        auto& next = targets_[next_target_++ % targets_.size()];
        if (next.ids.size() < ids_per_request / 2)
        {
            request_ids(next);
        }
        if (next.ids.empty())
        {
            return false;
        }
        auto const id = next.ids.front();
        next.ids.pop_front();
        auto job = make_job();
        ++in_flight_;
        auto const submitted_at = loop_.now();
        io::http_call call;
        call.method = "PUT";
        call.path = "/v1/jobs/" + id + "?wait_ms=60000";
        call.body = std::move(job.body);
        call.timeout = std::chrono::seconds{70};
        next.client->start(
            std::move(call),
            [this, submitted_at, tasks = job.tasks,
             longest_run_ms = job.longest_run_ms](io::http_result const& result)
            {
                --in_flight_;
                record_result(result, tasks, loop_.now() - submitted_at,
                              longest_run_ms);
                if (options_.rate <= 0)
                {
                    submit_due_jobs();
                }
            });
        return true;
    }

    void request_ids(target& from)
    {
        if (from.ids_requested)
        {
            return;
        }
        from.ids_requested = true;
        io::http_call call;
        call.method = "POST";
        call.path = "/v1/ids";
        call.body = R"({"count":)" + std::to_string(ids_per_request) + "}";
        from.client->start(std::move(call),
                           [this, &from](io::http_result const& result)
                           {
                               from.ids_requested = false;
                               auto const body =
                                   json::parse(result.body, nullptr, false);
                               if (body.is_object() && body.contains("ids"))
                               {
                                   for (auto const& id : body.at("ids"))
                                   {
                                       from.ids.push_back(id);
                                   }
                                   submit_due_jobs();
                               }
                               else
                               {
                                   ++failures_["no_ids"];
                               }
                           });
    }

    planned_job make_job()
    {
        planned_job job;
        job.tasks = std::uniform_int_distribution<unsigned>{
            options_.min_tasks, options_.max_tasks}(random_);
        job.body = R"({"service":")" + options_.service + R"(","team":")" +
                   options_.team + R"(","tasks":[)";
        std::uniform_real_distribution<double> run_times{
            options_.min_run_ms,
            std::nextafter(options_.max_run_ms, options_.max_run_ms + 1)};
        for (unsigned i = 0; i < job.tasks; ++i)
        {
            double const run_ms = run_times(random_);
            job.longest_run_ms = std::max(job.longest_run_ms, run_ms);
            json payload = {{"run_ms", run_ms}, {"result", "ok"}};
            if (options_.payload_bytes > 0)
            {
                payload["filler"] = std::string(options_.payload_bytes, 'x');
            }
            json const task = {
                {"payload", payload.dump()},
                {"run_time_ms", std::max(1U, static_cast<unsigned>(run_ms))}};
            job.body += i > 0 ? "," : "";
            job.body += task.dump();
        }
        job.body += "]}";
        return job;
    }

    void record_result(io::http_result const& result, unsigned tasks,
                       core::duration elapsed, double longest_run_ms)
    {
        if (result.failure)
        {
            ++failures_[std::string{core::error_name(result.failure->code)}];
            return;
        }
        if (result.status != 200 ||
            result.body.find(R"("state":"done")") == std::string::npos)
        {
            auto const body = json::parse(result.body, nullptr, false);
            ++failures_[body.is_object() && body.contains("error")
                            ? body.at("error").value("name", "")
                            : "status_" + std::to_string(result.status)];
            return;
        }
        ++served_;
        tasks_served_ += tasks;
        overheads_.push_back(
            std::chrono::duration<double, std::milli>(elapsed).count() -
            longest_run_ms);
    }

    io::event_loop& loop_;
    load_options options_;
    std::mt19937_64 random_;
    io::timer submit_timer_;
    std::vector<target> targets_;
    std::size_t next_target_ = 0;
    core::time_point start_time_;
    core::time_point end_time_;
    std::int64_t scheduled_count_ = 0;
    std::size_t in_flight_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t tasks_served_ = 0;
    std::uint64_t late_submissions_ = 0;
    std::map<std::string, std::uint64_t> failures_;
    std::vector<double> overheads_;
};

} // namespace

int main(int argc, char** argv)
{
    try
    {
        io::event_loop loop;
        load_generator generator{loop, read_options(argc, argv)};
        generator.run();
        std::cout << generator.report().dump() << std::endl;
        return EXIT_SUCCESS;
    }
    catch (std::exception const& failure)
    {
        std::cerr << "goldcrestgate_load: " << failure.what() << '\n';
        return 2;
    }
}
