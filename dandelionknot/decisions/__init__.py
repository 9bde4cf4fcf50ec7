"""Decision rules of the entry fleet.

Each is a plain function of state, message and time that does no I/O.
"""

from dandelionknot.decisions import _acceptance as acceptance
from dandelionknot.decisions import _budgets as budgets
from dandelionknot.decisions import _claims as claims
from dandelionknot.decisions import _ejection as ejection
from dandelionknot.decisions import _freshness as freshness
from dandelionknot.decisions import _keys as keys
from dandelionknot.decisions import _limits as limits
from dandelionknot.decisions import _outcomes as outcomes
from dandelionknot.decisions import _pools as pools
from dandelionknot.decisions import _queueing as queueing
from dandelionknot.decisions import _retries as retries
from dandelionknot.decisions import _roles as roles
from dandelionknot.decisions import _routing as routing
from dandelionknot.decisions import _slices as slices
from dandelionknot.decisions import _versions as versions
from dandelionknot.decisions import _votes as votes
from dandelionknot.decisions import _work as work
from dandelionknot.decisions import _zones as zones

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
