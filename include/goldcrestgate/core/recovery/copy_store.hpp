#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/detail/injected_defects.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/recovery/fate.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief This instance holds no copy of the submission.
struct no_copy
{
};

/// @brief The members of the copy set have been asked to seal the owner;
/// @ref seal_finished follows.
struct seal_in_progress
{
};

/// @brief Other instances hold newer copies; the lookup is redirected to them.
struct redirect_to_members
{
    std::vector<instance_key> members;
    /// The fate according to this copy, for use if no member answers.
    job_fate fallback;
};

/// The result of a lookup in a copy store.
using fate_lookup =
    std::variant<no_copy, seal_in_progress, redirect_to_members, job_fate>;

/// @brief A seal of this owner has ended, with or without all members; lookups
/// of its submissions no longer wait for it.
struct seal_finished
{
    instance_key owner;
};

/// @brief Stores the copies that this instance holds for other owners.
///
/// If a copy does not determine a fate, @ref find_fate seals the owner's
/// incarnation: from then on the store refuses all its records, which fences
/// off a paused or isolated owner, as it can start no further task.
class copy_store
{
public:
    // copies

    /// @brief Applies the records of a batch in order and acknowledges it, or
    /// refuses it.
    ///
    /// A batch is refused if the owner is sealed, if an earlier batch is
    /// missing, if the copy has expired, or if the memory limit is reached. A
    /// repeated batch is acknowledged and not applied again.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, copy_batch const& message,
                time_point now, std::vector<action>& out);

    // fates

    /// @brief Returns the fate of a submission whose owner is lost.
    ///
    /// A fate that the held records determine is returned at once. Otherwise
    /// the first lookup seals the owner and asks the other members of the copy
    /// set to seal it too. Until they have answered, the result is
    /// @ref seal_in_progress; the caller repeats the lookup when
    /// @ref take_finished_seals returns the owner.
    /// @pre in this instance's own membership view the owner's process (see
    /// @ref process_of) is gone or has ended; @ref copy_chain relies on it
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] fate_lookup find_fate(submission_id const& submission,
                                        time_point now,
                                        std::vector<action>& out);

    /// @brief Answers a seal request of another member.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, seal_request const& message,
                time_point now, std::vector<action>& out);

    /// @brief Handles another member's reply to a seal request of this store.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, seal_reply const& message,
                time_point now);

    /// @brief Excludes an incarnation of a peer that is known to have ended;
    /// it gets no seal requests.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_ended(instance_key const& peer, time_point now);

    /// @brief Resends and times out seal requests, and drops expired copies.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void advance(time_point now, std::vector<action>& out);

    /// @brief Returns the owners whose seals have finished since the last call.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<seal_finished> take_finished_seals();

    /// @brief Returns the time at which @ref advance must be called at the
    /// latest, if any.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    // observers

    /// @brief Returns whether a record of the submission is held.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool holds(submission_id const& submission) const;

    /// @brief Returns the process that sends the copies of an owner.
    ///
    /// Its incarnation differs from the owner's if the process took a new
    /// incarnation for its ids after a seal.
    /// @return nothing if no copy of the owner is held
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<instance_key>
    process_of(instance_key const& owner) const;

    /// @brief Returns whether the owner is sealed, so that this store refuses
    /// all its records.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool is_sealed(instance_key const& owner) const
    {
        return sealed_owners_.contains(owner);
    }

    /// @brief Returns the approximate size of all copies in bytes.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t bytes() const
    {
        return bytes_;
    }

