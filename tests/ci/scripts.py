"""Loads the scripts of CI, which have no ending, as modules."""
import importlib.machinery
import importlib.util
from pathlib import Path


def load(name):
    """The script .ci/NAME as a module."""
    loader = importlib.machinery.SourceFileLoader(name.replace("-", "_"), str(Path(__file__).parents[2] / ".ci" / name))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(loader.name, loader))
    loader.exec_module(module)
    return module
