#pragma once

#include "goldcrestgate/app/cli/runner.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/settings_tree.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace goldcrestgate::app::cli::detail
{

/// @brief The outcome of a request: an answer, or the error if there is none.
struct reply
{
    std::uint16_t status = 0;
    nlohmann::json body;
    std::optional<core::error> failure;

    /// @brief Returns whether the instance accepted the request.
    [[nodiscard]] bool accepted() const
    {
        return !failure && status >= 200 && status < 300;
    }

    /// @brief Returns whether the request failed but may have reached the
    /// instance.
    [[nodiscard]] bool possibly_received() const;
};

/// @brief One run of a command: requests, output and exit codes.
///
/// The settings and job commands are in settings_commands.cpp and
/// job_commands.cpp.
class session
{
public:
    session(invocation const& call, runner_context& context);

    /// @brief Runs the command.
    [[nodiscard]] exit_code run();

private:
    using view = std::string (*)(nlohmann::json const&);

    // requests and output

    [[nodiscard]] reply send_request(std::string method, std::string path,
                                     std::string body = {});
    exit_code report(reply const& failed);
    exit_code report(core::error const& failure);
    exit_code show(nlohmann::json const& body, std::string const& text);
    exit_code show_list(std::string const& path, view format);
    [[nodiscard]] std::optional<std::string>
    read_input(std::string const& file);
    exit_code drain();
    exit_code show_errors();

    // settings

    exit_code settings_get();
    exit_code settings_set();
    exit_code settings_unset();
    exit_code settings_compare(bool publishes);
    exit_code settings_watch();
    exit_code publish(core::settings_changes const& changes,
                      core::settings_version base);
    exit_code report_unknown_publication(std::string const& id);
    [[nodiscard]] bool read_published(bool silent = false);
    void show_change(core::settings_tree const& before);

    // jobs

    exit_code jobs_show();
    exit_code jobs_cancel();
    exit_code explain();
    exit_code submit();
    [[nodiscard]] reply wait_for_answer(std::string const& id,
                                        std::string const& body);
    exit_code show_job(reply const& answer);
    void show_progress(std::string const& id, core::time_point since);

    invocation const& call_;
    runner_context& context_;
    core::settings_tree published_;
    core::settings_version version_;
};

} // namespace goldcrestgate::app::cli::detail