private:
    friend class copy_store_builder;
    copy_store() = default;

    /// Identifies a chain of an owner.
    struct chain_key
    {
        instance_key owner;
        std::uint32_t chain = 0;

        friend auto operator<=>(chain_key const&, chain_key const&) = default;
    };

    enum class seal_phase : std::uint8_t
    {
        none,
        requesting,
        complete,
        incomplete,
        redirected
    };

    struct seal_progress
    {
        seal_phase phase = seal_phase::none;
        std::uint64_t nonce = 0;
        std::set<instance_key> unanswered;
        bool member_missing = false;
        std::vector<instance_key> newer_members;
        time_point started_at{};
        time_point requested_at{};
    };

    struct chain_copy
    {
        instance_key process;
        copy_epoch epoch;
        std::vector<instance_key> members;
        std::uint64_t sequence = 0;
        bool catch_up_pending = true;
        std::unordered_map<submission_id, job_copy> jobs;
        std::size_t bytes = 0;
        time_point updated_at{};
        seal_progress seal;
    };

    using chain_map = std::map<chain_key, chain_copy>;

    void apply(chain_copy& copy, copy_batch const& batch, time_point now);
    void apply(chain_copy& copy, job_accepted_record const& record);
    void apply(chain_copy& copy, task_starting_record const& record);
    void apply(chain_copy& copy, task_result_record const& record);
    void apply(chain_copy& copy, job_final_record const& record);
    void apply(chain_copy& copy, job_forgotten_record const& record);
    void drop_jobs(chain_copy& copy);
    void refuse(copy_batch const& batch, instance_key const& from,
                std::vector<action>& out) const;
    void begin_seal(chain_key const& key, chain_copy& copy, time_point now,
                    std::vector<action>& out);
    void send_seal_requests(chain_key const& key, chain_copy& copy,
                            time_point now, std::vector<action>& out) const;
    void finish_seal_if_answered(chain_key const& key, chain_copy& copy);
    void finish_seal(chain_key const& key, chain_copy& copy, seal_phase phase);
    void mark_member_missing(chain_key const& key, chain_copy& copy,
                             instance_key const& member);
    void drop_chain(chain_map::iterator position);
    [[nodiscard]] bool can_answer(chain_copy const& copy) const;
    [[nodiscard]] chain_map::iterator
    newest_chain_with(submission_id const& id);
    [[nodiscard]] job_fate fate_from(submission_id const& submission,
                                     chain_copy const& copy,
                                     bool complete) const;
    [[nodiscard]] fate_lookup look_up(submission_id const& submission,
                                      chain_copy const& copy) const;

    // configuration
    instance_key self_;
    duration seal_wait_{};
    detail::injected_defects defects_;
    duration expiry_{};
    std::size_t max_bytes_ = 0;

    chain_map chains_;
    // Kept until the process ends; its growth is bounded by about 1,000
    // restarts a day in all failure domains.
    std::set<instance_key> sealed_owners_;
    std::set<instance_key> ended_peers_;
    std::vector<seal_finished> finished_seals_;
    std::size_t bytes_ = 0;
    std::uint64_t last_nonce_ = 0;
};

/// @brief Builds a @ref copy_store.
class copy_store_builder
{
public:
    /// @brief Sets the instance that holds the copies.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& self(instance_key const& key);

    /// @brief Sets the timeout of a seal; 1 s by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& seal_wait(duration wait);

    /// @brief Sets how long a copy is kept after its last batch; 15 min by
    /// default.
    ///
    /// It must exceed the sum of `id_lifetime` and `answer_retention`, so that
    /// a copy outlives every id of an owner that has ended.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& expiry(duration time);

    /// @brief Sets the memory limit in bytes; 1 GiB by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& max_bytes(std::size_t bytes);

    /// @brief Injects defects into the protocol; for tests only.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_store_builder& inject_defects(detail::injected_defects const& defects);

    /// @brief Returns the store.
    /// @pre @ref self was called
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_store build() const;

private:
    instance_key self_;
    duration seal_wait_ = std::chrono::seconds{1};
    detail::injected_defects defects_;
    duration expiry_ = std::chrono::minutes{15};
    std::size_t max_bytes_ = std::size_t{1} << 30;
};

} // namespace goldcrestgate::core
