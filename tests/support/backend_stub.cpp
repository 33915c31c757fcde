// Stub backend servers for tests; one process can serve several of them.
//
// POST and DELETE /run follow docs/design.md. The payload is a JSON object with
// the optional members `run_ms` and `result`; any other payload runs for the
// default time and is returned as the result. POST /control sets `mode`,
// `speed` and `slots`; GET /starts reports the started attempts, so that tests
// can check that no task is started twice.

#include "support/stub_tools.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace
{

using namespace goldcrestgate;
using nlohmann::json;
using std::chrono::microseconds;

enum class mode
{
    serve,
    fail,
    cannot_run,
    leaving,
    /// Starts tasks and never responds.
    stall
};

mode parse_mode(std::string const& name)
{
    static std::map<std::string, mode> const modes = {
        {"serve", mode::serve},
        {"fail", mode::fail},
        {"leaving", mode::leaving},
        {"cannot_run", mode::cannot_run},
        {"stall", mode::stall}};
    return modes.at(name);
}

struct behaviour
{
    mode current_mode = mode::serve;
    std::size_t slots = 8;
    /// Divisor of the run times.
    double speed = 1;
    double default_run_ms = 50;
};

/// Running task, which occupies a slot.
struct running_task
{
    io::http_reply reply;
    std::string result;
    core::time_point started;
    std::unique_ptr<io::timer> end;
};

class backend
{
public:
    backend(io::event_loop& loop, behaviour initial)
        : loop_(loop)
        , server_(loop, {.request_timeout = std::chrono::seconds{60}})
        , behaviour_(initial)
    {
        using request = io::http_request;
        using reply = io::http_reply;
        server_.route("POST", "/run",
                      [this](request const& in, reply const& out)
                      {
                          run(in, out);
                      });
        server_.route("DELETE", "/run/",
                      [this](request const& in, reply const& out)
                      {
                          cancel(std::string{in.path.substr(5)});
                          out.send(test::json_response(200, json::object()));
                      });
        server_.route("POST", "/control",
                      [this](request const& in, reply const& out)
                      {
                          control(test::parse_object(in.body));
                          out.send(test::json_response(200, json::object()));
                      });
        server_.route("GET", "/starts",
                      [this](request const& in, reply const& out)
                      {
                          bool const all = in.parameter("all").has_value();
                          out.send(
                              test::json_response(200, report_starts(all)));
                      });
    }

    std::string listen(std::string const& address)
    {
        return test::listen_or_exit(server_, address);
    }

private:
    void control(json const& body)
    {
        if (body.contains("mode"))
        {
            behaviour_.current_mode = parse_mode(body.at("mode"));
        }
        behaviour_.speed = body.value("speed", behaviour_.speed);
        behaviour_.slots = body.value("slots", behaviour_.slots);
    }

    void run(io::http_request const& in, io::http_reply const& out)
    {
        if (behaviour_.current_mode == mode::leaving)
        {
            refuse(out, "leaving");
            return;
        }
        if (behaviour_.current_mode == mode::cannot_run)
        {
            out.send(reply_with(422, "cannot run", {}));
            return;
        }
        if (running_.size() >= behaviour_.slots)
        {
            refuse(out, "busy");
            return;
        }
        std::string const task =
            std::string{in.header("x-submission").value_or("")} + "/" +
            std::string{in.header("x-task").value_or("")};
        std::string const attempt{in.header("x-attempt").value_or("")};
        started_[task].push_back(attempt);
        ++start_count_;
        if (behaviour_.current_mode == mode::fail)
        {
            out.send(reply_with(500, "failed", {}));
            return;
        }
        start(task, in.body, out);
    }

    void start(std::string const& task, std::string_view payload,
               io::http_reply const& out)
    {
        auto const parsed = test::parse_object(payload);
        double const run_ms = parsed.value("run_ms", behaviour_.default_run_ms);
        std::string result = parsed.value("result", std::string{payload});
        if (run_ms <= 0)
        {
            out.send(reply_with(200, std::move(result), microseconds{1}));
            return;
        }
        auto const key = ++last_key_;
        auto end = std::make_unique<io::timer>(loop_,
                                               [this, key]
                                               {
                                                   finish(key, 200);
                                               });
        if (behaviour_.current_mode != mode::stall)
        {
            end->start_after(microseconds{
                static_cast<std::int64_t>(run_ms * 1000 / behaviour_.speed)});
        }
        running_.emplace(key, running_task{out, std::move(result), loop_.now(),
                                           std::move(end)});
        keys_by_task_.emplace(task, key);
    }

    void finish(std::uint64_t key, std::uint16_t status)
    {
        auto const node = running_.extract(key);
        std::erase_if(keys_by_task_,
                      [key](auto const& entry)
                      {
                          return entry.second == key;
                      });
        auto const& task = node.mapped();
        task.reply.send(
            reply_with(status, task.result, loop_.now() - task.started));
    }

    void cancel(std::string const& task)
    {
        auto const [first, last] = keys_by_task_.equal_range(task);
        std::vector<std::uint64_t> found;
        for (auto entry = first; entry != last; ++entry)
        {
            found.push_back(entry->second);
        }
        for (auto const key : found)
        {
            ++cancelled_;
            finish(key, 500);
        }
    }

    void refuse(io::http_reply const& out, std::string const& reason)
    {
        ++refused_;
        auto response = reply_with(503, {}, {});
        response.headers.emplace_back("x-refused", reason);
        out.send(std::move(response));
    }

    io::http_response reply_with(std::uint16_t status, std::string body,
                                 core::duration work) const
    {
        return {status,
                std::move(body),
                "text/plain",
                {{"x-work-us", std::to_string(work.count())},
                 {"x-open-slots", std::to_string(running_.size())}}};
    }

    json report_starts(bool all) const
    {
        std::size_t repeated = 0;
        std::size_t same_attempt = 0;
        for (auto const& [task, attempts] : started_)
        {
            repeated += attempts.size() > 1;
            std::set<std::string> const distinct{attempts.begin(),
                                                 attempts.end()};
            same_attempt += distinct.size() < attempts.size();
        }
        json counts = {{"starts", start_count_},
                       {"tasks", started_.size()},
                       {"tasks_started_repeatedly", repeated},
                       {"attempts_started_twice", same_attempt},
                       {"running", running_.size()},
                       {"refused", refused_},
                       {"cancelled", cancelled_}};
        if (all)
        {
            counts["started"] = started_;
        }
        return counts;
    }

    io::event_loop& loop_;
    io::http_server server_;
    behaviour behaviour_;
    std::map<std::uint64_t, running_task> running_;
    std::multimap<std::string, std::uint64_t> keys_by_task_;
    std::map<std::string, std::vector<std::string>> started_;
    std::uint64_t last_key_ = 0;
    std::uint64_t start_count_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t cancelled_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options{"backend_stub", "stub backend servers for tests"};
    options.add_options()
        // clang-format off
        ("address", "IP:port of the first server; others use the next ports",
         cxxopts::value<std::string>()->default_value("127.0.0.1:0"))
        ("count", "number of servers",
         cxxopts::value<unsigned>()->default_value("1"))
        ("slots", "", cxxopts::value<std::size_t>()->default_value("8"))
        ("run-ms", "default run time in milliseconds",
         cxxopts::value<double>()->default_value("50"))
        ("speed", "", cxxopts::value<double>()->default_value("1"))
        ("mode", "", cxxopts::value<std::string>()->default_value("serve"));
    // clang-format on
    auto const arguments = options.parse(argc, argv);
    behaviour const initial{parse_mode(arguments["mode"].as<std::string>()),
                            arguments["slots"].as<std::size_t>(),
                            arguments["speed"].as<double>(),
                            arguments["run-ms"].as<double>()};
    auto const address = arguments["address"].as<std::string>();
    auto const colon = address.rfind(':');
    unsigned const port =
        static_cast<unsigned>(std::stoul(address.substr(colon + 1)));
    io::event_loop loop;
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<std::string> addresses;
    for (unsigned i = 0; i < arguments["count"].as<unsigned>(); ++i)
    {
        backends.push_back(std::make_unique<backend>(loop, initial));
        unsigned const own_port = port == 0 ? 0 : port + i;
        addresses.push_back(backends.back()->listen(
            address.substr(0, colon + 1) + std::to_string(own_port)));
    }
    test::print_listening(addresses);
    loop.run();
    return 0;
}
