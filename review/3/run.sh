#!/usr/bin/env bash
exec bash "$(dirname "$0")/../play.sh" leaving 3
