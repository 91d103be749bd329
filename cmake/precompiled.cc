// The precompiled header needs a source to be compiled for.
