"""All decisions: functions of state, message and time, without I/O."""

from dandelionknot import _acceptance as acceptance
from dandelionknot import _budgets as budgets
from dandelionknot import _claims as claims
from dandelionknot import _ejection as ejection
from dandelionknot import _freshness as freshness
from dandelionknot import _keys as keys
from dandelionknot import _limits as limits
from dandelionknot import _outcomes as outcomes
from dandelionknot import _pools as pools
from dandelionknot import _queueing as queueing
from dandelionknot import _retries as retries
from dandelionknot import _roles as roles
from dandelionknot import _routing as routing
from dandelionknot import _slices as slices
from dandelionknot import _versions as versions
from dandelionknot import _votes as votes
from dandelionknot import _work as work
from dandelionknot import _zones as zones

__all__ = [
    'acceptance',
    'budgets',
    'claims',
    'ejection',
    'freshness',
    'keys',
    'limits',
    'outcomes',
    'pools',
    'queueing',
    'retries',
    'roles',
    'routing',
    'slices',
    'versions',
    'votes',
    'work',
    'zones',
]
