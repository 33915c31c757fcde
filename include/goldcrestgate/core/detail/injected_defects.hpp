#pragma once

namespace goldcrestgate::core
{

class dispatcher_builder;

namespace detail
{

/// @brief Defects that a test injects to verify that the failure search detects
/// them; none is set outside of tests.
struct injected_defects
{
    /// A resubmission of an ended job runs it again.
    bool resubmission_restarts = false;
    /// A job counts as done as soon as one of its tasks has a result.
    bool answers_are_partial = false;
    /// A peer's answer may be delivered to the wrong open request.
    bool answers_cross = false;
    /// An attempt is sent before the copies hold its start record.
    bool starts_before_copies = false;
    /// Attempts are released during a change of the copy set.
    bool releases_in_set_change = false;
    /// A copy set may be replaced by a disjoint one.
    bool sets_need_no_overlap = false;
    /// Jobs move to a new chain although members of the old one may have
    /// sealed it.
    bool moves_past_seals = false;
    /// A member answers `not_run` without the seals of the other members.
    bool seals_alone = false;
    /// A copy answers before its catch-up is complete or before its holder is a
    /// member of the copy set.
    bool outsiders_answer = false;
    /// A copy reports a started task without a result as failed.
    bool fates_are_guessed = false;
    /// Results are not copied.
    bool results_are_not_copied = false;
    /// A lost task is retried even if it is not repeatable.
    bool repeats_everything = false;
    /// Servers that the instance list marks as leaving receive starts.
    bool ignores_leaving = false;
    /// A graceful shutdown does not wait for open work.
    bool stops_at_once = false;
    /// A forwarded request has no timeout.
    bool forwards_never_time_out = false;
};

/// @brief Injects defects into the dispatchers of a builder; for tests only.
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
void inject_defects(dispatcher_builder& builder,
                    injected_defects const& defects);

} // namespace detail

} // namespace goldcrestgate::core
