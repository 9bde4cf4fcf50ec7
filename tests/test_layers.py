"""Guards against imports that break the layers of the package."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / 'dandelionknot'
# Folders of decisions, and the parts of the package that each may import.
ALLOWED_IMPORTS_BY_FOLDER = {
    'decisions': {'configuration', 'decisions', 'messages', '_generated_classes'},
    'jobs': {'events', 'jobs'},
}
# Only the manager's daemon creates the platform adapter; others get its functions.
MODULES_THAT_CREATE_THE_ADAPTER = {'manager/daemon.py'}


def imported_parts(path: Path) -> set[str]:
    """Returns the names of the modules and folders of the package that it imports."""
    parts = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = node.module.split('.')
            if names[0] != 'dandelionknot':
                continue
            parts.update(names[1:2] or [alias.name for alias in node.names])
        elif isinstance(node, ast.Import):
            parts.update(
                alias.name.split('.')[1]
                for alias in node.names
                if alias.name.startswith('dandelionknot.')
            )
    return parts


class LayersTest(unittest.TestCase):
    def test_decisions_import_neither_ports_nor_codecs(self):
        """Guards against decisions that depend on how messages are encoded."""
        for folder, allowed in ALLOWED_IMPORTS_BY_FOLDER.items():
            for path in sorted((PACKAGE / folder).glob('*.py')):
                with self.subTest(module=f'{folder}/{path.name}'):
                    self.assertLessEqual(imported_parts(path), allowed)

    def test_only_the_daemon_imports_the_adapter(self):
        """Guards against platform-specific code outside of the platform folder."""
        for path in sorted(PACKAGE.rglob('*.py')):
            name = path.relative_to(PACKAGE).as_posix()
            if name.startswith('platform/') or name in MODULES_THAT_CREATE_THE_ADAPTER:
                continue
            with self.subTest(module=name):
                self.assertNotIn('platform', imported_parts(path))


if __name__ == '__main__':
    unittest.main()
