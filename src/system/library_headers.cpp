// Nothing of its own: the target that this file stands for precompiles the headers named in CMakeLists.txt.
