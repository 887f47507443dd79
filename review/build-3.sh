#!/usr/bin/env bash
# Builds nothing: the stand-ins of the third review are Python of the standard library.
exit 0
