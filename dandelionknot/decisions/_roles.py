"""Roles of operators: which commands an operator may send."""

from dandelionknot._generated_classes import Edit, EditKind, OperatorRole

MAINTAINER = OperatorRole.MAINTAINER
ADMINISTRATOR = OperatorRole.ADMINISTRATOR
# The schema lists the roles in ascending order; each includes the rights of the roles
# before it.
RANKS_BY_ROLE = {role: rank for rank, role in enumerate(OperatorRole)}

# Kinds of edits that a maintainer may send, as agreed in section 5.8 of the design
# page. All other kinds need an administrator.
MAINTAINER_KINDS = frozenset(
    {
        EditKind.MOVE_HOST,
        EditKind.CANCEL_MOVE,
        EditKind.ZONE_OUT,
        EditKind.ZONE_BACK,
        EditKind.DRAIN_HOST,
        EditKind.UNDRAIN_HOST,
        EditKind.PLAN_CREATE,
        EditKind.PLAN_PAUSE,
        EditKind.PLAN_RESUME,
    }
)


def role_needed(edit: Edit) -> OperatorRole:
    """Returns the lowest role that may send an edit or make a dry run of it."""
    if edit.force:
        return ADMINISTRATOR
    return MAINTAINER if edit.kind in MAINTAINER_KINDS else ADMINISTRATOR


def is_sufficient(held: OperatorRole, needed: OperatorRole) -> bool:
    """Returns whether a role includes the rights of another one."""
    return RANKS_BY_ROLE[held] >= RANKS_BY_ROLE[needed]
