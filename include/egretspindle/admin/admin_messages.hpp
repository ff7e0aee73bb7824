/// \file
/// Bodies of requests and replies of the operators' interface.

#ifndef EGRETSPINDLE_ADMIN_ADMIN_MESSAGES_HPP
#define EGRETSPINDLE_ADMIN_ADMIN_MESSAGES_HPP

#include "egretspindle/admin/request_status.hpp"
#include "egretspindle/admin/target_status.hpp"
#include "egretspindle/plan/drained_target.hpp"
#include "egretspindle/plan/plan_problem.hpp"
#include "egretspindle/plan/plan_record.hpp"
#include "egretspindle/plan/plan_section.hpp"

#include <string>
#include <vector>

namespace egretspindle::admin_message
{

/// Target of a drain or resume request.
struct target_name
{
    std::string target;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_name* /*tag*/)
{
    visit("target", value.target);
}

/// Text of a diff or an explanation.
struct text_reply
{
    std::string text;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const text_reply* /*tag*/)
{
    visit("text", value.text);
}

/// Result of a check of the draft plan.
struct check_reply
{
    bool valid = false;
    std::vector<plan_problem> problems;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const check_reply* /*tag*/)
{
    visit("valid", value.valid);
    visit("problems", value.problems);
}

/// Accepted versions of the plan.
struct history_reply
{
    std::vector<plan_record> versions;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const history_reply* /*tag*/)
{
    visit("versions", value.versions);
}

/// Targets, and the drains in effect.
struct targets_reply
{
    std::vector<target_status> targets;
    std::vector<drained_target> drained;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const targets_reply* /*tag*/)
{
    visit("targets", value.targets);
    visit("drained", value.drained);
}

/// Open requests.
struct requests_reply
{
    std::vector<request_status> requests;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const requests_reply* /*tag*/)
{
    visit("requests", value.requests);
}

/// Error reply to an edit whose base version is outdated, with the current
/// section and the proposed text.
struct edit_conflict
{
    struct detail
    {
        std::string kind;
        std::string message;
    };
    detail error;
    plan_section current;
    std::string proposed;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const edit_conflict::detail* /*tag*/)
{
    visit("kind", value.kind);
    visit("message", value.message);
}

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const edit_conflict* /*tag*/)
{
    visit("error", value.error);
    visit("current", value.current);
    visit("proposed", value.proposed);
}

} // namespace egretspindle::admin_message

#endif
