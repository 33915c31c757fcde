#pragma once

namespace goldcrestgate::core
{

class dispatcher_builder;

namespace detail
{

/// @brief Rules that a test switches off, to show that the failure search
/// finds the fault. None is ever set outside of tests.
struct injected_defects
{
    /// A resubmission of an ended job runs it again.
    bool resubmission_restarts = false;
    /// A job with one result counts as done.
    bool answers_are_partial = false;
    /// A peer's answer goes to any open request.
    bool answers_cross = false;
    /// A start does not wait for the copies.
    bool starts_before_copies = false;
    /// Attempts are released while the copy set changes.
    bool releases_in_set_change = false;
    /// A copy set may be replaced by one that shares no member with it.
    bool sets_need_no_overlap = false;
    /// Jobs move to a new chain past members that may have sealed.
    bool moves_past_seals = false;
    /// A member answers `not_run` without the seals of the others.
    bool seals_alone = false;
    /// A copy answers before its catch-up is complete and its holder a member.
    bool outsiders_answer = false;
    /// A copy tells a started task without a result as failed.
    bool fates_are_guessed = false;
    /// Results are not copied.
    bool results_are_not_copied = false;
    /// A lost task is sent again even if it is not repeatable.
    bool repeats_everything = false;
    /// The instance list's leaving servers get starts.
    bool ignores_leaving = false;
    /// A stop does not wait for work.
    bool stops_at_once = false;
    /// A request that was passed on waits for its answer without limit.
    bool forwards_never_time_out = false;
};

/// @brief Switches rules off in the dispatchers of a builder; for tests only.
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
void inject_defects(dispatcher_builder& builder, injected_defects const& rules);

} // namespace detail

} // namespace goldcrestgate::core
