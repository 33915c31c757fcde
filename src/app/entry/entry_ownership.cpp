#include "goldcrestgate/app/entry/entry_instance.hpp"

#include "goldcrestgate/app/detail/wall_clock.hpp"

namespace goldcrestgate::app
{

void entry_instance::decide_ownership()
{
    auto const now = loop_.now();
    if (scheduler_.fenced())
    {
        ownership_.fenced(scheduler_.load(now).claimed == 0, now);
    }
    if (scheduler_.owns())
    {
        ownership_.token_renewed(scheduler_.token());
    }
    std::vector<core::scheduler_action> out;
    if (auto const token = ownership_.silent_owner_token(now))
    {
        scheduler_.probe_owner(*token, now, out);
    }
    auto const decision = ownership_.decide(now, detail::unix_milliseconds(),
                                            scheduler_.evidence(now));
    if (auto const* const claim = std::get_if<core::claim_ownership>(&decision))
    {
        log_.write(log_line{log_level::info, "ownership_claimed"}
                       .text("reason", claim->reason)
                       .number("term", static_cast<std::int64_t>(claim->term)));
        scheduler_.take_over(claim->token, roster_.claimed(claim->term), now,
                             out);
        if (!roster_.complete())
        {
            // The entries read so far may date from before a pause.
            directory_.mark_store_unreachable();
        }
        executors_watch_.resume();
        executors_watch_.refresh();
        informed_successors_.clear();
        announce();
    }
    else if (std::holds_alternative<core::release_ownership>(decision))
    {
        scheduler_.release_ownership(now, out);
        // Another owner may use executors that this instance does not know.
        roster_.outdated();
        announce();
    }
    apply(out);
}

// The successors count the list as complete only after they have received it
// again.
void entry_instance::complete_roster()
{
    if (!scheduler_.owns() || roster_.complete() ||
        !directory_.is_complete(loop_.now()))
    {
        return;
    }
    roster_.entries_read();
    scheduler_.roster_completed();
    roster_changed_ = true;
    log_.write(log_line{log_level::info, "roster_completed"}.number(
        "count", static_cast<std::int64_t>(directory_.size())));
}

// Runs before any other event after a pause, so that no order is sent on an
// ownership that may have passed to a successor meanwhile, nor for a job whose
// caller has left.
void entry_instance::handle_pause(core::duration lateness)
{
    log_.write(
        log_line{log_level::warning, "process_paused"}
            .number(
                "late_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(lateness)
                    .count())
            .flag("owner", scheduler_.owns()));
    ownership_.paused(loop_.now());
    decide_ownership();
    check_callers();
}

} // namespace goldcrestgate::app
